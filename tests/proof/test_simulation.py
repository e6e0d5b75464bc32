"""Simulations with fixed seeds, and faulty rules that they must detect."""

from __future__ import annotations

from dataclasses import replace
import json
import os
import subprocess
import sys
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.job.job import Job
from carawaystep.worker.fencing_guard import FencingGuard
from carawaystep.worker.worker import Worker
from tests.fakes.fencing_only_admission import FencingOnlyAdmission
from tests.proof.simulation import Simulation

if TYPE_CHECKING:
    from carawaystep.worker.fence_answer import FenceAnswer
    from carawaystep.worker.resources import Resources


class SimulationTest(TestCase):
    """Invariants under random faults."""

    def test_no_violations_with_fixed_seeds(self) -> None:
        """Guards against violations of the invariants in these runs.

        Each run is a separate process with a fixed hash seed, so that it is
        reproducible.
        """
        environment = {**os.environ, "PYTHONHASHSEED": "0"}
        for seed in (1, 12):
            run = subprocess.run(
                [sys.executable, "-m", "tests.proof", str(seed), "60"],
                env=environment,
                capture_output=True,
                text=True,
                timeout=100,
                check=False,
            )
            self.assertEqual(0, run.returncode, run.stderr)
            line = json.loads(run.stdout)
            self.assertEqual(0, line["violations"])
            self.assertTrue(line["checks"] > 1000, line)

    def test_worker_that_accepts_every_epoch_is_detected(self) -> None:
        """Guards against a simulation that does not detect missing fencing."""
        self._assert_violation_found(
            FencingOnlyAdmission, "check_epoch", lambda *_: None
        )

    def test_owner_that_ignores_running_work_is_detected(self) -> None:
        """Guards against a simulation that misses overcommitted workers.

        The faulty owner does not count the work of its predecessor.
        """
        inherit = Worker.inherit

        def inherit_nothing(
            worker: Worker, answer: FenceAnswer, sent_at: float
        ) -> None:
            inherit(worker, replace(answer, running=()), sent_at)

        self._assert_violation_found(Worker, "inherit", inherit_nothing)

    def test_owner_that_counts_only_slots_is_detected(self) -> None:
        """Guards against a load that never exhausts the cores."""

        def has_slot(worker: Worker, needs: Resources) -> bool:
            return worker.free_slots > 0

        self._assert_violation_found(Worker, "has_room", has_slot)

    def test_owner_that_ignores_its_revocation_is_detected(self) -> None:
        """Guards against a simulation that misses work under a revoked token.

        The faulty owner dispatches although its fencing token is revoked.
        """

        def may_dispatch(guard: FencingGuard, now: float) -> bool:
            return True

        self._assert_violation_found(
            FencingGuard, "may_dispatch", may_dispatch
        )

    def test_owner_that_ignores_a_leaving_worker_is_detected(self) -> None:
        """Guards against a simulation that misses work for leaving workers."""
        self._assert_violation_found(
            Worker, "mark_leaving", lambda worker: False
        )

    def test_job_that_starts_again_after_its_end_is_detected(self) -> None:
        """Guards against a simulation that misses reruns of ended jobs.

        Only a rerun after an acknowledged end (``noted``) is a violation.
        """

        def finish(job: Job) -> Job:
            return job.requeue(None)

        self._assert_violation_found(Job, "finish", finish)

    def _assert_violation_found(
        self, owner: type[object], name: str, faulty: object
    ) -> None:
        self.patch(owner, name, faulty)
        # Three slots fill up more often than the default of four. Tasks may
        # not use two of them (``request_slots``).
        for seed in range(1, 11):
            if Simulation(seed, 60, slots=3).run().violations:
                return
        self.fail("no run detected the faulty rule")

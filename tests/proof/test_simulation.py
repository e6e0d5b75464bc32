"""Random runs with fixed seeds, and faulty rules that they must catch."""

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
    """The invariants under random faults."""

    def test_fixed_seeds_hold(self) -> None:
        """Guards against every violation that these runs can show.

        Each run is a process of its own with a fixed hash seed, so that its
        steps are the same each time.
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

    def test_worker_that_accepts_every_token_is_caught(self) -> None:
        """Shows that the runs notice a missing fence."""
        self._assert_violation_found(
            FencingOnlyAdmission, "check_epoch", lambda *_: None
        )

    def test_owner_that_ignores_what_runs_is_caught(self) -> None:
        """Shows that the runs notice an overcommitted worker."""
        inherit = Worker.inherit

        def forgetful(
            worker: Worker, answer: FenceAnswer, sent_at: float
        ) -> None:
            inherit(worker, replace(answer, running=()), sent_at)

        self._assert_violation_found(Worker, "inherit", forgetful)

    def test_owner_that_counts_only_slots_is_caught(self) -> None:
        """Shows that the load presses against the processors."""

        def has_slot(worker: Worker, needs: Resources) -> bool:
            return worker.free_slots > 0

        self._assert_violation_found(Worker, "has_room", has_slot)

    def test_owner_that_ignores_its_revocation_is_caught(self) -> None:
        """Shows that the runs notice work under a refused token."""

        def may_dispatch(guard: FencingGuard, now: float) -> bool:
            return True

        self._assert_violation_found(
            FencingGuard, "may_dispatch", may_dispatch
        )

    def test_owner_that_ignores_that_a_worker_leaves_is_caught(self) -> None:
        """Shows that the runs notice work for a leaving worker."""
        self._assert_violation_found(
            Worker, "mark_leaving", lambda worker: False
        )

    def test_job_that_starts_again_after_its_end_is_caught(self) -> None:
        """Shows that the runs notice a second run after a noted end."""

        def finish(job: Job) -> Job:
            return job.requeue(None)

        self._assert_violation_found(Job, "finish", finish)

    def _assert_violation_found(
        self, owner: type[object], name: str, faulty: object
    ) -> None:
        self.patch(owner, name, faulty)
        # Fewer slots are filled more often; tasks leave two to requests.
        for seed in range(1, 11):
            if Simulation(seed, 60, slots=3).run().violations:
                return
        self.fail("no run noticed the faulty rule")

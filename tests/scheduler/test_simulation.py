"""Simulations with fixed seeds, and faulty variants that they must detect."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from typing import Any

from testtools import TestCase

_SEEDS = 3
_SECONDS = 30


class SimulationTest(TestCase):
    """Promises to callers under random faults of nodes, store and workers."""

    def test_promises_hold_with_fixed_seeds(self) -> None:
        """Guards against broken promises to callers in these runs."""
        results, errors = self._run(2, "none", seeds=_SEEDS)
        self.assertEqual([0] * _SEEDS, [r["violations"] for r in results])
        self.assertEqual("", errors)
        for result in results:
            self.assertGreater(result["faults"], 10, result)
            self.assertGreater(result["checks"], 2000, result)

    def test_runs_repeat_exactly(self) -> None:
        """Guards against a violation that its seed does not show again."""
        _, history = self._run(5, "none", "--history", seconds=5)
        self.assertEqual(
            history, self._run(5, "none", "--history", seconds=5)[1]
        )

    def test_evacuated_zones_get_no_starts(self) -> None:
        """Guards against starts in zones evacuated under other faults."""
        results, errors = self._run(1, "none", "--evacuate", seeds=_SEEDS)
        self.assertEqual([0] * _SEEDS, [r["violations"] for r in results])
        self.assertEqual("", errors)

    def test_evacuation_that_another_change_ends_is_detected(self) -> None:
        """Guards against runs in which no request outlasts another one.

        The faulty nodes take a read of changes for one of all rows.
        """
        self._assert_found(
            "take-changes-for-all-rows", 1, "was evacuated", "--evacuate"
        )

    def test_ignored_evacuation_is_detected(self) -> None:
        """Guards against runs in which nobody would start in the zone."""
        self._assert_found(
            "plan-in-evacuated-zones", 1, "was evacuated", "--evacuate"
        )

    def test_confirmation_by_another_commit_is_detected(self) -> None:
        """Guards against runs that miss confirmations of what is lost.

        The faulty leader answers a cancellation after any commit of its
        workflow.
        """
        self._assert_found(
            "confirm-by-any-commit", 2, "is confirmed and not stored"
        )

    def test_dropped_early_cancellation_is_detected(self) -> None:
        """Guards against runs without feeds that overtake each other.

        The faulty leader ignores a cancellation that it reads before the
        submission.
        """
        self._assert_found(
            "drop-early-cancellations", 14, "after its cancellation"
        )

    def test_reply_to_an_earlier_process_is_detected(self) -> None:
        """Guards against runs without late messages to a new process.

        The faulty member numbers its calls from 1 after each start.
        """
        self._assert_found(
            "number-calls-from-one", 17, "is accepted and not stored"
        )

    def test_state_without_its_update_is_detected(self) -> None:
        """Guards against runs in which no published state is lost.

        The faulty member keeps the states of an earlier leader.
        """
        self._assert_found("keep-unfinished-states", 5, "is running after")

    def test_caller_that_is_not_stored_is_detected(self) -> None:
        """Guards against runs in which no unknown member calls a worker.

        The faulty leader stores only the first callers of each worker.
        """
        self._assert_found("store-first-callers-only", 17, "and runs on")

    def test_forgotten_former_caller_is_detected(self) -> None:
        """Guards against runs in which no former member calls a worker.

        The faulty leader drops a former caller at once.
        """
        self._assert_found("drop-former-callers", 17, "and runs on")

    def test_ignored_silent_caller_is_detected(self) -> None:
        """Guards against runs in which no paused member extends a lease.

        The faulty leader waits only for callers that follow it.
        """
        self._assert_found("ignore-silent-callers", 6, "and runs on")

    def test_forgotten_extension_is_detected(self) -> None:
        """Guards against runs in which no lease outlasts its leader.

        The faulty member tells a new leader of no extension.
        """
        self._assert_found("forget-extensions", 1, "and runs on")

    def test_grant_without_a_majority_is_detected(self) -> None:
        """Guards against runs in which no cut-off leader goes on.

        The faulty leader gives grants while nobody confirms its term.
        """
        self._assert_found("grant-without-majority", 201, "and runs on")

    def test_start_on_an_unseen_lifetime_is_detected(self) -> None:
        """Guards against runs in which no start reaches a restarted worker.

        The faulty member sends starts on connections on which no report was
        answered.
        """
        self._assert_found(
            "start-on-unchecked-connections", 4, "and runs on", seconds=60
        )

    def test_promises_hold_while_room_lacks(self) -> None:
        """Guards against a refused workflow that runs after all."""
        results, errors = self._run(1, "lack-of-room")
        self.assertEqual((0, ""), (results[0]["violations"], errors))
        self.assertGreater(results[0]["refusals"], 10, results)

    def test_admitted_workflow_that_is_refused_is_detected(self) -> None:
        """Guards against runs in which no refusal is checked."""
        self._assert_found(
            "refuse-what-is-admitted", 1, "all attempts were refused"
        )

    def _assert_found(
        self,
        variant: str,
        seed: int,
        violation: str,
        *options: str,
        seconds: int = _SECONDS,
    ) -> None:
        """Check that one run finds the fault of a variant."""
        results, errors = self._run(seed, variant, *options, seconds=seconds)
        self.assertGreater(results[0]["violations"], 0, variant)
        self.assertIn(violation, errors)

    @staticmethod
    def _run(
        seed: int,
        variant: str,
        *options: str,
        seeds: int = 1,
        seconds: int = _SECONDS,
    ) -> tuple[list[dict[str, Any]], str]:
        """Run seeds in a process with a fixed hash seed.

        :returns: the summaries, and what was written to standard error
        """
        command = [sys.executable, "-m", "tests.scheduler.simulation"]
        command += [str(seed), str(seconds), "--seeds", str(seeds)]
        run = subprocess.run(
            [*command, "--variant", variant, *options],
            env={**os.environ, "PYTHONHASHSEED": "0"},
            capture_output=True,
            text=True,
            timeout=100,
            check=False,
        )
        summaries = [json.loads(line) for line in run.stdout.splitlines()]
        return summaries, run.stderr

"""Tests of the outcomes of executions on killed workers."""

from __future__ import annotations

from testtools import TestCase

from tools.ledger import Execution
from tools.prove.ledger_archive import LedgerArchive


def _final_outcome(
    unacknowledged_ends: set[tuple[str, int]], **fields: object
) -> str | None:
    execution = Execution.model_validate(
        {"id": "j", "kind": "task", "service": "s", "attempt": 1, **fields}
    )
    return LedgerArchive._finalize(
        execution, unacknowledged_ends, 10.0, 11.0
    ).how


class LedgerArchiveTest(TestCase):
    """One execution on a worker that is frozen at 10 s."""

    def test_lost_work(self) -> None:
        """Guards against false alarms for work that has to run again."""
        done = {"start": 1, "end": 9, "how": "done"}
        self.assertEqual("lost", _final_outcome({("j", 1)}, **done))
        self.assertEqual(
            "lost", _final_outcome(set(), **{**done, "end": 10.5})
        )
        self.assertEqual("lost", _final_outcome(set(), start=1))

    def test_stored_work(self) -> None:
        """Guards against missing jobs that run again after a stored end."""
        done = {"start": 1, "end": 9, "how": "done"}
        self.assertEqual("done", _final_outcome({("j", 2)}, **done))
        self.assertEqual(
            "done", _final_outcome({("j", 1)}, **{**done, "kind": "request"})
        )

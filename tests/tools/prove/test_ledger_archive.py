"""Tests of what counts as lost when a worker is killed."""

from __future__ import annotations

from testtools import TestCase

from tools.ledger import Execution
from tools.prove.ledger_archive import LedgerArchive


def _how(unstored: set[tuple[str, int]], **fields: object) -> str | None:
    execution = Execution.model_validate(
        {"id": "j", "kind": "task", "service": "s", "attempt": 1, **fields}
    )
    return LedgerArchive._closed(execution, unstored, 10.0, 11.0).how


class LedgerArchiveTest(TestCase):
    """One execution of a worker that is frozen at 10 s."""

    def test_lost_work(self) -> None:
        """Guards against false alarms for work that has to run again."""
        done = {"start": 1, "end": 9, "how": "done"}
        self.assertEqual("lost", _how({("j", 1)}, **done))
        self.assertEqual("lost", _how(set(), **{**done, "end": 10.5}))
        self.assertEqual("lost", _how(set(), start=1))

    def test_stored_work(self) -> None:
        """Guards against excusing a job that runs again after its end."""
        done = {"start": 1, "end": 9, "how": "done"}
        self.assertEqual("done", _how({("j", 2)}, **done))
        self.assertEqual(
            "done", _how({("j", 1)}, **{**done, "kind": "request"})
        )

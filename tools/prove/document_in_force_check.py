"""Checks that accepted documents come into force and never revert."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.prove.entry_snapshot_check import EntrySnapshotCheck
from tools.prove.topology import PLATFORM

if TYPE_CHECKING:
    from tools.prove.accepted_edit import AcceptedEdit
    from tools.prove.entry_snapshot import EntrySnapshot
    from tools.prove.fault_log import FaultLog
    from tools.prove.violation_log import ViolationLog

IN_FORCE_LIMIT_S = 16.0


class DocumentInForceCheck(EntrySnapshotCheck):
    """Compares the documents in force in entries with accepted edits."""

    def __init__(self, faults: FaultLog, violations: ViolationLog) -> None:
        """Create a check without edits.

        :param faults: faults injected in the run
        :param violations: records the result of each check
        """
        self._faults = faults
        self._violations = violations
        self._edits: dict[tuple[str, int], AcceptedEdit] = {}
        self._checked: set[tuple[str, int, str, int]] = set()

    @property
    def edit_count(self) -> int:
        """Return the number of accepted edits."""
        return len(self._edits)

    def record_edit(self, edit: AcceptedEdit) -> None:
        """Record an edit; each version must be accepted only once."""
        edit_key = (edit.service, edit.version)
        self._violations.record_check(
            edit_key not in self._edits,
            f"version {edit.version} of {edit.service} was accepted twice",
            edit.accepted_at,
        )
        self._edits.setdefault(edit_key, edit)

    def observe(self, snapshot: EntrySnapshot) -> None:
        """Compare the documents in force with every accepted edit.

        A starting process is not checked: it has no documents yet and
        accepts no requests.
        """
        if snapshot.phase == "starting":
            return
        for edit in self._edits.values():
            version, text = snapshot.documents.get(edit.service, (0, ""))
            if version == edit.version:
                self._check_once(
                    snapshot,
                    edit,
                    text == edit.text,
                    "has another text in force for",
                )
            elif version < edit.version and self._is_past_deadline(
                snapshot, edit
            ):
                self._check_once(
                    snapshot, edit, False, f"still has version {version} of"
                )

    def _is_past_deadline(
        self, snapshot: EntrySnapshot, edit: AcceptedEdit
    ) -> bool:
        """Tell whether the limit has passed without a relevant fault."""
        deadline = self._faults.fault_free_interval_end(
            edit.accepted_at, IN_FORCE_LIMIT_S, (PLATFORM, snapshot.entry)
        )
        return snapshot.requested_at > deadline

    def _check_once(
        self,
        snapshot: EntrySnapshot,
        edit: AcceptedEdit,
        holds: bool,
        problem: str,
    ) -> None:
        check_key = (
            snapshot.entry,
            snapshot.pid,
            edit.service,
            edit.version,
        )
        if check_key in self._checked:
            return
        self._checked.add(check_key)
        self._violations.record_check(
            holds,
            f"{snapshot.entry} {problem} {edit.service}, whose version"
            f" {edit.version} was accepted"
            f" {snapshot.requested_at - edit.accepted_at:.1f} s before",
            snapshot.requested_at,
        )

"""Accepted documents come into force everywhere and never revert."""

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
    """Compares the documents in force with the accepted versions."""

    def __init__(self, faults: FaultLog, log: ViolationLog) -> None:
        """Create a check without edits.

        :param faults: faults of the run
        :param log: takes the results
        """
        self._faults = faults
        self._log = log
        self._edits: dict[tuple[str, int], AcceptedEdit] = {}
        self._reported: set[tuple[str, int, str, int]] = set()

    @property
    def edit_count(self) -> int:
        """Return the number of accepted edits."""
        return len(self._edits)

    def accept(self, edit: AcceptedEdit) -> None:
        """Take an edit; a version can be accepted only once."""
        name = (edit.service, edit.version)
        self._log.check(
            name not in self._edits,
            f"version {edit.version} of {edit.service} was accepted twice",
            edit.accepted_at,
        )
        self._edits.setdefault(name, edit)

    def observe(self, sighting: EntrySnapshot) -> None:
        """Compare a sighting with every edit that must be in force.

        A process that still starts has no documents and takes no requests.
        """
        if sighting.phase == "starting":
            return
        for edit in self._edits.values():
            version, text = sighting.documents.get(edit.service, (0, ""))
            if version == edit.version:
                self._judge(
                    sighting, edit, text == edit.text, "holds another text for"
                )
            elif version < edit.version and self._is_due(sighting, edit):
                self._judge(
                    sighting, edit, False, f"still has version {version} of"
                )

    def _is_due(self, sighting: EntrySnapshot, edit: AcceptedEdit) -> bool:
        """Tell whether faults let the limit pass without a disturbance."""
        due_at = self._faults.quiet_end(
            edit.accepted_at, IN_FORCE_LIMIT_S, (PLATFORM, sighting.entry)
        )
        return sighting.asked_at > due_at

    def _judge(
        self,
        sighting: EntrySnapshot,
        edit: AcceptedEdit,
        holds: bool,
        what: str,
    ) -> None:
        name = (sighting.entry, sighting.pid, edit.service, edit.version)
        if name in self._reported:
            return
        self._reported.add(name)
        self._log.check(
            holds,
            f"{sighting.entry} {what} {edit.service}, whose version"
            f" {edit.version} was accepted"
            f" {sighting.asked_at - edit.accepted_at:.1f} s before",
            sighting.asked_at,
        )

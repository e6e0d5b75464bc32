"""Checks that the version of a document in force never decreases."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.prove.entry_snapshot_check import EntrySnapshotCheck

if TYPE_CHECKING:
    from tools.prove.entry_snapshot import EntrySnapshot
    from tools.prove.violation_log import ViolationLog


class DocumentVersionCheck(EntrySnapshotCheck):
    """Tracks the highest version in force by process and service."""

    def __init__(self, violations: ViolationLog) -> None:
        """Create a check.

        :param violations: records the result of each check
        """
        self._violations = violations
        self._highest: dict[tuple[str, int, str], int] = {}

    def observe(self, snapshot: EntrySnapshot) -> None:
        """Compare with earlier snapshots of the same process."""
        process = (snapshot.entry, snapshot.pid)
        missing = {
            service
            for (*process_key, service) in self._highest
            if tuple(process_key) == process
        } - snapshot.documents.keys()
        for service in sorted(missing):
            self._violations.record_check(
                False, f"{snapshot.entry} lost the document of {service}"
            )
        for service, (version, _) in snapshot.documents.items():
            document_key = (*process, service)
            highest = self._highest.get(document_key, 0)
            self._violations.record_check(
                version >= highest,
                f"{snapshot.entry} reverted from version {highest} to"
                f" {version} of {service}",
                snapshot.requested_at,
            )
            self._highest[document_key] = max(highest, version)

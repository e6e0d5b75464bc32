"""Versions in force never fall."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.prove.entry_snapshot_check import EntrySnapshotCheck

if TYPE_CHECKING:
    from tools.prove.entry_snapshot import EntrySnapshot
    from tools.prove.violation_log import ViolationLog


class DocumentVersionCheck(EntrySnapshotCheck):
    """Remembers the highest version of each process and service."""

    def __init__(self, log: ViolationLog) -> None:
        """Create a check.

        :param log: takes the results
        """
        self._log = log
        self._highest: dict[tuple[str, int, str], int] = {}

    def observe(self, sighting: EntrySnapshot) -> None:
        """Compare with earlier sightings of the same process."""
        process = (sighting.entry, sighting.pid)
        missing = {
            service
            for (*owner, service) in self._highest
            if tuple(owner) == process
        } - sighting.documents.keys()
        for service in sorted(missing):
            self._log.check(
                False, f"{sighting.entry} lost the document {service}"
            )
        for service, (version, _) in sighting.documents.items():
            name = (*process, service)
            highest = self._highest.get(name, 0)
            self._log.check(
                version >= highest,
                f"{sighting.entry} went back from version {highest} to"
                f" {version} of {service}",
                sighting.asked_at,
            )
            self._highest[name] = max(highest, version)

"""Names of the entries and workers of a deployment."""

from __future__ import annotations

from dataclasses import dataclass

PLATFORM = "platform"


@dataclass(frozen=True, slots=True)
class Topology:
    """Names of entries and workers by availability zone.

    :param entries: names of entries by availability zone
    :param workers: names of workers by availability zone
    """

    entries: dict[str, tuple[str, ...]]
    workers: dict[str, tuple[str, ...]]

    @property
    def zones(self) -> tuple[str, ...]:
        """Return the availability zones."""
        return tuple(self.entries)

    @property
    def all_entries(self) -> tuple[str, ...]:
        """Return the entries of all availability zones."""
        return tuple(name for names in self.entries.values() for name in names)

    @property
    def all_workers(self) -> tuple[str, ...]:
        """Return the workers of all availability zones."""
        return tuple(name for names in self.workers.values() for name in names)

    def processes_that_assign(self, worker: str) -> tuple[str, ...]:
        """Return the platform and the entries that may own a worker."""
        return (PLATFORM, *self.entries[self.zone_of(worker)])

    def zone_of(self, name: str) -> str:
        """Return the availability zone of an entry or a worker."""
        for zone in self.zones:
            if name in self.entries[zone] or name in self.workers[zone]:
                return zone
        raise ValueError(f"no entry or worker is named {name!r}")

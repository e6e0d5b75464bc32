"""The availability zones whose workers get no new work."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from carawaystep.availability_zone.evacuation_change import EvacuationChange

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.availability_zone.evacuation_request import (
        EvacuationRequest,
    )

# Returns are kept for this long. Longer than the time within which the workers
# of a returned zone are opened.
RETURN_KEPT_S = 60.0


@dataclass(frozen=True, slots=True)
class _Evacuation:
    """A request that stands.

    :param revision: revision of its first version that was read
    :param known_at: when it was first read, seconds of a monotonic clock
    """

    revision: int
    known_at: float


class EvacuatedZones:
    """What a process knows of the operator's requests, as last read.

    Invariant: it never returns to what an older read has shown. A request
    stands until a later read shows that it was withdrawn, however long no
    read succeeds.
    """

    def __init__(self, in_force: bool = True) -> None:
        """Create a state of which nothing has been read.

        :param in_force: whether requests are obeyed; if not, all availability
            zones accept work at all times
        """
        self._in_force = in_force
        self._revision = 0
        self._read_at: float | None = None
        self._evacuations: dict[str, _Evacuation] = {}
        self._returned_at: dict[str, float] = {}

    @property
    def known(self) -> bool:
        """Tell whether the requests have been read, or are not in force."""
        return not self._in_force or self._read_at is not None

    @property
    def revision(self) -> int:
        """Return the revision of the last read, 0 before the first."""
        return self._revision

    @property
    def names(self) -> frozenset[str]:
        """Return the names of the evacuated availability zones."""
        return frozenset(self._evacuations)

    def age_s(self, now: float) -> float:
        """Return the seconds since the last read, 0 before the first.

        :param now: current time, seconds of a monotonic clock
        """
        return 0.0 if self._read_at is None else now - self._read_at

    def accepts_work(self, availability_zone: str) -> bool:
        """Tell whether workers of an availability zone may get new work.

        None may before the first read, which could show that they must not.
        """
        return self.known and availability_zone not in self._evacuations

    def returned_since(self, earliest: float) -> dict[str, float]:
        """Return when availability zones were returned, by name.

        :param earliest: zones that were returned before this time are left
            out, seconds of a monotonic clock
        """
        return {
            name: returned_at
            for name, returned_at in self._returned_at.items()
            if returned_at > earliest
        }

    def adopt(
        self,
        requests: Iterable[EvacuationRequest],
        revision: int,
        is_complete: bool,
        now: float,
    ) -> list[EvacuationChange]:
        """Adopt the result of a read, unless a later one is known.

        :param requests: requests in the order of their revisions
        :param revision: revision of the read
        :param is_complete: whether a request that is missing was withdrawn
        :param now: current time, seconds of a monotonic clock
        :returns: zones whose evacuation began or ended
        """
        if not self._in_force or revision < self._revision:
            return []
        standing = {} if is_complete else dict(self._evacuations)
        removed_in: dict[str, int] = {}
        for request in requests:
            name = request.availability_zone
            if request.withdrawn:
                standing.pop(name, None)
                removed_in[name] = request.revision
            else:
                standing[name] = self._evacuations.get(
                    name, _Evacuation(request.revision, now)
                )
        self._revision = revision
        self._read_at = now
        return self._replace(standing, removed_in, now)

    def _replace(
        self,
        standing: dict[str, _Evacuation],
        removed_in: dict[str, int],
        now: float,
    ) -> list[EvacuationChange]:
        """Replace the requests and return what has changed.

        :param removed_in: revisions in which requests were withdrawn, as far
            as the read shows them
        """
        former, self._evacuations = self._evacuations, standing
        self._returned_at = self.returned_since(now - RETURN_KEPT_S)
        changes = []
        for name in sorted(former.keys() - standing.keys()):
            self._returned_at[name] = now
            lasted_s = now - former[name].known_at
            revision = removed_in.get(name, self._revision)
            changes.append(EvacuationChange(name, False, revision, lasted_s))
        for name in sorted(standing.keys() - former.keys()):
            self._returned_at.pop(name, None)
            changes.append(
                EvacuationChange(name, True, standing[name].revision)
            )
        return changes

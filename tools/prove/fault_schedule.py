"""Random schedule of the faults of a run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from tools.prove.fault import Fault
from tools.prove.fault_kind import FaultKind
from tools.prove.topology import PLATFORM

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from random import Random

    from tools.prove.topology import Topology

_FIRST_FAULT_AT_S = 4.0
_FAULT_INTERVAL_RANGE_S = (0.5, 2.5)
_MAX_LEAVING_WORKERS_PER_ZONE = 2
_MAX_UNAVAILABLE_ENTRIES_PER_ZONE = 2


@dataclass(frozen=True, slots=True)
class _FaultProfile:
    """Ranges from which faults of a kind are drawn.

    :param weight: relative frequency of the kind
    :param duration_s: minimum and maximum duration
    :param magnitude: minimum and maximum magnitude
    :param cooldown_s: time after the end without another fault on the target
    """

    weight: int
    duration_s: tuple[float, float]
    magnitude: tuple[float, float] = (0.0, 0.0)
    cooldown_s: float = 2.0


# Starting an entry takes about 2 s. A stop takes up to 10 s: the drain limit
# of 5 s and 5 s of grace for replies.
_FAULT_PROFILES = {
    FaultKind.KILL_ENTRY: _FaultProfile(8, (0.5, 14.0), cooldown_s=6.0),
    FaultKind.PAUSE_ENTRY: _FaultProfile(7, (3.0, 20.0)),
    FaultKind.STOP_ENTRY: _FaultProfile(7, (0.0, 5.0), cooldown_s=18.0),
    FaultKind.CUT_ZONE: _FaultProfile(3, (4.0, 20.0), cooldown_s=8.0),
    FaultKind.CUT_ENTRY: _FaultProfile(5, (3.0, 15.0)),
    FaultKind.SILENCE: _FaultProfile(7, (10.0, 10.0)),
    FaultKind.PLATFORM_REFUSE: _FaultProfile(3, (2.0, 10.0), cooldown_s=8.0),
    FaultKind.PLATFORM_DELAY: _FaultProfile(3, (3.0, 10.0), (0.1, 1.5), 8.0),
    FaultKind.PLATFORM_LOSE_ANSWERS: _FaultProfile(
        5, (1.0, 5.0), (3, 40), 4.0
    ),
    FaultKind.WORKER_REFUSE: _FaultProfile(3, (2.0, 8.0)),
    FaultKind.WORKER_DELAY: _FaultProfile(3, (2.0, 10.0), (0.05, 2.0)),
    FaultKind.WORKER_FREEZE: _FaultProfile(4, (1.0, 8.0)),
    FaultKind.WORKER_LAG: _FaultProfile(3, (3.0, 12.0), (0.5, 5.0)),
    FaultKind.WORKER_LOSE_ANSWERS: _FaultProfile(5, (2.0, 8.0), (1, 6)),
    FaultKind.RESTART_WORKERS: _FaultProfile(2, (1.0, 6.0), cooldown_s=6.0),
    FaultKind.WORKER_LEAVES: _FaultProfile(2, (1.0, 1.0)),
    FaultKind.VM_LEAVES: _FaultProfile(2, (1.0, 1.0)),
    FaultKind.EDIT_RACE: _FaultProfile(7, (1.0, 1.0), cooldown_s=0.0),
    FaultKind.CANCEL_WAVE: _FaultProfile(4, (1.0, 1.0), cooldown_s=0.0),
}


class FaultSchedule:
    """Draws all faults of a run; the same seed gives the same faults.

    Faults overlap, except that two faults never use the same exclusive
    resource at a time, such as an entry process or a worker.
    """

    def __init__(
        self,
        topology: Topology,
        services: Collection[str],
        random: Random,
        seconds: float,
    ) -> None:
        """Draw the faults.

        :param topology: possible targets
        :param services: services whose documents may be edited
        :param random: random number generator
        :param seconds: time within which all faults end
        """
        self._topology = topology
        self._services = sorted(services)
        self._random = random
        self._seconds = seconds
        self._reserved_until: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._faults: list[Fault] = []
        self._draw_faults()

    @property
    def faults(self) -> tuple[Fault, ...]:
        """Return the faults, ordered by their start."""
        return tuple(self._faults)

    def _draw_faults(self) -> None:
        kinds = list(_FAULT_PROFILES)
        weights = [_FAULT_PROFILES[kind].weight for kind in kinds]
        now = _FIRST_FAULT_AT_S
        while now < self._seconds:
            kind = self._random.choices(kinds, weights)[0]
            fault = self._draw_fault(kind, now)
            if fault is not None:
                self._faults.append(fault)
            now += self._random.uniform(*_FAULT_INTERVAL_RANGE_S)

    def _draw_fault(self, kind: FaultKind, now: float) -> Fault | None:
        profile = _FAULT_PROFILES[kind]
        duration_s = round(self._random.uniform(*profile.duration_s), 2)
        magnitude = round(self._random.uniform(*profile.magnitude), 2)
        target = self._random.choice(self._targets(kind))
        if now + duration_s > self._seconds:
            return None
        resources = self._exclusive_resources(kind, target)
        if any(
            self._reserved_until.get(resource, 0.0) > now
            for resource in resources
        ):
            return None
        if not self._is_within_zone_limits(kind, target, now):
            return None
        reserved_until = now + duration_s + profile.cooldown_s
        if kind in (FaultKind.WORKER_LEAVES, FaultKind.VM_LEAVES):
            self._leaving.add(target)
            reserved_until = self._seconds
        for resource in resources:
            self._reserved_until[resource] = reserved_until
        return Fault(
            kind,
            round(now, 2),
            duration_s,
            target,
            magnitude,
            self._affected_names(kind, target),
        )

    def _targets(self, kind: FaultKind) -> list[str]:
        topology = self._topology
        by_kind: dict[FaultKind, Callable[[], list[str]]] = {
            FaultKind.CUT_ZONE: lambda: list(topology.zones),
            FaultKind.RESTART_WORKERS: lambda: list(topology.zones),
            FaultKind.EDIT_RACE: lambda: self._services,
            FaultKind.CANCEL_WAVE: lambda: ["jobs"],
            FaultKind.SILENCE: self._relay_names,
        }
        if kind in by_kind:
            return by_kind[kind]()
        if kind.endswith("-entry"):
            return list(topology.all_entries)
        if kind.startswith("platform"):
            return [PLATFORM]
        return list(topology.all_workers)

    def _relay_names(self) -> list[str]:
        entries = self._topology.all_entries
        return [
            *(f"platform:{name}" for name in entries),
            *(f"peer:{name}" for name in entries),
            *(f"worker:{name}" for name in self._topology.all_workers),
        ]

    def _exclusive_resources(self, kind: FaultKind, target: str) -> list[str]:
        """Return resources that no other fault may use at the same time."""
        if kind is FaultKind.CUT_ZONE:
            return ["cut-zone"]
        if kind is FaultKind.RESTART_WORKERS:
            return list(self._topology.workers[target])
        if kind in (FaultKind.CUT_ENTRY, FaultKind.SILENCE):
            return [f"{kind}:{target}"]
        return [target]

    def _is_within_zone_limits(
        self, kind: FaultKind, target: str, now: float
    ) -> bool:
        if kind in (FaultKind.WORKER_LEAVES, FaultKind.VM_LEAVES):
            zone = set(self._topology.workers[self._topology.zone_of(target)])
            return len(self._leaving & zone) < _MAX_LEAVING_WORKERS_PER_ZONE
        if kind in (
            FaultKind.KILL_ENTRY,
            FaultKind.PAUSE_ENTRY,
            FaultKind.STOP_ENTRY,
        ):
            zone_entries = self._topology.entries[
                self._topology.zone_of(target)
            ]
            unavailable = [
                name
                for name in zone_entries
                if self._reserved_until.get(name, 0.0) > now
            ]
            return len(unavailable) < _MAX_UNAVAILABLE_ENTRIES_PER_ZONE
        return True

    def _affected_names(self, kind: FaultKind, target: str) -> frozenset[str]:
        if kind is FaultKind.CUT_ZONE:
            return frozenset(self._topology.entries[target])
        if kind is FaultKind.RESTART_WORKERS:
            return frozenset(self._topology.workers[target])
        if kind is FaultKind.SILENCE:
            return frozenset({target.partition(":")[2]})
        if kind in (FaultKind.EDIT_RACE, FaultKind.CANCEL_WAVE):
            return frozenset()
        return frozenset({target})

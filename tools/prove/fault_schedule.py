"""Draws the faults of a run from a seed."""

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

_FIRST_S = 4.0
_PAUSE_S = (0.5, 2.5)
_MAX_LEAVING_PER_ZONE = 2
_MAX_DISTURBED_ENTRIES_PER_ZONE = 2


@dataclass(frozen=True, slots=True)
class _Shape:
    """How faults of a kind are drawn.

    :param weight: how often the kind is drawn
    :param length_s: shortest and longest length
    :param amount: smallest and largest amount
    :param settle_s: time after the end in which the target is left alone
    """

    weight: int
    length_s: tuple[float, float]
    amount: tuple[float, float] = (0.0, 0.0)
    settle_s: float = 2.0


# Starting an entry takes about 2 s, and a stop up to the drain limit of 5 s
# and the grace of 5 s for replies.
_SHAPES = {
    FaultKind.KILL_ENTRY: _Shape(8, (0.5, 14.0), settle_s=6.0),
    FaultKind.PAUSE_ENTRY: _Shape(7, (3.0, 20.0)),
    FaultKind.STOP_ENTRY: _Shape(7, (0.0, 5.0), settle_s=18.0),
    FaultKind.CUT_ZONE: _Shape(3, (4.0, 20.0), settle_s=8.0),
    FaultKind.CUT_ENTRY: _Shape(5, (3.0, 15.0)),
    FaultKind.SILENCE: _Shape(7, (10.0, 10.0)),
    FaultKind.PLATFORM_REFUSE: _Shape(3, (2.0, 10.0), settle_s=8.0),
    FaultKind.PLATFORM_DELAY: _Shape(3, (3.0, 10.0), (0.1, 1.5), 8.0),
    FaultKind.PLATFORM_LOSE: _Shape(5, (1.0, 5.0), (3, 40), 4.0),
    FaultKind.WORKER_REFUSE: _Shape(3, (2.0, 8.0)),
    FaultKind.WORKER_DELAY: _Shape(3, (2.0, 10.0), (0.05, 2.0)),
    FaultKind.WORKER_FREEZE: _Shape(4, (1.0, 8.0)),
    FaultKind.WORKER_LAG: _Shape(3, (3.0, 12.0), (0.5, 5.0)),
    FaultKind.WORKER_LOSE: _Shape(5, (2.0, 8.0), (1, 6)),
    FaultKind.RESTART_WORKERS: _Shape(2, (1.0, 6.0), settle_s=6.0),
    FaultKind.LEAVE_WORKER: _Shape(2, (1.0, 1.0)),
    FaultKind.LEAVE_VM: _Shape(2, (1.0, 1.0)),
    FaultKind.EDIT_RACE: _Shape(7, (1.0, 1.0), settle_s=0.0),
    FaultKind.CANCEL_WAVE: _Shape(4, (1.0, 1.0), settle_s=0.0),
}


class FaultSchedule:
    """All faults of a run; the same seed draws the same faults.

    Faults overlap freely, except that two faults never change the same
    switch of the same target at a time.
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
        :param services: services whose documents are edited
        :param random: source of all decisions
        :param seconds: all faults end within this time
        """
        self._topology = topology
        self._services = sorted(services)
        self._random = random
        self._seconds = seconds
        self._busy_until: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._faults: list[Fault] = []
        self._draw_all()

    @property
    def faults(self) -> tuple[Fault, ...]:
        """Return the faults in the order of their start."""
        return tuple(self._faults)

    def _draw_all(self) -> None:
        kinds = list(_SHAPES)
        weights = [_SHAPES[kind].weight for kind in kinds]
        now = _FIRST_S
        while now < self._seconds:
            kind = self._random.choices(kinds, weights)[0]
            fault = self._draw(kind, now)
            if fault is not None:
                self._faults.append(fault)
            now += self._random.uniform(*_PAUSE_S)

    def _draw(self, kind: FaultKind, now: float) -> Fault | None:
        shape = _SHAPES[kind]
        length_s = round(self._random.uniform(*shape.length_s), 2)
        amount = round(self._random.uniform(*shape.amount), 2)
        target = self._random.choice(self._targets(kind))
        if now + length_s > self._seconds:
            return None
        switches = self._switches(kind, target)
        if any(self._busy_until.get(one, 0.0) > now for one in switches):
            return None
        if not self._bounds_kept(kind, target, now):
            return None
        until = now + length_s + shape.settle_s
        if kind in (FaultKind.LEAVE_WORKER, FaultKind.LEAVE_VM):
            self._leaving.add(target)
            until = self._seconds
        for one in switches:
            self._busy_until[one] = until
        return Fault(
            kind,
            round(now, 2),
            length_s,
            target,
            amount,
            self._touches(kind, target),
        )

    def _targets(self, kind: FaultKind) -> list[str]:
        topology = self._topology
        by_kind: dict[FaultKind, Callable[[], list[str]]] = {
            FaultKind.CUT_ZONE: lambda: list(topology.zones),
            FaultKind.RESTART_WORKERS: lambda: list(topology.zones),
            FaultKind.EDIT_RACE: lambda: self._services,
            FaultKind.CANCEL_WAVE: lambda: ["jobs"],
            FaultKind.SILENCE: self._relays,
        }
        if kind in by_kind:
            return by_kind[kind]()
        if kind.endswith("-entry"):
            return list(topology.all_entries)
        if kind.startswith("platform"):
            return [PLATFORM]
        return list(topology.all_workers)

    def _relays(self) -> list[str]:
        entries = self._topology.all_entries
        return [
            *(f"platform:{name}" for name in entries),
            *(f"peer:{name}" for name in entries),
            *(f"worker:{name}" for name in self._topology.all_workers),
        ]

    def _switches(self, kind: FaultKind, target: str) -> list[str]:
        """Return what no other fault may change at the same time."""
        if kind is FaultKind.CUT_ZONE:
            return ["cut-zone"]
        if kind is FaultKind.RESTART_WORKERS:
            return list(self._topology.workers[target])
        if kind in (FaultKind.CUT_ENTRY, FaultKind.SILENCE):
            return [f"{kind}:{target}"]
        return [target]

    def _bounds_kept(self, kind: FaultKind, target: str, now: float) -> bool:
        if kind in (FaultKind.LEAVE_WORKER, FaultKind.LEAVE_VM):
            zone = set(self._topology.workers[self._topology.zone_of(target)])
            return len(self._leaving & zone) < _MAX_LEAVING_PER_ZONE
        if kind in (
            FaultKind.KILL_ENTRY,
            FaultKind.PAUSE_ENTRY,
            FaultKind.STOP_ENTRY,
        ):
            zone_entries = self._topology.entries[
                self._topology.zone_of(target)
            ]
            disturbed = [
                name
                for name in zone_entries
                if self._busy_until.get(name, 0.0) > now
            ]
            return len(disturbed) < _MAX_DISTURBED_ENTRIES_PER_ZONE
        return True

    def _touches(self, kind: FaultKind, target: str) -> frozenset[str]:
        if kind is FaultKind.CUT_ZONE:
            return frozenset(self._topology.entries[target])
        if kind is FaultKind.RESTART_WORKERS:
            return frozenset(self._topology.workers[target])
        if kind is FaultKind.SILENCE:
            return frozenset({target.partition(":")[2]})
        if kind in (FaultKind.EDIT_RACE, FaultKind.CANCEL_WAVE):
            return frozenset()
        return frozenset({target})

"""Tests of the faults that a seed draws."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from testtools import TestCase

from tools.prove.fault_schedule import FaultSchedule
from tools.prove.topology import Topology

if TYPE_CHECKING:
    from tools.prove.fault import Fault

_TOPOLOGY = Topology(
    {zone: tuple(f"{zone}-e{n}" for n in range(3)) for zone in "abc"},
    {zone: tuple(f"{zone}-w{n}" for n in range(8)) for zone in "abc"},
)


def _draw(seed: int) -> tuple[Fault, ...]:
    return FaultSchedule(_TOPOLOGY, ["s"], Random(seed), 100.0).faults


class FaultScheduleTest(TestCase):
    """Schedules of 100 s."""

    def test_seed_decides(self) -> None:
        """Guards against a seed that does not repeat a run."""
        self.assertEqual(_draw(1), _draw(1))
        self.assertNotEqual(_draw(1), _draw(2))

    def test_bounds(self) -> None:
        """Guards against faults that outlast the run or never occur."""
        kinds = set()
        for seed in range(20):
            for fault in _draw(seed):
                kinds.add(fault.kind)
                self.assertLessEqual(fault.start_s + fault.length_s, 100.01)
        self.assertEqual(19, len(kinds))

"""Tests of the random fault schedule."""

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


def _draw_faults(seed: int) -> tuple[Fault, ...]:
    return FaultSchedule(_TOPOLOGY, ["s"], Random(seed), 100.0).faults


class FaultScheduleTest(TestCase):
    """Schedules of 100 s."""

    def test_same_seed_same_faults(self) -> None:
        """Guards against a seed that does not reproduce its schedule."""
        self.assertEqual(_draw_faults(1), _draw_faults(1))
        self.assertNotEqual(_draw_faults(1), _draw_faults(2))

    def test_faults_end_in_time_and_all_kinds_occur(self) -> None:
        """Guards against faults that outlast the run and kinds never drawn."""
        kinds = set()
        for seed in range(20):
            for fault in _draw_faults(seed):
                kinds.add(fault.kind)
                self.assertLessEqual(fault.start_s + fault.duration_s, 100.01)
        self.assertEqual(19, len(kinds))

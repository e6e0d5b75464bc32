"""Tests of the spread of workers over members."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from testtools import TestCase

from carawaystep.leadership.member_record import MemberRecord
from carawaystep.leadership.worker_assignment import assign_workers
from tests.planner.planners import offer


def _member(name: str, zone: str, cores: float) -> MemberRecord:
    return MemberRecord(name, f"tcp://{name}", zone, cores)


class WorkerAssignmentTest(TestCase):
    """Zones and unequal machines."""

    def test_small_machines_get_fewer_workers(self) -> None:
        """Guards against equal shares on machines of 0.3 and 2.1 cores."""
        members = {
            "small": _member("small", "zone", 0.3),
            "large": _member("large", "zone", 2.1),
        }
        offers = [offer(f"w{number}") for number in range(16)]
        owners = assign_workers(offers, members, "other")
        self.assertEqual(
            {"small": 2, "large": 14}, dict(Counter(owners.values()))
        )

    def test_worker_is_called_from_its_own_zone(self) -> None:
        """Guards against a cut between a worker and its member."""
        members = {
            "here": _member("here", "zone", 0.3),
            "far": _member("far", "elsewhere", 2.1),
        }
        owners = assign_workers([offer("w1")], members, "far")
        self.assertEqual(["here"], list(owners.values()))
        lone = replace(offer("w2"), availability_zone="nowhere")
        self.assertEqual(1, len(assign_workers([lone], members, "far")))

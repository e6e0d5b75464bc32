"""Tests of the assignment of workers to members."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from testtools import TestCase

from carawaystep.leadership.member_record import MemberRecord
from carawaystep.leadership.worker_assignment import assign_workers
from tests.planner.planners import worker_record


def _member(name: str, zone: str, cores: float) -> MemberRecord:
    return MemberRecord(name, f"tcp://{name}", zone, cores)


class WorkerAssignmentTest(TestCase):
    """Availability zones and machines of different sizes."""

    def test_workers_are_assigned_in_proportion_to_cores(self) -> None:
        """Guards against equal numbers of workers for 0.3 and 2.1 cores."""
        members = {
            "small": _member("small", "zone", 0.3),
            "large": _member("large", "zone", 2.1),
        }
        worker_records = [worker_record(f"w{number}") for number in range(16)]
        member_by_worker = assign_workers(worker_records, members, "other")
        self.assertEqual(
            {"small": 2, "large": 14}, dict(Counter(member_by_worker.values()))
        )

    def test_worker_is_assigned_within_its_zone(self) -> None:
        """Guards against a worker that a partition cuts off from its member.

        A worker in a zone without members is assigned to any member.
        """
        members = {
            "here": _member("here", "zone", 0.3),
            "far": _member("far", "elsewhere", 2.1),
        }
        member_by_worker = assign_workers(
            [worker_record("w1")], members, "far"
        )
        self.assertEqual(["here"], list(member_by_worker.values()))
        unmatched = replace(worker_record("w2"), availability_zone="nowhere")
        self.assertEqual(1, len(assign_workers([unmatched], members, "far")))

    def test_leader_gets_workers_only_in_a_zone_of_its_own(self) -> None:
        """Guards against a weak leader that also calls its share of workers.

        The calls to three workers took as much processor as the planning.
        """
        members = {
            "leader": _member("leader", "zone", 2.1),
            "other": _member("other", "zone", 0.3),
            "far": _member("far", "elsewhere", 2.1),
        }
        records = [worker_record(f"w{number}") for number in range(8)]
        for leader, expected in (
            ("leader", {"other"}),
            ("far", {"leader", "other"}),
        ):
            assigned = assign_workers(records, members, leader)
            self.assertEqual(expected, set(assigned.values()))
        del members["other"]
        assigned = assign_workers(records, members, "leader")
        self.assertEqual({"leader"}, set(assigned.values()))

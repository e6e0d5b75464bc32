"""Tests of the shards that an entry process follows and claims."""

from __future__ import annotations

from types import SimpleNamespace

from testtools import TestCase

from carawaystep.entry.jobs_follower import JobsFollower
from carawaystep.job.job_id import SHARDS
from carawaystep.job.job_index import JobIndex
from carawaystep.membership.rendezvous import ranked


class _StubDirectory:
    """Directory with a fixed set of live entries per availability zone."""

    def __init__(self, entries: dict[str, list[str]]) -> None:
        self.entries = entries

    def availability_zones(self, now: float) -> list[str]:
        return sorted(zone for zone, names in self.entries.items() if names)

    def active_entry_names(
        self, availability_zone: str, now: float
    ) -> list[str]:
        return self.entries[availability_zone]


class JobsFollowerTest(TestCase):
    """Tests that the cached shards change with the live entries."""

    def setUp(self) -> None:
        """Create three availability zones with two entries each."""
        super().setUp()
        zones = ("arima", "chaguanas", "port-of-spain")
        self.directory = _StubDirectory(
            {z: [f"{z}-1", f"{z}-2"] for z in zones}
        )
        self.state = SimpleNamespace(
            settings=SimpleNamespace(
                availability_zone="arima", name="arima-1"
            ),
            directory=self.directory,
            now=0.0,
            jobs=JobIndex(),
            workers={},
        )

    def _expected(self, member: str, members: list[str]) -> list[str]:
        return [s for s in SHARDS if ranked(s, members)[0] == member]

    def test_shards_follow_lost_and_returned_zones(self) -> None:
        """Guards against stale shards after an availability zone is lost.

        No zone would follow the shards of the lost one, so that no entry
        would claim their jobs.
        """
        follower = JobsFollower(self.state)
        for lost in ("", "chaguanas", "port-of-spain", ""):
            zones = {z: n for z, n in self.directory.entries.items()}
            self.directory.entries = {
                z: [] if z == lost else [f"{z}-1", f"{z}-2"] for z in zones
            }
            live = [z for z in zones if z != lost]
            self.assertEqual(
                self._expected("arima", live), list(follower.prefixes())
            )

    def test_own_shards_follow_lost_entries(self) -> None:
        """Guards against stale own shards after an entry is lost.

        The jobs of the lost entry would then wait longer than necessary.
        """
        follower = JobsFollower(self.state)
        zone = list(follower.prefixes())
        for names in (["arima-1", "arima-2"], ["arima-1"], ["arima-2"], []):
            self.directory.entries["arima"] = names
            expected = [
                shard
                for shard in zone
                if names and ranked(shard, names)[0] == "arima-1"
            ]
            self.assertEqual(expected, follower.own_shards())

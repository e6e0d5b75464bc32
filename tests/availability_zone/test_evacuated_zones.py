"""Tests of the operator's requests to evacuate availability zones."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.availability_zone.evacuated_zones import EvacuatedZones
from carawaystep.availability_zone.evacuated_zones import RETURN_KEPT_S
from carawaystep.availability_zone.evacuation_change import EvacuationChange
from carawaystep.availability_zone.evacuation_request import EvacuationRequest


class EvacuatedZonesTest(TestCase):
    """Reads that show requests, miss them or come late."""

    def setUp(self) -> None:
        """Read a request for ``north`` at revision 10."""
        super().setUp()
        self.zones = EvacuatedZones()
        self.changes = self._read(10, EvacuationRequest("north", 8), now=1.0)

    def _read(
        self,
        revision: int,
        *requests: EvacuationRequest,
        is_complete: bool = True,
        now: float = 2.0,
    ) -> list[EvacuationChange]:
        return self.zones.adopt(requests, revision, is_complete, now)

    def test_no_zone_accepts_work_before_the_first_read(self) -> None:
        """Guards against starts of a new leader that has read nothing."""
        zones = EvacuatedZones()
        self.assertFalse(zones.accepts_work("south"))
        zones.adopt([], 3, is_complete=True, now=1.0)
        self.assertTrue(zones.accepts_work("south"))

    def test_request_stands_until_a_read_shows_its_end(self) -> None:
        """Guards against an evacuation that an outage of the store ends."""
        self.assertEqual([EvacuationChange("north", True, 8)], self.changes)
        self.assertEqual([], self._read(12, is_complete=False, now=5.0))
        self.assertEqual(995.0, self.zones.age_s(1000.0))
        self.assertFalse(self.zones.accepts_work("north"))
        self.assertTrue(self.zones.accepts_work("south"))

    def test_missing_row_of_a_full_read_ends_the_evacuation(self) -> None:
        """Guards against a zone that stays empty after a lost deletion."""
        changes = self._read(12, now=4.0)
        self.assertEqual([EvacuationChange("north", False, 12, 3.0)], changes)
        self.assertEqual({"north": 4.0}, self.zones.returned_since(3.0))
        self.assertEqual({}, self.zones.returned_since(4.0))

    def test_return_is_forgotten_in_time(self) -> None:
        """Guards against a record that grows with each zone ever named."""
        self._read(12, now=4.0)
        self._read(13, is_complete=False, now=3.9 + RETURN_KEPT_S)
        self.assertEqual({"north": 4.0}, self.zones.returned_since(3.0))
        self._read(14, is_complete=False, now=4.0 + RETURN_KEPT_S)
        self.assertEqual({}, self.zones.returned_since(3.0))

    def test_older_read_changes_nothing(self) -> None:
        """Guards against an answer that overtook a later one."""
        self.assertEqual([], self._read(9))
        self.assertFalse(self.zones.accepts_work("north"))
        self.assertEqual((10, 0.0), (self.zones.revision, self.zones.age_s(1)))

    def test_last_of_several_versions_counts(self) -> None:
        """Guards against requests of several operators taken in any order."""
        changes = self._read(
            16,
            EvacuationRequest("north", 11, withdrawn=True),
            EvacuationRequest("south", 12),
            EvacuationRequest("north", 13),
            EvacuationRequest("nowhere", 14),
            EvacuationRequest("south", 15, withdrawn=True),
            is_complete=False,
        )
        self.assertEqual([EvacuationChange("nowhere", True, 14)], changes)
        self.assertEqual({"north", "nowhere"}, self.zones.names)

    def test_requests_that_are_not_in_force_are_ignored(self) -> None:
        """Guards against deployments that lose a zone by a foreign row."""
        zones = EvacuatedZones(in_force=False)
        request = EvacuationRequest("north", 8)
        self.assertEqual([], zones.adopt([request], 10, True, 1.0))
        self.assertTrue(zones.accepts_work("north"))

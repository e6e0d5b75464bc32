"""Tests of who may act and who should try to lead."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.leadership.leadership import GRANT_S
from carawaystep.leadership.leadership import Leadership


class LeadershipTest(TestCase):
    """Grants and challenges of one process."""

    def _following(self) -> Leadership:
        leadership = Leadership("edge-1", 1.0, 0.0)
        leadership.record_heartbeat(5, "edge-2", 9.9, 0.1, 10.0)
        return leadership

    def test_grant_is_measured_from_the_own_stamp(self) -> None:
        """Guards against acting on a message that was delayed."""
        leadership = self._following()
        self.assertTrue(leadership.holds_grant(5, 10.0))
        leadership.record_heartbeat(5, "edge-2", 9.9, 0.1, 9.9 + GRANT_S)
        self.assertFalse(leadership.holds_grant(5, 9.9 + GRANT_S))

    def test_lower_term_grants_nothing(self) -> None:
        """Guards against following a leader that was replaced."""
        leadership = self._following()
        self.assertFalse(
            leadership.record_heartbeat(4, "edge-3", 10.0, 0.0, 10.1)
        )
        self.assertFalse(leadership.holds_grant(4, 10.1))

    def test_new_term_needs_a_new_stamp(self) -> None:
        """Guards against a grant that carries over to another leader."""
        leadership = self._following()
        leadership.record_heartbeat(6, "edge-3", 0.0, 0.0, 10.1)
        self.assertFalse(leadership.holds_grant(6, 10.1))

    def test_silent_leader_is_challenged(self) -> None:
        """Guards against a dead leader that nobody replaces."""
        leadership = self._following()
        self.assertFalse(leadership.should_campaign(10.9))
        self.assertTrue(leadership.should_campaign(12.0))

    def test_leader_without_the_store_is_challenged(self) -> None:
        """Guards against a leader that lives but cannot store anything."""
        leadership = self._following()
        leadership.record_heartbeat(5, "edge-2", 10.5, 5.0, 10.6)
        self.assertTrue(leadership.should_campaign(10.6))
        leadership.postpone_campaign(10.6)
        self.assertFalse(leadership.should_campaign(10.6))

    def test_farewell_is_answered_without_the_silence(self) -> None:
        """Guards against seconds without a leader after a planned stop."""
        leadership = self._following()
        leadership.record_resignation(5)
        self.assertFalse(leadership.leader_reachable(10.1))
        self.assertTrue(leadership.should_campaign(10.8))

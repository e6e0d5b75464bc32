"""Tests of grants and of the conditions for a campaign."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.leadership.leadership import GRANT_S
from carawaystep.leadership.leadership import Leadership
from carawaystep.leadership.silence_limit import SilenceLimit


class LeadershipTest(TestCase):
    """Grants and campaigns of one process."""

    def _with_leader(self) -> Leadership:
        leadership = Leadership("edge-1", 1.0, 0.0)
        leadership.record_heartbeat(5, "edge-2", 9.9, 0.1, 10.0)
        return leadership

    def test_grant_is_measured_from_the_members_timestamp(self) -> None:
        """Guards against a grant that a delayed heartbeat extends."""
        leadership = self._with_leader()
        self.assertTrue(leadership.holds_grant(5, 10.0))
        leadership.record_heartbeat(5, "edge-2", 9.9, 0.1, 9.9 + GRANT_S)
        self.assertFalse(leadership.holds_grant(5, 9.9 + GRANT_S))

    def test_timestamp_of_a_replaced_vm_gives_no_grant(self) -> None:
        """Guards against a grant that lasts as long as another VM ran.

        The leader echoes the last timestamp that it has of a node, also to
        a VM that has just replaced the node's and whose clock is lower.
        """
        leadership = Leadership("edge-1", 1.0, 0.0)
        leadership.record_heartbeat(5, "edge-2", 900.0, 0.1, 10.0)
        self.assertFalse(leadership.holds_grant(5, 10.0))
        leadership.record_heartbeat(5, "edge-2", 10.0, 0.1, 10.1)
        self.assertTrue(leadership.holds_grant(5, 10.1))
        self.assertFalse(leadership.holds_grant(5, 10.0 + GRANT_S))

    def test_heartbeat_of_lower_term_is_ignored(self) -> None:
        """Guards against accepting heartbeats of a deposed leader."""
        leadership = self._with_leader()
        self.assertFalse(
            leadership.record_heartbeat(4, "edge-3", 10.0, 0.0, 10.1)
        )
        self.assertFalse(leadership.holds_grant(4, 10.1))

    def test_new_term_starts_without_a_grant(self) -> None:
        """Guards against a grant that carries over to the next leader."""
        leadership = self._with_leader()
        leadership.record_heartbeat(6, "edge-3", 0.0, 0.0, 10.1)
        self.assertFalse(leadership.holds_grant(6, 10.1))

    def test_missing_heartbeats_start_a_campaign(self) -> None:
        """Guards against a failed leader that is never replaced."""
        leadership = self._with_leader()
        self.assertFalse(leadership.should_campaign(10.9))
        self.assertTrue(leadership.should_campaign(12.0))

    def test_terms_that_end_young_give_the_next_one_more_time(self) -> None:
        """Guards against leaders that replace each other while they load.

        Each is silent for longer than the usual limit at its start.
        """
        leadership = self._with_leader()
        leadership.record_heartbeat(6, "edge-3", 0.0, 0.0, 11.5)
        self.assertFalse(leadership.should_campaign(13.2))
        self.assertTrue(leadership.should_campaign(14.0))
        leadership.record_heartbeat(6, "edge-3", 0.0, 0.0, 17.0)
        self.assertTrue(leadership.should_campaign(18.6))

    def test_unconfirmed_term_starts_a_campaign(self) -> None:
        """Guards against keeping a leader that cannot reach the store."""
        leadership = self._with_leader()
        leadership.record_heartbeat(5, "edge-2", 10.5, 5.0, 10.6)
        self.assertTrue(leadership.should_campaign(10.6))
        leadership.postpone_campaign(10.6)
        self.assertFalse(leadership.should_campaign(10.6))

    def test_campaign_waits_for_the_delay_after_a_failed_one(self) -> None:
        """Guards against campaigns in a row while another one is elected.

        The leader has resigned, or its next heartbeat says again that the
        store has not confirmed its term.
        """
        resigned = self._with_leader()
        resigned.record_resignation(5)
        resigned.postpone_campaign(12.0)
        self.assertFalse(resigned.should_campaign(12.1))
        self.assertTrue(resigned.should_campaign(12.6))
        unconfirmed = self._with_leader()
        unconfirmed.postpone_campaign(10.6)
        unconfirmed.record_heartbeat(5, "edge-2", 10.5, 5.0, 10.7)
        self.assertFalse(unconfirmed.should_campaign(10.7))
        self.assertTrue(unconfirmed.should_campaign(11.2))

    def test_fast_machine_campaigns_first_when_unconfirmed(self) -> None:
        """Guards against a slow machine that leads while fast ones wait.

        All hear the same heartbeats, every 0.25 s. The first with a
        confirmation that is too old used to end the delays of all.
        """
        for confirmed_at in (9.0, 9.05, 9.1, 9.15, 9.2):
            fast = Leadership("edge-k", 2.15, 0.0)
            slow = Leadership("edge-o", 0.516, 0.0)
            first_campaigns: dict[Leadership, float] = {}
            for tick in range(1000, 1400):
                now = tick / 100
                heartbeat_at = now // 0.25 * 0.25
                for leadership in (fast, slow):
                    leadership.record_heartbeat(
                        5,
                        "edge-2",
                        heartbeat_at,
                        heartbeat_at - confirmed_at,
                        heartbeat_at,
                    )
                    if leadership.should_campaign(now):
                        first_campaigns.setdefault(leadership, now)
            ahead_s = first_campaigns[slow] - first_campaigns[fast]
            self.assertGreater(ahead_s, 0.05, confirmed_at)

    def test_resignation_starts_a_campaign_before_the_timeout(self) -> None:
        """Guards against a gap of seconds without a leader.

        A planned stop is announced, so candidates need not wait for the
        leader's timeout.
        """
        leadership = self._with_leader()
        leadership.record_resignation(5)
        self.assertFalse(leadership.leader_reachable(10.1))
        self.assertTrue(leadership.should_campaign(10.8))

    def test_leader_that_runs_late_is_not_replaced_at_once(self) -> None:
        """Guards against followers that depose a busy leader that works.

        Eight leaders in 70 s were deposed while each was in a long step.
        """
        limit = SilenceLimit()
        self.assertEqual(1.0, limit.seconds(10.0))
        limit.record_delay(0.6, 10.0)
        leadership = Leadership("edge-1", 1.0, 0.0)
        leadership.record_heartbeat(
            5, "edge-2", 9.9, 0.1, 10.0, limit.seconds(10.0)
        )
        self.assertFalse(leadership.should_campaign(12.1))
        self.assertTrue(leadership.leader_reachable(12.1))
        self.assertTrue(leadership.should_campaign(12.9))

    def test_silence_limit_is_bounded_and_falls_again(self) -> None:
        """Guards against a leader that announces a silence without end."""
        limit = SilenceLimit()
        limit.record_delay(60.0, 10.0)
        self.assertEqual(3.0, limit.seconds(10.0))
        self.assertEqual(1.0, limit.seconds(21.0))
        leadership = Leadership("edge-1", 1.0, 0.0)
        leadership.record_heartbeat(5, "edge-2", 9.9, 0.1, 10.0, 1e9)
        self.assertTrue(leadership.should_campaign(14.0))

    def test_own_delay_is_not_the_silence_of_the_leader(self) -> None:
        """Guards against a paused follower that deposes a working leader.

        The heartbeats that came meanwhile are still unread.
        """
        leadership = self._with_leader()
        leadership.excuse_delay(4.0)
        self.assertFalse(leadership.should_campaign(14.9))
        self.assertTrue(leadership.should_campaign(15.6))

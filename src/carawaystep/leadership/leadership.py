"""A process's view of the leader, and when it should campaign."""

from __future__ import annotations

from carawaystep.leadership.campaign_reason import CampaignReason
from carawaystep.leadership.silence_limit import MAX_SILENCE_LIMIT_S
from carawaystep.leadership.silence_limit import MIN_SILENCE_LIMIT_S

# Validity of the leader's lease after the store last confirmed the term. It
# exceeds the usual outages of the store, so that the leases of workers are
# still extended during one.
LEADER_LEASE_S = 10.0

# A member may call workers for this long after the time of its own last
# heartbeat that the leader has answered.
GRANT_S = 2.0

_STARTUP_LEADER_TIMEOUT_S = 0.7

# A new leader is busy with the stored state at first. If terms end while they
# are younger than this, each next one gets twice the time.
_SHORT_TERM_S = 5.0
_MAX_SHORT_TERMS = 2

# A leader with an older confirmation is replaced by a process that reaches
# the store.
_MAX_CONFIRMATION_AGE_S = 1.5

# Interval at which the leader sends heartbeats.
HEARTBEAT_INTERVAL_S = 0.25

# Slow machines wait longer, so that a fast one is elected. The stagger, which
# depends on the name, keeps equal machines from campaigning at once.
_CAMPAIGN_DELAY_ONE_CORE_S = 0.2
_MAX_CAMPAIGN_STAGGER_S = 0.3


class Leadership:
    """Tracks the leader's heartbeats and decides when to campaign.

    Safety does not depend on these rules. It is ensured by the
    compare-and-set of the leader row, by the check of that row in each
    transaction and by the fencing token at the workers.
    """

    def __init__(self, name: str, cores: float, now: float) -> None:
        """Create the state of a process that has just started.

        :param name: name of the process's node
        :param cores: its CPU capacity in cores of standard speed
        :param now: current time in seconds, monotonic
        """
        self._name = name
        stagger = sum(name.encode()) % 16 / 16
        # Limited, because it grows without bound as ``cores`` approaches 0.
        self._campaign_delay_s = (
            min(
                _CAMPAIGN_DELAY_ONE_CORE_S / cores,
                3 * _CAMPAIGN_DELAY_ONE_CORE_S,
            )
            + stagger * _MAX_CAMPAIGN_STAGGER_S
        )
        self._term = 0
        self._leader = ""
        # Time of the first heartbeat of the highest known term.
        self._followed_since = now
        # Number of terms in a row that ended while they were young.
        self._short_terms = 0
        # The last heartbeat or the start of this process.
        self._waiting_since = now
        self._campaign_postponed_until = now
        self._leader_timeout_s = _STARTUP_LEADER_TIMEOUT_S
        self._echoed_timestamp = 0.0
        self._confirmation_age_s = 0.0
        self._leader_resigned = False

    @property
    def term(self) -> int:
        """Return the highest known term, 0 if none is known."""
        return self._term

    @property
    def leader(self) -> str:
        """Return the name of the highest known term's leader."""
        return self._leader

    @property
    def confirmation_age_s(self) -> float:
        """Return the age that the leader last gave for its confirmation.

        :returns: seconds since the store had confirmed its term, 0 after an
            own campaign
        """
        return self._confirmation_age_s

    def record_heartbeat(
        self,
        term: int,
        leader: str,
        echoed_timestamp: float,
        confirmation_age_s: float,
        now: float,
        silence_limit_s: float = MIN_SILENCE_LIMIT_S,
    ) -> bool:
        """Record a heartbeat of a leader, unless a higher term is known.

        :param term: term of the leader
        :param leader: name of the leader's node
        :param echoed_timestamp: timestamp of the last heartbeat of this
            node that the leader received, 0 if none; a later one than
            ``now`` is that of a replaced VM and is ignored
        :param confirmation_age_s: seconds since the store confirmed the term
        :param now: current time in seconds, monotonic
        :param silence_limit_s: seconds without a heartbeat after which the
            leader wants to be replaced; only limits from
            ``MIN_SILENCE_LIMIT_S`` to ``MAX_SILENCE_LIMIT_S`` are accepted
        :returns: False if a higher term is known
        """
        if term < self._term:
            return False
        if term > self._term:
            self._count_short_term(now)
            self._followed_since = now
            self._echoed_timestamp = 0.0
            self._leader_resigned = False
        self._term = term
        self._leader = leader
        self._waiting_since = now
        self._leader_timeout_s = min(
            max(silence_limit_s, MIN_SILENCE_LIMIT_S), MAX_SILENCE_LIMIT_S
        )
        if echoed_timestamp <= now:
            self._echoed_timestamp = max(
                self._echoed_timestamp, echoed_timestamp
            )
        self._confirmation_age_s = confirmation_age_s
        return True

    def _count_short_term(self, now: float) -> None:
        """Count the known term if it ends while it is young."""
        if not self._term or self._leader_resigned:
            return
        if now - self._followed_since < _SHORT_TERM_S:
            self._short_terms = min(self._short_terms + 1, _MAX_SHORT_TERMS)
        else:
            self._short_terms = 0

    def _silence_limit_s(self, now: float) -> float:
        """Return the seconds without a heartbeat that count as silence."""
        if now - self._followed_since >= _SHORT_TERM_S:
            return self._leader_timeout_s
        return min(
            self._leader_timeout_s * (1 << self._short_terms),
            MAX_SILENCE_LIMIT_S,
        )

    def record_resignation(self, term: int) -> None:
        """Record that the leader of a term has resigned."""
        if term == self._term:
            self._leader_resigned = True

    def holds_grant(self, term: int, now: float) -> bool:
        """Tell whether the grant to call workers for a term is valid.

        Its validity is measured from this process's own timestamp, so a
        delayed heartbeat, or one that is read after the machine was
        suspended, does not extend it.

        :param term: term on behalf of whose leader workers are called
        :param now: current time of the clock that the timestamps are from
        """
        return term == self._term and now - self._echoed_timestamp < GRANT_S

    def seconds_followed(self, term: int, now: float) -> float:
        """Return how long ago the first heartbeat of a term arrived.

        :param term: a term
        :param now: current time in seconds, monotonic
        :returns: seconds, 0 unless the term is the highest known one
        """
        return now - self._followed_since if term == self._term else 0.0

    def leader_reachable(self, now: float) -> bool:
        """Tell whether the leader sent a heartbeat recently."""
        return (
            self._term > 0
            and not self._leader_resigned
            and now - self._waiting_since < self._silence_limit_s(now)
        )

    def should_campaign(self, now: float) -> bool:
        """Tell whether this process should try to be elected."""
        return self.campaign_reason(now) is not None

    def campaign_reason(self, now: float) -> CampaignReason | None:
        """Return why this process should try to be elected, None if not.

        It should when the leader has resigned, its heartbeats are missing or
        the store has not confirmed its term for too long.
        """
        if now < self._campaign_postponed_until:
            return None
        since_heartbeat_s = now - self._waiting_since
        if self._leader_resigned:
            waited = since_heartbeat_s > self._campaign_delay_s
            return CampaignReason.RESIGNED if waited else None
        limit_s = self._silence_limit_s(now) + self._campaign_delay_s
        if since_heartbeat_s > limit_s:
            return CampaignReason.SILENT
        # All processes get the heartbeats at the same time. Without the time
        # since then, one of them would end the delays of all.
        age_s = self._confirmation_age_s + min(
            max(0.0, since_heartbeat_s), HEARTBEAT_INTERVAL_S
        )
        if age_s > _MAX_CONFIRMATION_AGE_S + self._campaign_delay_s:
            return CampaignReason.UNCONFIRMED
        return None

    def excuse_delay(self, late_s: float) -> None:
        """Leave a delay of this process out of the leader's silence.

        Heartbeats that arrived meanwhile have not been read yet.

        :param late_s: length of the delay in seconds
        """
        self._waiting_since += late_s

    def postpone_campaign(self, now: float) -> None:
        """Restart the campaign delay.

        To be called after a failed campaign, and after the end of a term of
        this process.
        """
        self._campaign_postponed_until = now + self._campaign_delay_s
        self._confirmation_age_s = 0.0

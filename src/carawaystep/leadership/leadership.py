"""When a process may lead, and when it should try to."""

from __future__ import annotations

# A leader acts for so long after the store last confirmed it. Longer than
# the usual outages of the store, so that leases are extended meanwhile.
LEADER_LEASE_S = 10.0

# A member acts for a leader for so long after the leader echoed its stamp.
GRANT_S = 2.0

# Four times the interval at which the leader sends.
_LEADER_TIMEOUT_S = 1.0
_STARTUP_LEADER_TIMEOUT_S = 0.7

# A leader that the store has not confirmed for so long is replaced, if the
# other process reaches the store.
_MAX_CONFIRMATION_AGE_S = 1.5

# Scales the wait of slow machines behind fast ones.
_CAMPAIGN_DELAY_ONE_CORE_S = 0.2
_MAX_CAMPAIGN_JITTER_S = 0.3


class Leadership:
    """What a process knows about the leader.

    Safety rests on the compare-and-set of the leader's row, on the check of
    that row in each transaction, and on the fencing token at the workers;
    these rules decide only who tries when.
    """

    def __init__(self, name: str, cores: float, now: float) -> None:
        """Create the knowledge of a process that has just started.

        :param name: name of its node
        :param cores: processor that it has
        :param now: present time, seconds of a steady clock
        """
        self._name = name
        jitter = sum(name.encode()) % 16 / 16
        self._campaign_delay_s = (
            min(
                _CAMPAIGN_DELAY_ONE_CORE_S / cores,
                3 * _CAMPAIGN_DELAY_ONE_CORE_S,
            )
            + jitter * _MAX_CAMPAIGN_JITTER_S
        )
        self._term = 0
        self._leader = ""
        self._heard_at = now
        self._leader_timeout_s = _STARTUP_LEADER_TIMEOUT_S
        self._echoed_stamp = 0.0
        self._confirmation_age_s = 0.0
        self._leader_resigned = False

    @property
    def term(self) -> int:
        """Return the highest term heard of."""
        return self._term

    @property
    def leader(self) -> str:
        """Return the name of the leader of that term."""
        return self._leader

    def record_heartbeat(
        self,
        term: int,
        leader: str,
        echo: float,
        confirmation_age_s: float,
        now: float,
    ) -> bool:
        """Take a sign of life of a leader.

        :param echo: this process's own stamp that the leader sent back
        :returns: False when a higher term is known
        """
        if term < self._term:
            return False
        if term > self._term:
            self._echoed_stamp = 0.0
            self._leader_resigned = False
        self._term = term
        self._leader = leader
        self._heard_at = now
        self._leader_timeout_s = _LEADER_TIMEOUT_S
        self._echoed_stamp = max(self._echoed_stamp, echo)
        self._confirmation_age_s = confirmation_age_s
        return True

    def record_resignation(self, term: int) -> None:
        """Take the farewell of a leader."""
        if term == self._term:
            self._leader_resigned = True

    def holds_grant(self, term: int, now: float) -> bool:
        """Tell whether this process may call workers for a term's leader.

        The stamp is this process's own, so that a message that was delayed
        or read after a suspension grants nothing.

        :param now: present time of the clock that the stamps are from
        """
        return term == self._term and now - self._echoed_stamp < GRANT_S

    def leader_reachable(self, now: float) -> bool:
        """Tell whether the leader was heard recently."""
        return (
            self._term > 0
            and not self._leader_resigned
            and now - self._heard_at < _LEADER_TIMEOUT_S
        )

    def should_campaign(self, now: float) -> bool:
        """Tell whether this process should try to lead."""
        if self._leader_resigned:
            return now - self._heard_at > self._campaign_delay_s
        silent_s = now - self._heard_at
        if silent_s > self._leader_timeout_s + self._campaign_delay_s:
            return True
        return (
            self._confirmation_age_s
            > _MAX_CONFIRMATION_AGE_S + self._campaign_delay_s
        )

    def postpone_campaign(self, now: float) -> None:
        """Wait once more, after an attempt that did not succeed."""
        self._heard_at = max(self._heard_at, now - self._leader_timeout_s)
        self._confirmation_age_s = 0.0

"""Faults of the store that are in effect."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class StoreFaults:
    """Faults of calls to the store.

    :param refusing: nodes whose calls are refused
    :param silent: nodes whose calls arrive nowhere and get no answer
    :param added_delay_s: longest time that is added to each call, seconds
    :param lost_answer_rate: probability that a transaction is applied and
        its answer is lost
    :param late_rate: probability that a transaction is applied seconds
        later, if its conditions still hold, without an answer
    :param feed_delays_s: by table, seconds by which the answers of its
        change feed are late
    """

    refusing: set[str] = field(default_factory=set)
    silent: set[str] = field(default_factory=set)
    added_delay_s: float = 0.0
    lost_answer_rate: float = 0.0
    late_rate: float = 0.0
    feed_delays_s: dict[str, float] = field(default_factory=dict)

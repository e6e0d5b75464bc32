"""Counts the traffic of one measured process by kind of call."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace
from typing import TYPE_CHECKING

from tools.capacity.traffic import Traffic

if TYPE_CHECKING:
    from collections.abc import Mapping


class TrafficCounter:
    """Traffic of all relays of one measured process."""

    def __init__(self) -> None:
        """Create a counter without traffic."""
        self._traffic: defaultdict[str, Traffic] = defaultdict(Traffic)

    def counts_of(self, name: str) -> Traffic:
        """Return the counters of a kind of call, which relays increase.

        :param name: name of the kind, such as ``platform/vms``
        """
        return self._traffic[name]

    def snapshot(self) -> dict[str, Traffic]:
        """Return a copy of all counts."""
        return {
            name: replace(traffic) for name, traffic in self._traffic.items()
        }

    def rates_since(
        self, earlier: Mapping[str, Traffic], elapsed_s: float
    ) -> dict[str, dict[str, float]]:
        """Return the counts per second since a snapshot.

        :param earlier: the snapshot
        :param elapsed_s: time since the snapshot
        :returns: rates by kind of call, without kinds that had no traffic
        """
        rates = {}
        for name, traffic in sorted(self._traffic.items()):
            before = earlier.get(name, Traffic())
            counts = {
                "calls": traffic.calls - before.calls,
                "sent_bytes": traffic.sent_bytes - before.sent_bytes,
                "received_bytes": traffic.received_bytes
                - before.received_bytes,
            }
            if any(counts.values()):
                rates[name] = {
                    f"{key}_per_s": round(value / elapsed_s, 3)
                    for key, value in counts.items()
                }
        return rates

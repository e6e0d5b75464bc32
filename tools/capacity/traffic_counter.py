"""Traffic of one measured process by kind of call."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace
from typing import TYPE_CHECKING

from tools.capacity.traffic import Traffic

if TYPE_CHECKING:
    from collections.abc import Mapping


class TrafficCounter:
    """Sums up what all relays of one measured process see."""

    def __init__(self) -> None:
        """Create a counter without traffic."""
        self._traffic: defaultdict[str, Traffic] = defaultdict(Traffic)

    def counts_of(self, name: str) -> Traffic:
        """Return the running counts of a kind, such as ``platform/vms``."""
        return self._traffic[name]

    def snapshot(self) -> dict[str, Traffic]:
        """Return a copy of all counts."""
        return {name: replace(part) for name, part in self._traffic.items()}

    def rates_since(
        self, earlier: Mapping[str, Traffic], seconds: float
    ) -> dict[str, dict[str, float]]:
        """Return the counts per second since a snapshot.

        :param earlier: the snapshot
        :param seconds: time since then
        """
        rates = {}
        for name, part in sorted(self._traffic.items()):
            before = earlier.get(name, Traffic())
            counts = {
                "calls": part.calls - before.calls,
                "sent_bytes": part.sent_bytes - before.sent_bytes,
                "received_bytes": part.received_bytes - before.received_bytes,
            }
            if any(counts.values()):
                rates[name] = {
                    f"{key}_per_s": round(value / seconds, 3)
                    for key, value in counts.items()
                }
        return rates

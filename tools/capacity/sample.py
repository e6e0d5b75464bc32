"""Result of one measurement."""

from __future__ import annotations

from dataclasses import asdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tools.capacity.scenario import Scenario

if TYPE_CHECKING:
    from typing import Any


@dataclass(frozen=True, slots=True)
class Sample:
    """Resource use of a measured entry process in one time window.

    :param scenario: sizes of the simulated deployment
    :param window_s: length of the window
    :param start_cpu_s: processor time from its start until it was ready
    :param cpu_cores: processor time per second of the window
    :param resident_mb: resident memory at the end of the window
    :param traffic: calls and bytes per second by kind of call
    """

    scenario: Scenario
    window_s: float
    start_cpu_s: float
    cpu_cores: float
    resident_mb: float
    traffic: dict[str, dict[str, float]]

    def total(self, group: str, field: str) -> float:
        """Return the sum of a rate over all kinds of call of a group.

        :param group: platform, workers or peers
        :param field: calls_per_s, sent_bytes_per_s or received_bytes_per_s
        """
        return sum(
            rates[field]
            for kind, rates in self.traffic.items()
            if kind.partition("/")[0] == group
        )

    def calls_per_s(self, kind: str) -> float:
        """Return the calls per second of a kind of call, 0 without calls."""
        return float(self.traffic.get(kind, {}).get("calls_per_s", 0.0))

    def bytes_per_s(self, group: str) -> float:
        """Return the bytes per second of a group in both directions."""
        return self.total(group, "sent_bytes_per_s") + self.total(
            group, "received_bytes_per_s"
        )

    def cost(self, name: str) -> float:
        """Return a cost by its name.

        :param name: cpu_percent, resident_mb, or a group of traffic for its
            bytes per second
        """
        if name == "cpu_percent":
            return self.cpu_cores * 100
        if name == "resident_mb":
            return self.resident_mb
        return self.bytes_per_s(name)

    @classmethod
    def from_json(cls, value: dict[str, Any]) -> Sample:
        """Create a sample from the JSON object that ``to_json`` returns."""
        return cls(**{**value, "scenario": Scenario(**value["scenario"])})

    def to_json(self) -> dict[str, Any]:
        """Return the sample as a JSON object."""
        return asdict(self)

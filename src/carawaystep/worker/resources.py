"""Amounts of cores, memory and accelerators."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of each resource.

    :param cpu: cores
    :param memory_mb: megabytes
    :param accelerators: whole accelerators
    """

    cpu: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:
        """Return the sum of two amounts."""
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        """Return the difference of two amounts."""
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, limit: Resources) -> bool:
        """Return whether no resource exceeds the limit.

        Cores are compared with a tolerance of one millionth of a core,
        because sums of fractional cores have rounding errors.
        """
        return (
            self.cpu <= limit.cpu + 1e-6
            and self.memory_mb <= limit.memory_mb
            and self.accelerators <= limit.accelerators
        )

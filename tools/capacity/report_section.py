"""A part of the report."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod


class ReportSection(ABC):
    """Generates some blocks of the capacity page."""

    @abstractmethod
    def blocks(self) -> dict[str, str]:
        """Return the Markdown of each block by its name."""

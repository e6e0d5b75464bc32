"""Runs the tests that ``KNOWN-RED.txt`` lists as expected failures.

An entry names such a test by its pytest id on the line ``- test: ID``. The
other entries describe runs that are not part of the tests.
"""

from __future__ import annotations

from pathlib import Path
import re
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from pytest import Config
    from pytest import Item
    from pytest import TerminalReporter

_LIST_PATH = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
_ENTRY = re.compile(r"^- test: (tests/[^\s:]+\.py::[^\s;]+)", re.MULTILINE)


def pytest_collection_modifyitems(items: list[Item]) -> None:
    """Mark the listed tests; one that passes fails, so that it is removed."""
    listed = set(_listed_tests())
    for item in items:
        if item.nodeid in listed:
            item.add_marker(
                pytest.mark.xfail(reason="listed as known red", strict=True)
            )


def pytest_terminal_summary(
    terminalreporter: TerminalReporter, config: Config
) -> None:
    """Print the listed tests that failed as expected."""
    for report in terminalreporter.stats.get("xfailed", ()):
        terminalreporter.write_line(f"known red: {report.nodeid}")


def _listed_tests() -> list[str]:
    return _ENTRY.findall(_LIST_PATH.read_text())

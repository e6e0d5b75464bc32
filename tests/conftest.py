"""Runs the tests that ``KNOWN-RED.txt`` lists as expected failures.

An entry names such a test by its pytest id on the line ``- test: ID``, and
with ``unsteady`` in it if the test passes at times. The other entries
describe runs that are not part of the tests.
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
_ENTRY = re.compile(
    r"^- test: (tests/[^\s:]+\.py::[^\s;]+)(; unsteady)?", re.MULTILINE
)


def pytest_collection_modifyitems(items: list[Item]) -> None:
    """Mark the listed tests.

    A steady one that passes counts as failed, so that its entry is removed.
    """
    unsteady_by_test = {
        test: bool(unsteady)
        for test, unsteady in _ENTRY.findall(_LIST_PATH.read_text())
    }
    for item in items:
        unsteady = unsteady_by_test.get(item.nodeid)
        if unsteady is not None:
            mark = pytest.mark.xfail(
                reason="listed as known red", strict=not unsteady
            )
            item.add_marker(mark)


def pytest_terminal_summary(
    terminalreporter: TerminalReporter, config: Config
) -> None:
    """Print the listed tests and whether they failed as expected."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, ()):
            terminalreporter.write_line(
                f"known red: {report.nodeid} {outcome}"
            )

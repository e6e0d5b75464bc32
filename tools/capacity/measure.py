"""Measures what an entry process costs and writes docs/CAPACITY.md."""

from __future__ import annotations

from argparse import ArgumentParser
import json
import sys
from typing import TYPE_CHECKING

from tools.capacity.capacity_page import CapacityPage
from tools.capacity.capacity_report import CapacityReport
from tools.capacity.measurement_run import MeasurementRun
from tools.capacity.sampler import Sampler
from tools.interruptible import run_interruptible
from tools.managed_process import REPOSITORY_ROOT

if TYPE_CHECKING:
    from argparse import Namespace

_MEASUREMENTS_FILE = REPOSITORY_ROOT / "docs" / "capacity-measurements.json"
_PAGE_FILE = REPOSITORY_ROOT / "docs" / "CAPACITY.md"


async def _run(arguments: Namespace) -> int:
    if not arguments.report_only:
        sampler = Sampler(arguments.window, arguments.at_once)
        MeasurementRun.save(
            await MeasurementRun(sampler).run(), _MEASUREMENTS_FILE
        )
    report = CapacityReport(json.loads(_MEASUREMENTS_FILE.read_text()))
    page = CapacityPage(_PAGE_FILE.read_text())
    _PAGE_FILE.write_text(page.with_blocks(report.blocks()))
    return 0


def main() -> int:
    """Run the command line.

    :returns: exit code
    """
    parser = ArgumentParser(description=__doc__)
    parser.add_argument(
        "--report-only",
        action="store_true",
        help="write the page from the measurements in docs/",
    )
    # In 10 s the number of polls varies by one in ten, in 15 s by one in 15.
    parser.add_argument("--window", type=float, default=15.0, help="seconds")
    parser.add_argument(
        "--at-once", type=int, default=5, help="entries measured together"
    )
    return run_interruptible(_run(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())

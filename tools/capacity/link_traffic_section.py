"""Traffic of an entry with workers and peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.capacity.limits import BUDGETS
from tools.capacity.markdown import to_cell
from tools.capacity.rate_table import rate_row
from tools.capacity.rate_table import rate_table
from tools.capacity.report_section import ReportSection

if TYPE_CHECKING:
    from tools.capacity.capacity_figures import CapacityFigures

_WORKER_CALL_MECHANISMS = {
    "workers/report": "long poll of 5 s, answered at once on a change",
    "workers/leases": "one message for all tasks, each 10 s",
    "workers/tasks": "one call for each start",
}
_PEER_LINK_MECHANISMS = {
    "peers/out": "own heartbeats: each second in the zone, each 5 s beyond",
    "peers/in": "heartbeats of the peers, on links of their own",
}
_RATE_TITLES = {
    "calls_per_s": "calls/s",
    "sent_bytes_per_s": "B/s sent by the entry",
    "received_bytes_per_s": "B/s received by it",
}


class LinkTrafficSection(ReportSection):
    """Traffic between an entry and its workers and peers."""

    def __init__(self, figures: CapacityFigures) -> None:
        """Create the section.

        :param figures: figures to show
        """
        self._figures = figures

    def blocks(self) -> dict[str, str]:
        """Return the blocks of workers and of peers."""
        return {
            "worker": self._workers_table(),
            "peers": self._peers_table(),
        }

    def _workers_table(self) -> str:
        rows = []
        for kind, mechanism in _WORKER_CALL_MECHANISMS.items():
            for field, title in _RATE_TITLES.items():
                rates = [
                    sample.traffic.get(kind, {}).get(field, 0.0)
                    / sample.scenario.workers
                    for sample in self._figures.samples
                ]
                rows.append(rate_row(f"{kind}, {title}", rates, "", mechanism))
        model = self._figures.model
        per_worker = model.fit("workers", "workers").per_unit
        per_task = model.fit("running", "workers").per_unit
        per_start = model.fit("starts_per_s", "workers").per_unit
        rows.append(
            rate_row(
                "all bytes of a worker, B/s",
                [
                    sample.bytes_per_s("workers") / sample.scenario.workers
                    for sample in self._figures.samples
                ],
                f"{to_cell(per_worker)} an idle worker,"
                f" {to_cell(per_task)} a running task,"
                f" {to_cell(per_start)} a start/s",
                "",
                BUDGETS["bytes_per_s"],
            )
        )
        return rate_table(rows)

    def _peers_table(self) -> str:
        rows = []
        for kind, mechanism in _PEER_LINK_MECHANISMS.items():
            for field, title in _RATE_TITLES.items():
                rates = [
                    sample.traffic[kind][field]
                    for sample in self._figures.samples
                ]
                rows.append(rate_row(f"{kind}, {title}", rates, "", mechanism))
        model = self._figures.model
        per_zone_entry = model.fit("zone_entries", "peers").per_unit
        per_zone = model.fit("availability_zones", "peers").per_unit
        rows.append(
            rate_row(
                "all bytes of an entry, B/s",
                [
                    sample.bytes_per_s("peers")
                    for sample in self._figures.samples
                ],
                f"{to_cell(per_zone_entry)} an entry of the zone,"
                f" {to_cell(per_zone)} a zone",
                "",
                BUDGETS["bytes_per_s"],
            )
        )
        return rate_table(rows)

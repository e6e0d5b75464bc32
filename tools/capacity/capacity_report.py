"""Generates the tables of the capacity page from measurements."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.capacity.cost_model import CostModel
from tools.capacity.linear_fit import LinearFit
from tools.capacity.markdown import format_table
from tools.capacity.markdown import to_cell
from tools.capacity.plan import deployments
from tools.capacity.sample import Sample

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence
    from typing import Any


# Limits of the control overhead of one node.
BUDGETS = {"cpu_percent": 3.6, "resident_mb": 128.0, "bytes_per_s": 3000.0}
READ_LIMIT_PER_S = 2000.0
WRITE_LIMIT_PER_S = 400.0
_PEAK_STARTS_PER_S = 200.0
_JOBS_PER_DAY = 21_000
_DAY_S = 86_400
_DOCUMENT_CHANGES_PER_DAY = 7_100

_COST_TITLES = {
    "cpu_percent": "processor, % of a core",
    "resident_mb": "memory, MB",
    "platform": "platform, B/s",
    "workers": "workers, B/s",
    "peers": "peers, B/s",
}
_SIZE_LABELS = {
    "workers": ("own workers", "session task and long poll for each"),
    "zone_entries": (
        "entries of its zone",
        "peer link and heartbeat row for each",
    ),
    "availability_zones": (
        "availability zones, 9 entries each",
        "two peer links for each zone, rows read each 5 s",
    ),
    "jobs": ("queued jobs of its shards", "job board, in memory"),
    "running": ("running tasks", "lease renewal each 10 s, report list"),
    "starts_per_s": (
        "starts of tasks a second",
        "claim, row, dispatch, report and end of each job",
    ),
    "documents": ("documents", "document set, in memory"),
    "document_changes_per_s": (
        "changes of documents a second",
        "poll of the table, YAML loaded",
    ),
    "vms": ("VMs in the list", "whole list read and parsed each second"),
    "zone_vms": (
        "VMs of its zone",
        "ownership rules for each, twice a second",
    ),
}


_POLL_MECHANISMS = {
    "entries": "own zone each second, all zones each 5 s",
    "owners": "each second",
    "jobs": "each second, with one prefix for each shard of the zone",
    "documents": "each second",
    "vms": "each second, the whole list",
}
_WORKER_CALL_MECHANISMS = {
    "workers/report": "long poll of 5 s, answered at once on a change",
    "workers/leases": "one message for all tasks, each 10 s",
    "workers/tasks": "one call for each start",
}
_PEER_LINK_MECHANISMS = {
    "peers/out": "own heartbeats: each second in the zone, each 5 s beyond",
    "peers/in": "heartbeats of the peers, on links of their own",
}
_NOT_SIGNIFICANT = "none seen: within the variation of the number of polls"
_RATE_TITLES = {
    "calls_per_s": "calls/s",
    "sent_bytes_per_s": "B/s sent by the entry",
    "received_bytes_per_s": "B/s received by it",
}
_RATE_TABLE_HEADER = [
    "figure",
    "today",
    "target",
    "target, 70 workers",
    "measured slope",
    "budget",
    "holds",
    "mechanism",
]


class CapacityReport:
    """Turns measurements into Markdown tables.

    Most rows have three figures: the small deployment of today, the target
    size, and the target size with 70 workers for each entry.
    """

    def __init__(self, measurements: Mapping[str, Any]) -> None:
        """Create a report.

        :param measurements: JSON value that ``MeasurementRun`` writes
        """
        self._measurements = measurements
        self._model = CostModel(measurements["slopes"])
        self._combined = {
            name: Sample.from_json(value)
            for name, value in measurements["combined"].items()
        }
        self._today, self._target, self._target_70 = deployments()

    def blocks(self) -> dict[str, str]:
        """Return the Markdown of each block of the page by its name."""
        return {
            "machine": self._machine_text(),
            "entry": self._size_costs_table(),
            "entry-bytes": self._size_traffic_table(),
            "entry-total": self._total_costs_table(),
            "table": self._table_service_table(),
            "worker": self._workers_table(),
            "peers": self._peers_table(),
            "decisions": self._decisions_table(),
            "start": self._startup_table(),
        }

    def _machine_text(self) -> str:
        machine = self._measurements["machine"]
        return (
            f"Measured on {machine['cores']} cores with Python"
            f" {machine['python']}."
        )

    def _size_costs_table(self) -> str:
        rows = [
            [
                title,
                to_cell(self._today.sizes[name]),
                to_cell(self._target.sizes[name]),
                to_cell(self._target_70.sizes[name]),
                *self._slope_cells(name, "cpu_percent"),
                *self._slope_cells(name, "resident_mb"),
                mechanism,
            ]
            for name, (title, mechanism) in _SIZE_LABELS.items()
        ]
        return format_table(
            [
                "size",
                "today",
                "target",
                "target, 70 workers",
                "% of a core for each",
                "adds at target",
                "adds at 70",
                "MB for each",
                "adds at target",
                "adds at 70",
                "mechanism",
            ],
            rows,
        )

    def _size_traffic_table(self) -> str:
        rows = []
        for name, (title, mechanism) in _SIZE_LABELS.items():
            for cost in ("platform", "workers", "peers"):
                fit = self._model.fit(name, cost)
                added = self._model.growth(
                    name, cost, self._target.sizes[name]
                )
                # Less than 1 B/s is within the variation of the measurements.
                if abs(added) < 1:
                    continue
                rows.append(
                    [
                        title,
                        cost,
                        *self._slope_cells(name, cost),
                        to_cell(fit.residual),
                        mechanism if fit.is_significant else _NOT_SIGNIFICANT,
                    ]
                )
        return format_table(
            [
                "size",
                "to",
                "B/s for each",
                "adds at target",
                "adds at 70",
                "largest residual",
                "mechanism",
            ],
            rows,
        )

    def _slope_cells(self, name: str, cost: str) -> list[str]:
        fit = self._model.fit(name, cost)
        cells = [to_cell(fit.per_unit)]
        for deployment in (self._target, self._target_70):
            size = deployment.sizes[name]
            added = to_cell(self._model.growth(name, cost, size))
            extrapolated = fit.extrapolates(size)
            cells.append(f"{added} (e)" if extrapolated else added)
        return cells

    def _total_costs_table(self) -> str:
        rows = [
            self._total_row(
                title,
                [cost],
                BUDGETS.get(cost),
            )
            for cost, title in _COST_TITLES.items()
        ]
        rows.append(
            self._total_row(
                "all bytes, B/s",
                ["platform", "workers", "peers"],
                BUDGETS["bytes_per_s"],
            )
        )
        return format_table(
            [
                "cost",
                "small, measured",
                "target, sum of slopes",
                "target, measured whole",
                "at 70, sum of slopes",
                "at 70, measured whole",
                "budget",
                "holds (measured whole)",
            ],
            rows,
        )

    def _total_row(
        self, title: str, costs: Sequence[str], budget: float | None
    ) -> list[str]:
        measured = [
            sum(self._combined[name].cost(cost) for cost in costs)
            for name in ("target", "target_70")
        ]
        summed = [
            sum(self._model.total(cost, deployment.sizes) for cost in costs)
            for deployment in (self._target, self._target_70)
        ]
        return [
            title,
            to_cell(sum(self._model.small.cost(cost) for cost in costs)),
            to_cell(summed[0]),
            to_cell(measured[0]),
            to_cell(summed[1]),
            to_cell(measured[1]),
            "" if budget is None else to_cell(budget),
            "" if budget is None else describe_limit_result(measured, budget),
        ]

    def _table_service_table(self) -> str:
        rows = self._read_rows() + self._write_rows()
        rows.append(
            self._rate_row(
                "bytes to all entries, B/s",
                self._rates_of_all_entries(
                    lambda sample: sample.total(
                        "platform", "received_bytes_per_s"
                    )
                ),
                mechanism="sum over all entries, most of it the VM list",
            )
        )
        return format_table(_RATE_TABLE_HEADER, rows)

    def _read_rows(self) -> list[list[str]]:
        rows = []
        total = [0.0, 0.0, 0.0]
        for name, mechanism in _POLL_MECHANISMS.items():
            rates = self._rates_of_all_entries(
                lambda sample, name=name: _calls_per_s(
                    sample.traffic, f"platform/{name}"
                )
            )
            total = [a + b for a, b in zip(total, rates, strict=True)]
            slope = f"{to_cell(rates[1] / self._target.entries)} an entry"
            rows.append(
                self._rate_row(f"reads of {name}/s", rates, slope, mechanism)
            )
        rows.append(
            self._rate_row(
                "all reads/s",
                total,
                f"{to_cell(total[1] / self._target.entries)} an entry",
                "polls of each follower",
                READ_LIMIT_PER_S,
            )
        )
        return rows

    def _write_rows(self) -> list[list[str]]:
        heartbeat_rate = _calls_per_s(
            self._model.small.traffic, "platform/transactions"
        )
        writes_per_start = self.writes_per_start()
        heartbeats = self._rates_of_all_entries(lambda _: heartbeat_rate)
        inserts = [0.0] + [_PEAK_STARTS_PER_S] * 2
        changes = [rate * writes_per_start for rate in inserts]
        peak_total = [
            sum(rates)
            for rates in zip(heartbeats, inserts, changes, strict=True)
        ]
        average = [0.0] + [_JOBS_PER_DAY / _DAY_S * (1 + writes_per_start)] * 2
        documents = [0.0] + [_DOCUMENT_CHANGES_PER_DAY / _DAY_S] * 2
        average_total = [
            sum(rates)
            for rates in zip(heartbeats, average, documents, strict=True)
        ]
        return [
            self._rate_row(
                "writes of heartbeats/s",
                heartbeats,
                f"{to_cell(heartbeat_rate)} an entry",
                "own row, each 2 s",
            ),
            self._rate_row(
                "writes of new jobs at the peak/s",
                inserts,
                "1 a job, not measured",
                "insert before 202",
            ),
            self._rate_row(
                "writes of job changes at the peak/s",
                changes,
                f"{to_cell(writes_per_start)} a start",
                "assignment and end, a transaction each",
            ),
            self._rate_row(
                "all writes at the peak/s",
                peak_total,
                "",
                "",
                WRITE_LIMIT_PER_S,
            ),
            self._rate_row(
                "writes of jobs on average/s",
                average,
                f"{to_cell(1 + writes_per_start)} a job",
                "insert, assignment and end",
            ),
            self._rate_row(
                "writes of documents on average/s",
                documents,
                "1 a change, not measured",
                "compare-and-set",
            ),
            self._rate_row(
                "all writes on average/s",
                average_total,
                "",
                "",
                WRITE_LIMIT_PER_S,
            ),
        ]

    def _rates_of_all_entries(
        self, rate: Callable[[Sample], float]
    ) -> list[float]:
        """Return the rate of an entry times the number of entries.

        :param rate: reads the rate of one entry from a sample
        :returns: a figure for each of the three deployments
        """
        return [
            rate(sample) * deployment.entries
            for sample, deployment in (
                (self._model.small, self._today),
                (self._combined["target"], self._target),
                (self._combined["target_70"], self._target_70),
            )
        ]

    @staticmethod
    def _rate_row(
        title: str,
        rates: Sequence[float],
        slope: str = "",
        mechanism: str = "",
        budget: float | None = None,
    ) -> list[str]:
        return [
            title,
            *map(to_cell, rates),
            slope,
            "" if budget is None else to_cell(budget),
            "" if budget is None else describe_limit_result(rates[1:], budget),
            mechanism,
        ]

    def writes_per_start(self) -> float:
        """Return the number of transactions that one start of a task adds.

        The slope of the fitted line leaves out heartbeats, which are written
        without any start, too.
        """
        samples = [
            point["sample"]["traffic"]
            for point in self._measurements["slopes"]["starts_per_s"]
        ]
        return LinearFit.fit(
            [_calls_per_s(traffic, "workers/tasks") for traffic in samples],
            [
                _calls_per_s(traffic, "platform/transactions")
                for traffic in samples
            ],
        ).per_unit

    def _workers_table(self) -> str:
        rows = []
        for kind, mechanism in _WORKER_CALL_MECHANISMS.items():
            for field, title in _RATE_TITLES.items():
                rates = [
                    sample.traffic.get(kind, {}).get(field, 0.0)
                    / sample.scenario.workers
                    for sample in self._samples()
                ]
                rows.append(
                    self._rate_row(f"{kind}, {title}", rates, "", mechanism)
                )
        bytes_per_start = self._model.fit("starts_per_s", "workers").per_unit
        rows.append(
            self._rate_row(
                "all bytes of a worker, B/s",
                [
                    sample.bytes_per_s("workers") / sample.scenario.workers
                    for sample in self._samples()
                ],
                f"{to_cell(self._model.fit('workers', 'workers').per_unit)}"
                " an idle worker,"
                f" {to_cell(self._model.fit('running', 'workers').per_unit)}"
                " a running task,"
                f" {to_cell(bytes_per_start)} a start/s",
                "",
                BUDGETS["bytes_per_s"],
            )
        )
        return format_table(_RATE_TABLE_HEADER, rows)

    def _peers_table(self) -> str:
        rows = []
        for kind, mechanism in _PEER_LINK_MECHANISMS.items():
            for field, title in _RATE_TITLES.items():
                rates = [
                    sample.traffic[kind][field] for sample in self._samples()
                ]
                rows.append(
                    self._rate_row(f"{kind}, {title}", rates, "", mechanism)
                )
        per_zone_entry = self._model.fit("zone_entries", "peers").per_unit
        per_zone = self._model.fit("availability_zones", "peers").per_unit
        rows.append(
            self._rate_row(
                "all bytes of an entry, B/s",
                [sample.bytes_per_s("peers") for sample in self._samples()],
                f"{to_cell(per_zone_entry)} an entry of the zone,"
                f" {to_cell(per_zone)} a zone",
                "",
                BUDGETS["bytes_per_s"],
            )
        )
        return format_table(_RATE_TABLE_HEADER, rows)

    def _samples(self) -> list[Sample]:
        return [
            self._model.small,
            self._combined["target"],
            self._combined["target_70"],
        ]

    def _decisions_table(self) -> str:
        titles = {
            "placement": "one placement decision, for each worker",
            "claim_round": "one claim round, for each queued job",
            "shards": "ranking of the shards after a change, for each zone",
        }
        rows = []
        for name, title in titles.items():
            points = self._measurements["decisions_us"][name]
            sizes = [float(size) for size in points]
            fit = LinearFit.fit(sizes, list(points.values()))
            measured = ", ".join(
                f"{to_cell(float(size))}: {to_cell(cost)}"
                for size, cost in points.items()
            )
            rows.append([title, to_cell(fit.per_unit), measured])
        document = self._measurements["decisions_us"]["document"]["1"]
        rows.append(["loading one document", to_cell(document), ""])
        return format_table(["decision", "µs", "measured (size: µs)"], rows)

    def _startup_table(self) -> str:
        rows = []
        for point in self._measurements["slopes"]["documents"]:
            sample = point["sample"]
            rows.append(
                [
                    f"{point['size']} documents",
                    to_cell(sample["start_cpu_s"]),
                ]
            )
        for name, sample in self._combined.items():
            rows.append([f"whole sizes, {name}", to_cell(sample.start_cpu_s)])
        return format_table(
            ["start with", "processor time until ready, s"], rows
        )


def _calls_per_s(traffic: Mapping[str, Any], kind: str) -> float:
    return float(traffic.get(kind, {}).get("calls_per_s", 0.0))


def describe_limit_result(figures: Sequence[float], limit: float) -> str:
    """Describe whether all figures are within a limit.

    :param figures: measured figures
    :param limit: greatest allowed figure
    :returns: ``yes``, or ``no`` with the factor by which it is exceeded
    """
    highest = max(figures)
    if highest <= limit:
        return "yes"
    return f"no, up to {to_cell(highest / limit)} times the limit"

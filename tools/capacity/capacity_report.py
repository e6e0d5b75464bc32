"""Tables of the capacity page."""

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


# What a node may spend on control.
BUDGETS = {"cpu_percent": 3.6, "resident_mb": 128.0, "bytes_per_s": 3000.0}
READ_LIMIT_PER_S = 2000.0
WRITE_LIMIT_PER_S = 400.0
_PEAK_STARTS_PER_S = 200.0
_JOBS_PER_DAY = 21_000
_DAY_S = 86_400
_CHANGES_PER_DAY = 7_100

_COSTS = {
    "cpu_percent": "processor, % of a core",
    "resident_mb": "memory, MB",
    "platform": "platform, B/s",
    "workers": "workers, B/s",
    "peers": "peers, B/s",
}
_SIZES = {
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


_POLLS = {
    "entries": "own zone each second, all zones each 5 s",
    "owners": "each second",
    "jobs": "each second, with one prefix for each shard of the zone",
    "documents": "each second",
    "vms": "each second, the whole list",
}
_WORKER_CALLS = {
    "workers/report": "long poll of 5 s, answered at once on a change",
    "workers/leases": "one message for all tasks, each 10 s",
    "workers/tasks": "one call for each start",
}
_PEER_LINKS = {
    "peers/out": "own heartbeats: each second in the zone, each 5 s beyond",
    "peers/in": "heartbeats of the peers, on links of their own",
}
_UNCLEAR = "none seen: within the variation of the number of polls"
_FIELDS = {
    "calls_per_s": "calls/s",
    "sent_bytes_per_s": "B/s sent by the entry",
    "received_bytes_per_s": "B/s received by it",
}
_ROLE_HEAD = [
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
    """Turns measurements into Markdown."""

    def __init__(self, measurements: Mapping[str, Any]) -> None:
        """Take the raw figures.

        :param measurements: content of the file of measurements
        """
        self._measurements = measurements
        self._model = CostModel(measurements["slopes"])
        self._whole = {
            name: Sample.from_json(value)
            for name, value in measurements["combined"].items()
        }
        self._today, self._target, self._target_70 = deployments()

    def blocks(self) -> dict[str, str]:
        """Return all tables by the name of their block."""
        return {
            "machine": self._machine(),
            "entry": self._entry(),
            "entry-bytes": self._entry_bytes(),
            "entry-total": self._entry_total(),
            "table": self._table(),
            "worker": self._worker(),
            "peers": self._peers(),
            "decisions": self._decisions(),
            "start": self._start(),
        }

    def _machine(self) -> str:
        machine = self._measurements["machine"]
        return (
            f"Measured on {machine['cores']} cores with Python"
            f" {machine['python']}."
        )

    def _entry(self) -> str:
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
            for name, (title, mechanism) in _SIZES.items()
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

    def _entry_bytes(self) -> str:
        rows = []
        for name, (title, mechanism) in _SIZES.items():
            for cost in ("platform", "workers", "peers"):
                slope = self._model.fit(name, cost)
                added = self._model.growth(
                    name, cost, self._target.sizes[name]
                )
                # What adds less than 1 B/s is within the variation.
                if abs(added) < 1:
                    continue
                rows.append(
                    [
                        title,
                        cost,
                        *self._slope_cells(name, cost),
                        to_cell(slope.residual),
                        mechanism if slope.is_significant else _UNCLEAR,
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
        slope = self._model.fit(name, cost)
        cells = [to_cell(slope.per_unit)]
        for sizes in (self._target, self._target_70):
            size = sizes.sizes[name]
            added = to_cell(self._model.growth(name, cost, size))
            beyond = slope.extrapolates(size)
            cells.append(f"{added} (e)" if beyond else added)
        return cells

    def _entry_total(self) -> str:
        rows = [
            self._total_row(
                title,
                [cost],
                BUDGETS.get(cost),
            )
            for cost, title in _COSTS.items()
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
            sum(self._whole[name].cost(cost) for cost in costs)
            for name in ("target", "target_70")
        ]
        summed = [
            sum(self._model.total(cost, part.sizes) for cost in costs)
            for part in (self._target, self._target_70)
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

    def _table(self) -> str:
        rows = self._read_rows() + self._write_rows()
        rows.append(
            self._role_row(
                "bytes to all entries, B/s",
                self._entries_times(
                    lambda sample: sample.total(
                        "platform", "received_bytes_per_s"
                    )
                ),
                mechanism="sum over all entries, most of it the VM list",
            )
        )
        return format_table(_ROLE_HEAD, rows)

    def _read_rows(self) -> list[list[str]]:
        rows = []
        total = [0.0, 0.0, 0.0]
        for name, mechanism in _POLLS.items():
            rates = self._entries_times(
                lambda sample, name=name: _calls_per_s(
                    sample.traffic, f"platform/{name}"
                )
            )
            total = [a + b for a, b in zip(total, rates, strict=True)]
            slope = f"{to_cell(rates[1] / self._target.entries)} an entry"
            rows.append(
                self._role_row(f"reads of {name}/s", rates, slope, mechanism)
            )
        rows.append(
            self._role_row(
                "all reads/s",
                total,
                f"{to_cell(total[1] / self._target.entries)} an entry",
                "polls of each follower",
                READ_LIMIT_PER_S,
            )
        )
        return rows

    def _write_rows(self) -> list[list[str]]:
        beat = _calls_per_s(self._model.small.traffic, "platform/transactions")
        start = self.writes_per_start()
        beats = self._entries_times(lambda _: beat)
        inserts = [0.0] + [_PEAK_STARTS_PER_S] * 2
        changes = [rate * start for rate in inserts]
        sums = [
            sum(part) for part in zip(beats, inserts, changes, strict=True)
        ]
        average = [0.0] + [_JOBS_PER_DAY / _DAY_S * (1 + start)] * 2
        documents = [0.0] + [_CHANGES_PER_DAY / _DAY_S] * 2
        quiet = [
            sum(part) for part in zip(beats, average, documents, strict=True)
        ]
        return [
            self._role_row(
                "writes of heartbeats/s",
                beats,
                f"{to_cell(beat)} an entry",
                "own row, each 2 s",
            ),
            self._role_row(
                "writes of new jobs at the peak/s",
                inserts,
                "1 a job, not measured",
                "insert before 202",
            ),
            self._role_row(
                "writes of job changes at the peak/s",
                changes,
                f"{to_cell(start)} a start",
                "assignment and end, a transaction each",
            ),
            self._role_row(
                "all writes at the peak/s", sums, "", "", WRITE_LIMIT_PER_S
            ),
            self._role_row(
                "writes of jobs on average/s",
                average,
                f"{to_cell(1 + start)} a job",
                "insert, assignment and end",
            ),
            self._role_row(
                "writes of documents on average/s",
                documents,
                "1 a change, not measured",
                "compare-and-set",
            ),
            self._role_row(
                "all writes on average/s", quiet, "", "", WRITE_LIMIT_PER_S
            ),
        ]

    def _entries_times(self, rate: Callable[[Sample], float]) -> list[float]:
        """Return a rate of one entry times all entries, for each column."""
        return [
            rate(sample) * sizes.entries
            for sample, sizes in (
                (self._model.small, self._today),
                (self._whole["target"], self._target),
                (self._whole["target_70"], self._target_70),
            )
        ]

    @staticmethod
    def _role_row(
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
        """Return the transactions that one start adds, by the fitted line."""
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

    def _worker(self) -> str:
        rows = []
        for kind, mechanism in _WORKER_CALLS.items():
            for field, title in _FIELDS.items():
                rates = [
                    sample.traffic.get(kind, {}).get(field, 0.0)
                    / sample.scenario.workers
                    for sample in self._samples()
                ]
                rows.append(
                    self._role_row(f"{kind}, {title}", rates, "", mechanism)
                )
        start = self._model.fit("starts_per_s", "workers").per_unit
        rows.append(
            self._role_row(
                "all bytes of a worker, B/s",
                [
                    sample.bytes_per_s("workers") / sample.scenario.workers
                    for sample in self._samples()
                ],
                f"{to_cell(self._model.fit('workers', 'workers').per_unit)}"
                " an idle worker,"
                f" {to_cell(self._model.fit('running', 'workers').per_unit)}"
                " a running task,"
                f" {to_cell(start)} a start/s",
                "",
                BUDGETS["bytes_per_s"],
            )
        )
        return format_table(_ROLE_HEAD, rows)

    def _peers(self) -> str:
        rows = []
        for kind, mechanism in _PEER_LINKS.items():
            for field, title in _FIELDS.items():
                rates = [
                    sample.traffic[kind][field] for sample in self._samples()
                ]
                rows.append(
                    self._role_row(f"{kind}, {title}", rates, "", mechanism)
                )
        near = self._model.fit("zone_entries", "peers").per_unit
        far = self._model.fit("availability_zones", "peers").per_unit
        rows.append(
            self._role_row(
                "all bytes of an entry, B/s",
                [sample.bytes_per_s("peers") for sample in self._samples()],
                f"{to_cell(near)} an entry of the zone, {to_cell(far)} a zone",
                "",
                BUDGETS["bytes_per_s"],
            )
        )
        return format_table(_ROLE_HEAD, rows)

    def _samples(self) -> list[Sample]:
        return [
            self._model.small,
            self._whole["target"],
            self._whole["target_70"],
        ]

    def _decisions(self) -> str:
        titles = {
            "placement": "one placement decision, for each worker",
            "claim_round": "one claim round, for each queued job",
            "shards": "ranking of the shards after a change, for each zone",
        }
        rows = []
        for name, title in titles.items():
            points = self._measurements["decisions_us"][name]
            sizes = [float(size) for size in points]
            slope = LinearFit.fit(sizes, list(points.values()))
            listed = ", ".join(
                f"{to_cell(float(size))}: {to_cell(cost)}"
                for size, cost in points.items()
            )
            rows.append([title, to_cell(slope.per_unit), listed])
        document = self._measurements["decisions_us"]["document"]["1"]
        rows.append(["loading one document", to_cell(document), ""])
        return format_table(["decision", "µs", "measured (size: µs)"], rows)

    def _start(self) -> str:
        rows = []
        for point in self._measurements["slopes"]["documents"]:
            sample = point["sample"]
            rows.append(
                [
                    f"{point['size']} documents",
                    to_cell(sample["start_cpu_s"]),
                ]
            )
        for name, sample in self._whole.items():
            rows.append([f"whole sizes, {name}", to_cell(sample.start_cpu_s)])
        return format_table(
            ["start with", "processor time until ready, s"], rows
        )


def _calls_per_s(traffic: Mapping[str, Any], kind: str) -> float:
    return float(traffic.get(kind, {}).get("calls_per_s", 0.0))


def describe_limit_result(figures: Sequence[float], limit: float) -> str:
    """Tell whether all figures are within a limit, or by how much not."""
    worst = max(figures)
    if worst <= limit:
        return "yes"
    return f"no, up to {to_cell(worst / limit)} times the limit"

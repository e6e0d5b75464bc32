"""Tables of the capacity page."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.capacity.cost_model import CostModel
from tools.capacity.markdown import cell
from tools.capacity.markdown import table
from tools.capacity.plan import deployments
from tools.capacity.sample import Sample
from tools.capacity.slope import Slope

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence
    from typing import Any

    from tools.capacity.plan import DeploymentSizes

# What a node may spend on control.
BUDGETS = {"cpu_percent": 3.6, "resident_mb": 128.0, "bytes_per_s": 3000.0}
READS_PER_S = 2000.0
WRITES_PER_S = 400.0
_PEAK_STARTS_PER_S = 200.0
_JOBS_PER_DAY = 21_000
_DAY_S = 86_400
# Insert, assignment and end.
_WRITES_PER_JOB = 3

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
                cell(self._today.sizes[name]),
                cell(self._target.sizes[name]),
                cell(self._target_70.sizes[name]),
                *self._slope_cells(name, "cpu_percent"),
                *self._slope_cells(name, "resident_mb"),
                mechanism,
            ]
            for name, (title, mechanism) in _SIZES.items()
        ]
        return table(
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
                slope = self._model.slope(name, cost)
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
                        cell(slope.residual),
                        mechanism,
                    ]
                )
        return table(
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
        return [
            cell(self._model.slope(name, cost).per_unit),
            *(
                cell(self._model.growth(name, cost, sizes.sizes[name]))
                for sizes in (self._target, self._target_70)
            ),
        ]

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
        return table(
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
            cell(sum(self._model.small.cost(cost) for cost in costs)),
            cell(summed[0]),
            cell(measured[0]),
            cell(summed[1]),
            cell(measured[1]),
            "" if budget is None else cell(budget),
            "" if budget is None else verdict(measured, budget),
        ]

    def _table(self) -> str:
        rows = []
        totals = {"reads": [0.0, 0.0], "writes": [0.0, 0.0]}
        kinds = sorted(
            kind
            for kind in self._whole["target"].traffic
            if kind.startswith("platform/") and "transactions" not in kind
        )
        for kind in kinds:
            rates = [
                self._reads(name, kind, sizes)
                for name, sizes in self._wholes()
            ]
            self._add(totals["reads"], rates)
            rows.append(
                [
                    f"polls of {kind.partition('/')[2]}",
                    "reads",
                    *map(cell, rates),
                ]
            )
        for title, rates in self._writes():
            self._add(totals["writes"], rates)
            rows.append([title, "writes", *map(cell, rates)])
        for kind, limit in (("reads", READS_PER_S), ("writes", WRITES_PER_S)):
            rows.append(
                [
                    f"all {kind}, limit {cell(limit)}",
                    kind,
                    *map(cell, totals[kind]),
                ]
            )
            rows[-1].append(verdict(totals[kind], limit))
        average = _JOBS_PER_DAY * _WRITES_PER_JOB / _DAY_S
        rows.append(
            ["jobs on average, in place of the peak", "writes"]
            + [cell(average)] * 2
        )
        return table(
            ["what", "kind", "135 entries", "46 entries", "holds"], rows
        )

    def _wholes(self) -> list[tuple[str, DeploymentSizes]]:
        return [("target", self._target), ("target_70", self._target_70)]

    def _reads(self, name: str, kind: str, sizes: DeploymentSizes) -> float:
        rates = self._whole[name].traffic.get(kind, {})
        return rates.get("calls_per_s", 0.0) * sizes.entries

    def _writes(self) -> list[tuple[str, list[float]]]:
        heartbeat = self._model.small.traffic["platform/transactions"]
        beats = [
            heartbeat["calls_per_s"] * sizes.entries
            for _, sizes in self._wholes()
        ]
        per_start = self.writes_per_start()
        return [
            ("heartbeats", beats),
            (
                "jobs at the peak: insert (not measured), 1 each",
                [_PEAK_STARTS_PER_S] * 2,
            ),
            (
                f"jobs at the peak: changes, {cell(per_start)} each",
                [_PEAK_STARTS_PER_S * per_start] * 2,
            ),
            (
                "changes of documents (not measured), 1 each",
                [7_100 / _DAY_S] * 2,
            ),
        ]

    def writes_per_start(self) -> float:
        """Return the transactions that one start adds, by the fitted line."""
        points = self._measurements["slopes"]["starts_per_s"]
        return Slope.fit(
            [point["size"] for point in points],
            [
                point["sample"]["traffic"]["platform/transactions"][
                    "calls_per_s"
                ]
                for point in points
            ],
        ).per_unit

    def _worker(self) -> str:
        rows = []
        for name, _ in self._wholes():
            sample = self._whole[name]
            count = sample.scenario.workers
            for kind, rates in sample.traffic.items():
                if kind.partition("/")[0] != "workers":
                    continue
                rows.append(
                    [
                        f"{kind}, {count} workers",
                        cell(rates["calls_per_s"] / count),
                        cell(rates["sent_bytes_per_s"] / count),
                        cell(rates["received_bytes_per_s"] / count),
                        cell(rates["calls_per_s"]),
                    ]
                )
        slope = self._model.slope("workers", "workers")
        rows.append(
            [
                "slope over idle workers",
                "",
                cell(slope.per_unit),
                "(both directions)",
                "",
            ]
        )
        return table(
            [
                "call",
                "calls/s for a worker",
                "B/s to it",
                "B/s from it",
                "calls/s of the entry",
            ],
            rows,
        )

    def _peers(self) -> str:
        rows = []
        for name, sizes in self._wholes():
            sample = self._whole[name]
            links = sizes.sizes["zone_entries"] - 1 + 2 * 14
            for kind in ("peers/out", "peers/in"):
                rates = sample.traffic[kind]
                rows.append(
                    [
                        f"{kind}, {cell(links)} links",
                        cell(rates["calls_per_s"]),
                        cell(rates["sent_bytes_per_s"]),
                        cell(rates["received_bytes_per_s"]),
                    ]
                )
        for name, title in (
            ("zone_entries", "slope for each entry of the zone"),
            ("availability_zones", "slope for each other zone"),
        ):
            slope = self._model.slope(name, "peers")
            rows.append([title, "", cell(slope.per_unit), "(both directions)"])
        return table(
            ["links", "heartbeats/s", "B/s sent", "B/s received"], rows
        )

    def _decisions(self) -> str:
        titles = {
            "placement": "one placement decision, for each worker",
            "claim_round": "one claim round, for each queued job",
            "shards": "ranking of the shards, for each availability zone",
        }
        rows = []
        for name, title in titles.items():
            points = self._measurements["decisions_us"][name]
            sizes = [float(size) for size in points]
            slope = Slope.fit(sizes, list(points.values()))
            listed = ", ".join(
                f"{cell(float(size))}: {cell(cost)}"
                for size, cost in points.items()
            )
            rows.append([title, cell(slope.per_unit), listed])
        document = self._measurements["decisions_us"]["document"]["1"]
        rows.append(["loading one document", cell(document), ""])
        return table(["decision", "µs", "measured (size: µs)"], rows)

    def _start(self) -> str:
        rows = []
        for point in self._measurements["slopes"]["documents"]:
            sample = point["sample"]
            rows.append(
                [
                    f"{point['size']} documents",
                    cell(sample["start_cpu_s"]),
                ]
            )
        for name, sample in self._whole.items():
            rows.append([f"whole sizes, {name}", cell(sample.start_cpu_s)])
        return table(["start with", "processor time until ready, s"], rows)

    @staticmethod
    def _add(total: list[float], part: Sequence[float]) -> None:
        for index, value in enumerate(part):
            total[index] += value


def verdict(figures: Sequence[float], limit: float) -> str:
    """Tell whether all figures are within a limit, or by how much not."""
    worst = max(figures)
    if worst <= limit:
        return "yes"
    return f"no, up to {cell(worst / limit)} times the limit"

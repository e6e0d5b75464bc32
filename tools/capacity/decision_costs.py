"""Measures the processor time of decisions in this process."""

from __future__ import annotations

from itertools import repeat
from time import process_time
from typing import TYPE_CHECKING

from carawaystep.document.document_loader import load_document
from carawaystep.fleet.vm import Vm
from carawaystep.fleet.vm_state import VmState
from carawaystep.job.job_index import JobIndex
from carawaystep.job.job_row import JobRow
from carawaystep.membership.rendezvous import ranked
from carawaystep.worker.capacity import Capacity
from carawaystep.worker.fence_answer import FenceAnswer
from carawaystep.worker.fencing_guard import FencingGuard
from carawaystep.worker.least_loaded_placement import LeastLoadedPlacement
from carawaystep.worker.reservation import Reservation
from carawaystep.worker.resources import Resources
from carawaystep.worker.work_kind import WorkKind
from carawaystep.worker.worker import Worker
from tools.capacity.scenario import Scenario
from tools.capacity.simulated_deployment import SimulatedDeployment

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawaystep.document.service_spec import ServiceSpec

_EXTRA_SERIES = 5
_MIN_SERIES_S = 0.1
_MAX_CLAIMS = 16
_SHARDS = [f"{number:02x}" for number in range(256)]
_NEEDS = Resources(1.0, 2000, 0)


class DecisionCosts:
    """Measures decisions that need no other process."""

    def __init__(self) -> None:
        """Load the service document that the jobs refer to."""
        self._deployment = SimulatedDeployment(Scenario())
        text = self._deployment.document_row(0).value["text"]
        self._spec: ServiceSpec = load_document(text, "recheck-0", 1).ok_value
        self._text = text

    def placement_us(self, workers: int) -> float:
        """Return the cost of placing one task, in microseconds.

        :param workers: number of workers, each with half of its slots in use
        """
        owned = [self._worker(number) for number in range(workers)]
        policy = LeastLoadedPlacement(2)
        return self._measure_us(
            lambda: policy.choose(owned, _NEEDS, WorkKind.TASK, 1.0)
        )

    def claim_round_us(self, queued: int) -> float:
        """Return the cost of ranking the queued jobs once, in microseconds.

        :param queued: number of jobs, all queued for longer than 1 s
        """
        job_index = JobIndex()
        for number in range(queued):
            row = self._deployment.job_row(f"job-{number}", 15.0, number / 100)
            job = JobRow.parse(row.key, row.value, 1).ok_value
            job_index.apply(job, 0.0)
        return self._measure_us(
            lambda: job_index.claimable(
                lambda _: self._spec,
                _SHARDS[::9],
                10.0,
                1000.0,
                _MAX_CLAIMS,
            )
        )

    def shards_us(self, zones: int) -> float:
        """Return the cost of finding the shards of a zone, in microseconds.

        :param zones: number of availability zones with live entries
        """
        names = [f"z{number}" for number in range(zones)]
        return self._measure_us(
            lambda: [s for s in _SHARDS if ranked(s, names)[0] == "z0"]
        )

    def document_us(self) -> float:
        """Return the cost of loading a service document, in microseconds."""
        return self._measure_us(
            lambda: load_document(self._text, "recheck-0", 1)
        )

    @staticmethod
    def _worker(number: int) -> Worker:
        vm = Vm(f"w-{number}", "z0", "r", "http://w", VmState.LIVE)
        worker = Worker(vm, FencingGuard(1))
        running = tuple(
            Reservation(f"{number}-{slot}", WorkKind.TASK, 1, _NEEDS)
            for slot in range(4)
        )
        capacity = Capacity(Resources(32.0, 125_000, 0), 8, 64)
        token = worker.begin_fence()
        worker.inherit(
            FenceAnswer(token, True, False, capacity, running, 0, 0.0), 0.0
        )
        return worker

    @staticmethod
    def _measure_us(call: Callable[[], object]) -> float:
        """Return the mean duration of a call in the fastest of a few series.

        The fastest series is the one least disturbed by other processes.
        """
        count = 1
        while True:
            took_s = _process_time_s(call, count)
            if took_s >= _MIN_SERIES_S:
                break
            count *= 2
        fastest_s = min(
            took_s,
            *(_process_time_s(call, count) for _ in range(_EXTRA_SERIES)),
        )
        return round(fastest_s / count * 1_000_000, 1)


def _process_time_s(call: Callable[[], object], count: int) -> float:
    start_s = process_time()
    for _ in repeat(None, count):
        call()
    return process_time() - start_s

"""Short work beside long-running work that fills all workers."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.order import StopOrder
from carawaystep.fleet.worker_report import EndedRun
from carawaystep.planner.short_work_reserve import ShortWorkReserve
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.step_spec import StepSpec
from tests.planner.planners import new_planner
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import report
from tests.planner.planners import running
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from carawaystep.fleet.order import Order
    from carawaystep.planner.short_work_reserve import WorkerReserve

_EPOCH_S = 2000.0
_TICK_S = 0.1
_SECONDS = 60.0
# The first seconds, in which the workers fill, do not count.
_COUNTED_AFTER_S = 20.0
_WORKERS = 16
_WORKER_MILLIS = 16_000
_STAY_S = 25.0
_LONG_RUNNING_INTERVAL_S = 1.5
_SHORT_INTERVAL_S = 0.8
_SHORT_RUN_S = 0.6
_OBJECTIVE_S = 0.3
_MIN_ON_TIME = 0.8


class _Replay:
    """Long-running work for more CPU than there is, and short work.

    Each long-running workflow is cancelled after some time.
    """

    def __init__(self, reserve: WorkerReserve | None, seed: int) -> None:
        self._random = Random(seed)
        self._planner = new_planner(reserve=reserve)
        self._names = [f"w{n}" for n in range(_WORKERS)]
        self._planner.update_worker_list(
            [
                worker_record(name, cpu_millis=_WORKER_MILLIS)
                for name in self._names
            ],
            0.0,
        )
        self._ends_at: dict[str, dict[StartOrder, float]] = {
            name: {} for name in self._names
        }
        self._ended: dict[str, list[EndedRun]] = {n: [] for n in self._names}
        self._counts = dict.fromkeys(self._names, 0)
        self._cancel_at: dict[str, float] = {}
        self._accepted_at: dict[str, float] = {}
        self._settled_at: dict[str, float] = {}
        self._long_running_millis: list[int] = []

    def run(self) -> tuple[float, float]:
        """Return the share of short work on time, and the CPU of the rest.

        :returns: share of the short workflows, and share of the workers'
            CPU that long-running tasks had
        """
        for tick in range(round(_SECONDS / _TICK_S)):
            now = tick * _TICK_S
            self._admit(tick, now)
            for workflow_id, at in list(self._cancel_at.items()):
                if at <= now:
                    self._planner.cancel(workflow_id)
                    del self._cancel_at[workflow_id]
            for name in self._names:
                self._report(name, now)
            while self._planner.plan(now, _EPOCH_S + now):
                pass
            changes = self._planner.take_changes()
            orders = [*changes.orders, *self._planner.take_immediate_orders()]
            for order in orders:
                self._execute(order, now)
            self._settled_at.update(dict.fromkeys(changes.settled, now))
            workers = self._planner.workers.values()
            if now >= _COUNTED_AFTER_S:
                self._long_running_millis.append(
                    sum(worker.long_running_cpu_millis for worker in workers)
                )
        return self._on_time(), self._long_running_share()

    def _on_time(self) -> float:
        counted = {
            workflow_id: at
            for workflow_id, at in self._accepted_at.items()
            if _COUNTED_AFTER_S <= at < _SECONDS - 5.0
        }
        limit_s = _OBJECTIVE_S + 1.5 * _SHORT_RUN_S
        on_time = [
            self._settled_at.get(workflow_id, 1e9) - at <= limit_s
            for workflow_id, at in counted.items()
        ]
        return sum(on_time) / len(on_time)

    def _long_running_share(self) -> float:
        mean = sum(self._long_running_millis) / len(self._long_running_millis)
        return mean / (_WORKERS * _WORKER_MILLIS)

    def _admit(self, tick: int, now: float) -> None:
        if tick % round(_LONG_RUNNING_INTERVAL_S / _TICK_S) == 0:
            cpu_millis = self._random.randrange(2400, 4100, 50)
            step = StepSpec(7, cpu_millis=cpu_millis, long_running=True)
            workflow_id = f"a{tick:015x}"
            self._submit(workflow_id, step, now)
            self._cancel_at[workflow_id] = now + _STAY_S
        if tick % round(_SHORT_INTERVAL_S / _TICK_S) == 0:
            cpu_millis = self._random.randrange(1000, 3000, 50)
            step = StepSpec(
                self._random.randrange(4, 12),
                cpu_millis=cpu_millis,
                estimated_s=_SHORT_RUN_S,
            )
            workflow_id = f"b{tick:015x}"
            self._submit(workflow_id, step, now)
            self._accepted_at[workflow_id] = now

    def _submit(self, workflow_id: str, step: StepSpec, now: float) -> None:
        spec = workflow_spec(
            step,
            id=workflow_id,
            accepted_at_s=_EPOCH_S + now,
            objective_s=_OBJECTIVE_S,
        )
        self._planner.admit(spec, stored=True)

    def _report(self, name: str, now: float) -> None:
        for order, at in list(self._ends_at[name].items()):
            if at <= now:
                self._end(order, RunEnd.DONE)
        ended, self._ended[name] = self._ended[name], []
        runs = [running(order, 100.0) for order in self._ends_at[name]]
        self._planner.handle_report(report(name, runs, ended), now)

    def _execute(self, order: Order, now: float) -> None:
        if isinstance(order, StartOrder):
            short = order.ref.workflow.startswith("b")
            run_s = _SHORT_RUN_S if short else _SECONDS
            self._ends_at[order.worker.id][order] = now + run_s
        elif isinstance(order, StopOrder):
            for start in list(self._ends_at[order.worker.id]):
                if start.ref == order.ref:
                    self._end(start, RunEnd.STOPPED)

    def _end(self, order: StartOrder, end: RunEnd) -> None:
        name = order.worker.id
        del self._ends_at[name][order]
        self._counts[name] += 1
        self._ended[name].append(
            EndedRun(self._counts[name], order.ref, order.run, end, "")
        )


class ShortWorkReserveTest(TestCase):
    """Workers that new long-running tasks leave."""

    def test_short_work_is_on_time_beside_long_running_work(self) -> None:
        """Guards against short work that waits for pieces of CPU.

        The long-running work asks for 1.4 times the CPU, the short work for
        a tenth of it.
        """
        for seed in (1, 2, 3):
            on_time, long_running = _Replay(ShortWorkReserve(), seed).run()
            figures = f"seed {seed}: {on_time:.2f} {long_running:.2f}"
            self.assertGreaterEqual(on_time, _MIN_ON_TIME, figures)
            # The rest is kept for short work, or lies in pieces.
            self.assertGreaterEqual(long_running, 0.7, figures)

    def _plan_with_short_work(self) -> None:
        """Admit short work for which one of four workers is kept."""
        self.planner = new_planner(reserve=ShortWorkReserve())
        names = [f"w{n}" for n in range(4)]
        self.planner.update_worker_list(
            [worker_record(name) for name in names], 0.0
        )
        for name in names:
            self.planner.handle_report(report(name), 0.0)
        short = StepSpec(2, cpu_millis=1000, estimated_s=5.0)
        self.planner.admit(
            workflow_spec(short, id="b" * 16, accepted_at_s=2000.0), False
        )
        plan_and_take_starts(self.planner)

    def _admit_long_running(self, accepted_at_s: float) -> None:
        step = StepSpec(
            4, cpu_millis=1000, long_running=True, max_per_worker=1
        )
        self.planner.admit(
            workflow_spec(step, id="a" * 16, accepted_at_s=accepted_at_s),
            False,
        )

    def test_new_long_running_tasks_leave_workers(self) -> None:
        """Guards against a reserve that has no effect."""
        self._plan_with_short_work()
        self._admit_long_running(2000.0)
        self.assertEqual(3, len(plan_and_take_starts(self.planner)))

    def test_long_running_task_does_not_wait_for_ever(self) -> None:
        """Guards against standing work that short work keeps away for good."""
        self._plan_with_short_work()
        self._admit_long_running(1975.0)
        self.assertEqual(4, len(plan_and_take_starts(self.planner)))

    def test_interrupted_task_does_not_wait(self) -> None:
        """Guards against a standing task that is away longer than allowed."""
        self._plan_with_short_work()
        self._admit_long_running(2000.0)
        first = plan_and_take_starts(self.planner)[0]
        ended = EndedRun(1, first.ref, first.run, RunEnd.STOPPED, "")
        self.planner.handle_report(report(first.worker.id, [], [ended]), 0.5)
        again = plan_and_take_starts(self.planner, 0.5)
        self.assertIn(first.ref, [start.ref for start in again])

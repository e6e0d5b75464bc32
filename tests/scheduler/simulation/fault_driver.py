"""Random faults of a simulation."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

from carawaystep.scheduler import tables

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator
    from random import Random

    from tests.scheduler.simulation.calm_period import CalmPeriod
    from tests.scheduler.simulation.simulated_environment import (
        SimulatedEnvironment,
    )
    from tests.scheduler.simulation.simulated_node import SimulatedNode
    from tests.scheduler.simulation.simulation_record import SimulationRecord

_FAULT_PHASE_S = 14.0
_CALM_PHASE_S = 10.0
_MEAN_INTERVAL_S = 0.8
# Probability that a call, or its confirmation, is followed by a fault of the
# leader, and the time within which most commits end.
_LEADER_FAULT_RATE = 0.03
_MAX_LEADER_FAULT_DELAY_S = 0.08
# Workers that start again at the same time without being seen.
_UNSEEN_RESTARTS = 2


class FaultDriver:
    """Injects faults, which may overlap, in phases with calm between them.

    Each calm phase ends with workers that start again without being seen,
    because other faults keep starts from reaching them. Some faults hit the
    leader shortly after a call, when the change that the call asks for is
    being stored. ``on_busy_node`` is called with a node that shall get
    several calls at once.
    """

    def __init__(
        self,
        nodes: list[SimulatedNode],
        environment: SimulatedEnvironment,
        calm: CalmPeriod,
        record: SimulationRecord,
    ) -> None:
        """Create a driver.

        :param nodes: nodes that have faults
        :param environment: store, workers and network that have faults
        :param calm: is told of each fault
        :param record: records each fault
        """
        self._nodes = nodes
        self._environment = environment
        self._random: Random = environment.random
        self._calm = calm
        self._record = record
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_fault_phase = False
        self.on_busy_node: Callable[[SimulatedNode], None]
        self.on_busy_node = lambda node: None

    async def run(self, until: float) -> None:
        """Inject faults until a time, then wait for those that last."""
        loop = asyncio.get_running_loop()
        injectors = self._injectors()
        while loop.time() < until:
            phase_until = min(until, loop.time() + _FAULT_PHASE_S)
            self._is_fault_phase = True
            while loop.time() < phase_until:
                pause_s = self._random.expovariate(1 / _MEAN_INTERVAL_S)
                await asyncio.sleep(pause_s)
                self._spawn(self._random.choice(injectors))
            self._is_fault_phase = False
            while self._tasks:
                await asyncio.wait(list(self._tasks))
            await asyncio.sleep(_CALM_PHASE_S)
            if loop.time() < until:
                with self._calm.fault():
                    await self._restart_workers_unseen()

    def fail_leader(self) -> None:
        """Let a fault of the leader follow a call or its confirmation."""
        if self._is_fault_phase and self._random.random() < _LEADER_FAULT_RATE:
            self._spawn(self._fail_leader)

    def _injectors(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self._stop_store,
            self._stop_store_for_node,
            self._slow_store,
            self._lose_store_answers,
            self._apply_writes_late,
            self._delay_feed,
            self._drop_history,
            self._kill_node,
            self._kill_node,
            self._kill_repeatedly,
            self._restart_with_open_calls,
            self._drain_node,
            self._pause_node,
            self._cut_node,
            self._cut_node,
            self._cut_node_from_workers,
            self._cut_zone,
            self._carry_orders_out_late,
            self._lose_order_answers,
            self._restart_worker,
            self._restart_worker,
            self._unlist_worker,
            self._isolate_worker,
        ]

    def _spawn(self, inject: Callable[[], Awaitable[None]]) -> None:
        async def run() -> None:
            with self._calm.fault():
                await inject()

        task = asyncio.create_task(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _begin(self, kind: str, subject: str = "") -> None:
        self._record.add_fault(kind, subject)

    async def _last(self, longest_s: float) -> None:
        """Wait for a random time, short ones more often."""
        await asyncio.sleep(0.1 + longest_s * self._random.random() ** 2)

    def _choose_node(self) -> SimulatedNode:
        leaders = [node for node in self._nodes if node.leads]
        if leaders and self._random.random() < 0.4:
            return self._random.choice(leaders)
        return self._random.choice(self._nodes)

    def _draw_refusal(self) -> bool:
        return self._random.random() < 0.5

    def _choose_worker(self) -> str:
        return self._random.choice(list(self._environment.fleet.workers))

    async def _fail_leader(self) -> None:
        await asyncio.sleep(self._random.uniform(0, _MAX_LEADER_FAULT_DELAY_S))
        leaders = [node for node in self._nodes if node.leads]
        if not leaders:
            return
        leader = self._random.choice(leaders)
        draw = self._random.random()
        if draw < 0.4:
            await self._kill(leader)
        elif draw < 0.7:
            await self._stop_store_for(
                [leader.name], 4.0, self._draw_refusal()
            )
        elif draw < 0.85:
            await self._pause(leader)
        else:
            await self._cut_from_nodes(leader)

    async def _stop_store(self) -> None:
        names = [node.name for node in self._nodes]
        await self._stop_store_for(names, 8.0, self._draw_refusal())

    async def _stop_store_for_node(self) -> None:
        names = [self._choose_node().name]
        await self._stop_store_for(names, 8.0, self._draw_refusal())

    async def _stop_store_for(
        self, names: list[str], longest_s: float, refuses: bool
    ) -> None:
        """Let calls of some nodes be refused, or get no answer."""
        faults = self._environment.store_faults
        affected = faults.refusing if refuses else faults.silent
        added = [name for name in names if name not in affected]
        kind = "store-refuses" if refuses else "store-silent"
        self._begin(kind, " ".join(added))
        affected.update(added)
        await self._last(longest_s)
        affected.difference_update(added)

    async def _slow_store(self) -> None:
        self._begin("store-slow")
        delay_s = self._random.uniform(0.02, 0.4)
        self._environment.store_faults.added_delay_s = delay_s
        await self._last(6.0)
        self._environment.store_faults.added_delay_s = 0.0

    async def _lose_store_answers(self) -> None:
        self._begin("store-answers-lost")
        self._environment.store_faults.lost_answer_rate = 0.3
        await self._last(5.0)
        self._environment.store_faults.lost_answer_rate = 0.0

    async def _apply_writes_late(self) -> None:
        self._begin("store-writes-late")
        self._environment.store_faults.late_rate = 0.3
        await self._last(5.0)
        self._environment.store_faults.late_rate = 0.0

    async def _delay_feed(self) -> None:
        table = self._random.choice(
            (tables.SUBMISSIONS, tables.CANCELS, tables.MEMBERS, "workers")
        )
        self._begin("feed-delayed", table)
        delays_s = self._environment.store_faults.feed_delays_s
        delays_s[table] = self._random.uniform(0.1, 2.0)
        await self._last(8.0)
        delays_s.pop(table, None)

    async def _drop_history(self) -> None:
        self._begin("history-dropped")
        self._environment.store.drop_history()

    async def _kill_node(self) -> None:
        await self._kill(self._choose_node())

    async def _kill(self, node: SimulatedNode) -> None:
        if node.process is None:
            return
        self._begin("node-killed", node.name)
        await node.kill()
        await self._last(4.0)
        node.start()

    async def _kill_repeatedly(self) -> None:
        """Restart a node quickly several times, as in a crash loop."""
        node = self._choose_node()
        for _ in range(self._random.randint(2, 6)):
            if node.process is None:
                return
            self._begin("node-killed", node.name)
            await node.kill()
            await asyncio.sleep(self._random.uniform(0.02, 0.2))
            node.start()
            await asyncio.sleep(self._random.uniform(0.3, 1.2))

    async def _restart_with_open_calls(self) -> None:
        """Restart a node while the leader stores what it was called for.

        The replies of the leader reach the new process, which has calls of
        its own then.
        """
        node = self._choose_node()
        leaders = [other.name for other in self._nodes if other.leads]
        if node.process is None or node.name in leaders or not leaders:
            return
        await self._restart_at_once(node)
        await asyncio.sleep(0.5)
        stop = self._stop_store_for(leaders, 0.4, refuses=False)
        outage = asyncio.create_task(stop)
        self.on_busy_node(node)
        await asyncio.sleep(self._random.uniform(0.02, 0.1))
        await self._restart_at_once(node)
        await asyncio.sleep(self._random.uniform(0.1, 0.3))
        self.on_busy_node(node)
        await outage

    async def _restart_at_once(self, node: SimulatedNode) -> None:
        if node.process is None:
            return
        self._begin("node-killed", node.name)
        await node.kill()
        await asyncio.sleep(0.03)
        node.start()

    async def _drain_node(self) -> None:
        node = self._choose_node()
        process = node.process
        if process is None or process.paused:
            return
        self._begin("node-drained", node.name)
        await node.stop()
        if node.process is None:
            await self._last(2.0)
        if node.process is None:
            node.start()

    async def _pause_node(self) -> None:
        await self._pause(self._choose_node())

    async def _pause(self, node: SimulatedNode) -> None:
        process = node.process
        if process is None or process.paused:
            return
        self._begin("node-paused", node.name)
        process.pause()
        await self._last(12.0)
        process.resume()

    async def _cut_node(self) -> None:
        await self._cut_from_nodes(self._choose_node())

    async def _cut_from_nodes(self, node: SimulatedNode) -> None:
        """Cut a node off from some others, in one or both directions."""
        others = [other.name for other in self._nodes if other is not node]
        others = self._random.sample(
            others, self._random.randint(1, len(others))
        )
        await self._cut_links(node.name, others)

    async def _cut_node_from_workers(self) -> None:
        workers = list(self._environment.fleet.workers)
        workers = self._random.sample(
            workers, self._random.randint(1, len(workers))
        )
        await self._cut_links(self._choose_node().name, workers)

    async def _cut_zone(self) -> None:
        """Cut some nodes and workers off from all others and the store."""
        leaders = [node.name for node in self._nodes if node.leads]
        names = [node.name for node in self._nodes]
        workers = list(self._environment.fleet.workers)
        inside = {
            *leaders,
            self._random.choice(names),
            *self._random.sample(workers, len(workers) // 2),
        }
        outside = [name for name in names + workers if name not in inside]
        links = [(a, b) for a in sorted(inside) for b in outside]
        links += [(b, a) for a, b in links]
        affected = self._environment.store_faults.silent
        silent = [n for n in names if n in inside and n not in affected]
        affected.update(silent)
        subject = f"zone: {' '.join(sorted(inside))}"
        # Most last for longer than a new leader waits for what is inside.
        with self._cut(subject, links):
            await asyncio.sleep(self._random.uniform(6.0, 16.0))
        affected.difference_update(silent)

    async def _isolate_worker(self) -> None:
        names = [node.name for node in self._nodes]
        await self._cut_links(self._choose_worker(), names)

    async def _cut_links(self, name: str, others: list[str]) -> None:
        links = [(name, other) for other in others]
        links += [(other, name) for other in others]
        direction = self._random.choice(("out", "in", "both"))
        half = len(others)
        if direction != "both":
            links = links[:half] if direction == "out" else links[half:]
        with self._cut(f"{direction} {name}: {' '.join(others)}", links):
            await self._last(9.0)

    @contextmanager
    def _cut(
        self, subject: str, links: list[tuple[str, str]]
    ) -> Iterator[None]:
        """Cut links, except those that another fault has cut.

        :param subject: what is cut, for the record
        """
        network = self._environment.network
        added = [link for link in links if not network.is_cut(*link)]
        self._begin("cut", subject)
        for link in added:
            network.cut(*link)
        yield
        for link in added:
            network.restore(*link)

    async def _carry_orders_out_late(self) -> None:
        name = self._choose_worker()
        late_workers = self._environment.order_faults.late_workers
        if name in late_workers:
            return
        self._begin("orders-late", name)
        late_workers.add(name)
        await self._last(5.0)
        late_workers.discard(name)
        # Orders that wait at the worker are carried out until then.
        await asyncio.sleep(5.0)

    async def _lose_order_answers(self) -> None:
        self._begin("order-answers-lost")
        self._environment.order_faults.lost_answer_rate = 0.3
        await self._last(5.0)
        self._environment.order_faults.lost_answer_rate = 0.0

    async def _restart_worker(self) -> None:
        fleet = self._environment.fleet
        name = self._choose_worker()
        if not fleet.workers[name].running:
            return
        self._begin("worker-restarted", name)
        fleet.crash(name)
        if self._random.random() < 0.5:
            # The new lifetime may get an order for the one before.
            await asyncio.sleep(self._random.uniform(0.02, 0.2))
        else:
            await self._last(5.0)
        fleet.restart(name)
        fleet.list_worker(name)

    async def _restart_workers_unseen(self) -> None:
        """Restart workers under load and cut them off soon after.

        Their rows in the store are renewed when they are in touch again.
        """
        fleet = self._environment.fleet
        names = self._random.sample(list(fleet.workers), _UNSEEN_RESTARTS)
        self._begin("workers-restarted-unseen", " ".join(names))
        for name in names:
            fleet.crash(name)
        await asyncio.sleep(self._random.uniform(0.05, 0.3))
        for name in names:
            fleet.restart(name)
        fleet.long_run_workers.update(names)
        for node in self._nodes:
            self.on_busy_node(node)
        await asyncio.sleep(self._random.uniform(0.0, 1.0))
        nodes = [node.name for node in self._nodes]
        links = [(name, node) for name in names for node in nodes]
        if self._random.random() < 0.5:
            links += [(node, name) for name, node in links]
        with self._cut(" ".join(names), links):
            await asyncio.sleep(self._random.uniform(8.0, 12.0))
        fleet.long_run_workers.clear()
        for name in names:
            fleet.list_worker(name)

    async def _unlist_worker(self) -> None:
        name = self._choose_worker()
        self._begin("worker-unlisted", name)
        self._environment.fleet.unlist_worker(name)
        await self._last(8.0)
        self._environment.fleet.list_worker(name)

"""The member part of a process: it carries out what the leader decides."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from carawaystep.cluster.messages import Acknowledge
from carawaystep.cluster.messages import Alive
from carawaystep.cluster.messages import Ask
from carawaystep.cluster.messages import Assign
from carawaystep.cluster.messages import CallReply
from carawaystep.cluster.messages import Cancel
from carawaystep.cluster.messages import Concluded
from carawaystep.cluster.messages import Consult
from carawaystep.cluster.messages import Farewell
from carawaystep.cluster.messages import Lead
from carawaystep.cluster.messages import Orders
from carawaystep.cluster.messages import Submit
from carawaystep.cluster.messages import Told
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.scheduler.consultant import Consultant
from carawaystep.scheduler.member_context import MemberContext
from carawaystep.scheduler.told_states import ToldStates
from carawaystep.scheduler.worker_holder import WorkerHolder

if TYPE_CHECKING:
    from carawaystep.cluster.messages import FromLeader
    from carawaystep.cluster.messages import FromMember
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.leadership.leadership import Leadership
    from carawaystep.scheduler.node_settings import NodeSettings
    from carawaystep.scheduler.ports import SchedulerPorts
    from carawaystep.workflow.workflow_spec import WorkflowSpec

LEASE_S = 6.0


class Member(MemberContext):
    """Holders of the assigned workers, and calls to the leader."""

    def __init__(
        self,
        settings: NodeSettings,
        ports: SchedulerPorts,
        leadership: Leadership,
    ) -> None:
        """Create a member that has heard no leader."""
        self._settings = settings
        self._ports = ports
        self._leadership = leadership
        self._leader = b""
        self._assignment = 0
        self._holders: dict[WorkerKey, WorkerHolder] = {}
        self._tasks: dict[WorkerKey, asyncio.Task[None]] = {}
        self._calls: dict[int, asyncio.Future[CallReply]] = {}
        self._numbers = count(1)
        self._draining = False
        self._consultant = Consultant(ports.advisor, self, ports.log)
        self.told = ToldStates()

    @property
    def now(self) -> float:
        """Return the present time of the boot-time clock."""
        return self._ports.clock.now()

    @property
    def term(self) -> int:
        """Return the highest term heard of."""
        return self._leadership.term

    def may_act(self, term: int) -> bool:
        """Tell whether workers may be called for a term's leader now."""
        return self._leadership.may_act(term, self.now)

    def drain(self) -> None:
        """Tell the leader from now on that this process will stop."""
        self._draining = True

    async def send(self, message: FromMember) -> bool:
        """Send a message to the present leader."""
        return await self._ports.leaders.send(self._leader, message)

    async def run(self) -> None:
        """Take messages of leaders until the task is cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._consultant.run())
                group.create_task(self._receive())
        finally:
            self._drop_holders()

    async def submit(
        self, spec: WorkflowSpec, timeout_s: float
    ) -> CallReply | None:
        """Have the leader store a workflow; None without an answer."""
        return await self._call(Submit(next(self._numbers), spec), timeout_s)

    async def cancel(
        self, workflow_id: str, timeout_s: float
    ) -> CallReply | None:
        """Have the leader cancel a workflow; None without an answer."""
        message = Cancel(next(self._numbers), workflow_id)
        return await self._call(message, timeout_s)

    async def ask(
        self, workflow_id: str, timeout_s: float
    ) -> CallReply | None:
        """Ask the leader for a state; None without an answer."""
        message = Ask(next(self._numbers), workflow_id)
        return await self._call(message, timeout_s)

    async def _receive(self) -> None:
        while True:
            leader, message = await self._ports.leaders.receive()
            await self._take(leader, message)

    async def _call(
        self, message: Submit | Cancel | Ask, timeout_s: float
    ) -> CallReply | None:
        future: asyncio.Future[CallReply]
        future = asyncio.get_running_loop().create_future()
        self._calls[message.call] = future
        try:
            if not await self.send(message):
                return None
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return None
        finally:
            del self._calls[message.call]

    async def _take(self, leader: bytes, message: FromLeader) -> None:
        if isinstance(message, CallReply):
            future = self._calls.get(message.call)
            if future is not None and not future.done():
                future.set_result(message)
            return
        if isinstance(message, Lead):
            await self._follow(leader, message)
            return
        if message.term != self._leadership.term:
            return
        if isinstance(message, Orders):
            await self._order(message)
        elif isinstance(message, Acknowledge):
            holder = self._holders.get(message.worker)
            if holder is not None:
                holder.acknowledge(message.number)
        elif isinstance(message, Told):
            self.told.apply(message.states)
            if message.queued is not None:
                self.told.apply_queued(message.queued, self.now)
        elif isinstance(message, Assign):
            self._assign(message)
        elif isinstance(message, Consult):
            await self._consultant.take(message)
        elif isinstance(message, Farewell):
            self._leadership.resign(message.term)

    async def _follow(self, leader: bytes, message: Lead) -> None:
        earlier = self._leadership.term
        followed = self._leadership.hear(
            message.term,
            message.leader,
            message.echo,
            message.store_age_s,
            self.now,
        )
        if followed:
            if message.term > earlier:
                self._drop_holders()
                self._ports.log.line(
                    "leader.followed", message.leader, term=message.term
                )
            self._leader = leader
        alive = Alive(
            self._settings.name,
            self._leadership.term,
            self.now,
            self._assignment,
            self._draining,
        )
        await self._ports.leaders.send(leader, alive)

    async def _order(self, message: Orders) -> None:
        for item in message.orders:
            holder = self._holders.get(item.order.worker)
            if holder is None:
                await self.send(
                    Concluded(message.term, item.number, OrderOutcome.NOT_SENT)
                )
            else:
                holder.order(item)

    def _assign(self, message: Assign) -> None:
        if message.version <= self._assignment:
            return
        self._assignment = message.version
        wanted = {worker.key: worker for worker in message.workers}
        for key in list(self._holders):
            if key not in wanted:
                del self._holders[key]
                self._tasks.pop(key).cancel()
        lease_s = min(LEASE_S, self._settings.max_lease_s)
        for key, worker in wanted.items():
            if key in self._holders:
                continue
            link = self._ports.worker(key, worker.address, lease_s)
            holder = WorkerHolder(worker, link, self)
            self._holders[key] = holder
            self._tasks[key] = asyncio.create_task(
                holder.run(), name=f"holder {key.id}"
            )

    def _drop_holders(self) -> None:
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()
        self._holders.clear()
        self._assignment = 0

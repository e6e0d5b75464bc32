"""Member role of a process: executes the leader's decisions."""

from __future__ import annotations

import asyncio
from itertools import count
from secrets import randbits
from typing import TYPE_CHECKING

from absl import logging

from carawaystep.cluster.messages import Acknowledge
from carawaystep.cluster.messages import Assign
from carawaystep.cluster.messages import CallReply
from carawaystep.cluster.messages import Cancel
from carawaystep.cluster.messages import ForwardedAdviceRequest
from carawaystep.cluster.messages import LeaderHeartbeat
from carawaystep.cluster.messages import LeaseAges
from carawaystep.cluster.messages import MemberHeartbeat
from carawaystep.cluster.messages import OrderResult
from carawaystep.cluster.messages import Orders
from carawaystep.cluster.messages import PublishedStates
from carawaystep.cluster.messages import QueryState
from carawaystep.cluster.messages import Resignation
from carawaystep.cluster.messages import Submit
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.scheduler.admission import Admission
from carawaystep.scheduler.advice_proxy import AdviceProxy
from carawaystep.scheduler.lease_extensions import LeaseExtensions
from carawaystep.scheduler.member_context import MemberContext
from carawaystep.scheduler.published_state_cache import PublishedStateCache
from carawaystep.scheduler.worker_proxy import WorkerProxy

if TYPE_CHECKING:
    from carawaystep.availability_zone.evacuated_zones import EvacuatedZones
    from carawaystep.cluster.messages import AssignedWorker
    from carawaystep.cluster.messages import FromLeader
    from carawaystep.cluster.messages import FromMember
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.leadership.leadership import Leadership
    from carawaystep.planner.room_forecast import RoomForecast
    from carawaystep.scheduler.node_settings import NodeSettings
    from carawaystep.scheduler.ports import SchedulerPorts
    from carawaystep.workflow.workflow_spec import WorkflowSpec

# Longest lease that is requested from a worker.
WORKER_LEASE_S = 6.0
_CALL_NUMBER_BITS = 48
_PROXY_RESTART_DELAY_S = 1.0


class Member(MemberContext):
    """Runs a proxy for each assigned worker and calls the leader.

    Decisions of any other term than the highest known one are ignored.
    """

    def __init__(
        self,
        settings: NodeSettings,
        ports: SchedulerPorts,
        leadership: Leadership,
        incarnation: str,
        evacuated_zones: EvacuatedZones,
    ) -> None:
        """Create a member that follows no leader yet.

        :param settings: settings of this process
        :param ports: clock, leaders, workers, placement service and log
        :param leadership: what this process knows about the leader
        :param incarnation: id of this process, different after a restart
        :param evacuated_zones: zones whose workers get no starts
        """
        self._settings = settings
        self._incarnation = incarnation
        self._ports = ports
        self._leadership = leadership
        self._evacuated_zones = evacuated_zones
        self._leader_identity = b""
        self._assignment_version = 0
        self._proxies: dict[WorkerKey, WorkerProxy] = {}
        self._proxy_tasks: dict[WorkerKey, asyncio.Task[None]] = {}
        self._open_calls: dict[int, asyncio.Future[CallReply]] = {}
        # A leader may reply to the calls of an earlier process on this node,
        # whose numbers must not be those of calls of this process.
        self._call_numbers = count(randbits(_CALL_NUMBER_BITS))
        self._draining = False
        self._lease_extensions = LeaseExtensions(ports.clock)
        self._advice_proxy = AdviceProxy(ports.advisor, self, ports.log)
        self.published_states = PublishedStateCache()
        self.admission = Admission(settings.load)

    @property
    def now(self) -> float:
        """Return the current time of the boot-time clock in seconds."""
        return self._ports.clock.now()

    @property
    def term(self) -> int:
        """Return the highest known term."""
        return self._leadership.term

    @property
    def lease_extensions(self) -> LeaseExtensions:
        """Return the record of the leases that this process extends."""
        return self._lease_extensions

    @property
    def evacuated_zones(self) -> EvacuatedZones:
        """Return the evacuated zones as this process has read them."""
        return self._evacuated_zones

    def holds_grant(self, term: int) -> bool:
        """Tell whether the grant to call workers for a term is valid."""
        return self._leadership.holds_grant(term, self.now)

    def drain(self) -> None:
        """Report in all further heartbeats that this process will stop."""
        self._draining = True

    async def send(self, message: FromMember) -> bool:
        """Send a message to the current leader.

        :returns: False if it certainly does not arrive
        """
        return await self._ports.leader_port.send(
            self._leader_identity, message
        )

    async def run(self) -> None:
        """Handle messages from leaders until the task is cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._advice_proxy.run())
                group.create_task(self._receive())
        finally:
            self._stop_proxies()

    async def submit(
        self, spec: WorkflowSpec, timeout_s: float, may_be_stored: bool = False
    ) -> CallReply | None:
        """Have the leader store a workflow.

        :param may_be_stored: whether an earlier attempt may take effect
        :returns: the leader's answer, None if there is none in time
        """
        message = Submit(next(self._call_numbers), spec, may_be_stored)
        return await self._call(message, timeout_s)

    async def cancel(
        self, workflow_id: str, timeout_s: float
    ) -> CallReply | None:
        """Have the leader cancel a workflow.

        :returns: the leader's answer, None if there is none in time
        """
        message = Cancel(next(self._call_numbers), workflow_id)
        return await self._call(message, timeout_s)

    async def query_state(
        self, workflow_id: str, timeout_s: float
    ) -> CallReply | None:
        """Ask the leader for the state of a workflow.

        :returns: the leader's answer, None if there is none in time
        """
        message = QueryState(next(self._call_numbers), workflow_id)
        return await self._call(message, timeout_s)

    async def _receive(self) -> None:
        while True:
            leader, message = await self._ports.leader_port.receive()
            await self._handle_message(leader, message)

    async def _call(
        self, message: Submit | Cancel | QueryState, timeout_s: float
    ) -> CallReply | None:
        future: asyncio.Future[CallReply]
        future = asyncio.get_running_loop().create_future()
        self._open_calls[message.call] = future
        try:
            if not await self.send(message):
                return None
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return None
        finally:
            del self._open_calls[message.call]

    async def _handle_message(
        self, leader: bytes, message: FromLeader
    ) -> None:
        if isinstance(message, CallReply):
            future = self._open_calls.get(message.call)
            if future is not None and not future.done():
                future.set_result(message)
            return
        if isinstance(message, LeaderHeartbeat):
            await self._handle_heartbeat(leader, message)
            return
        if message.term != self._leadership.term:
            return
        if isinstance(message, Orders):
            await self._forward_orders(message)
        elif isinstance(message, Acknowledge):
            proxy = self._proxies.get(message.worker)
            if proxy is not None:
                proxy.acknowledge(message.number)
        elif isinstance(message, PublishedStates):
            self._apply_published(message)
        elif isinstance(message, Assign):
            self._apply_assignment(message)
        elif isinstance(message, ForwardedAdviceRequest):
            await self._advice_proxy.enqueue(message)
        elif isinstance(message, Resignation):
            self._leadership.record_resignation(message.term)

    async def _handle_heartbeat(
        self, leader: bytes, message: LeaderHeartbeat
    ) -> None:
        previous_term = self._leadership.term
        followed = self._leadership.record_heartbeat(
            message.term,
            message.leader,
            message.echoed_timestamp,
            message.confirmation_age_s,
            self.now,
            message.silence_limit_s,
        )
        if followed:
            if message.term > previous_term:
                self._stop_proxies()
                self.published_states.start_term()
                self.admission.forecast.start_term()
                self._ports.log.line(
                    "leader.followed", message.leader, term=message.term
                )
            self._leader_identity = leader
            if message.term > previous_term:
                await self._send_lease_ages()
            if message.published is not None:
                self._apply_published(message.published)
                self._apply_forecast(message, message.published.forecast)
        heartbeat = MemberHeartbeat(
            self._settings.name,
            self._leadership.term,
            self.now,
            self._assignment_version,
            self._draining,
            message.timestamp if followed else 0.0,
            self._incarnation,
        )
        await self._ports.leader_port.send(leader, heartbeat)

    async def _send_lease_ages(self) -> None:
        """Tell a new leader which leases may last, before any heartbeat."""
        now = self.now
        await self.send(
            LeaseAges(
                self.term,
                self._lease_extensions.ages_s(now),
                self._lease_extensions.process_age_s(now),
            )
        )

    def _apply_published(self, message: PublishedStates) -> None:
        self.published_states.update_states(message.states, message.number)
        if message.queued is not None:
            self.published_states.replace_queue_counts(
                message.queued, self.now
            )

    def _apply_forecast(
        self, message: LeaderHeartbeat, forecast: RoomForecast | None
    ) -> None:
        if forecast is not None:
            self.admission.forecast.replace(
                forecast, message.timestamp, message.echoed_timestamp
            )

    async def _forward_orders(self, message: Orders) -> None:
        for item in message.orders:
            proxy = self._proxies.get(item.order.worker)
            if proxy is None:
                await self.send(
                    OrderResult(
                        message.term, item.number, OrderOutcome.NOT_SENT
                    )
                )
            else:
                proxy.enqueue_order(item, message.echoed_timestamp)

    def _apply_assignment(self, message: Assign) -> None:
        if message.version <= self._assignment_version:
            return
        self._assignment_version = message.version
        assigned = {worker.key: worker for worker in message.workers}
        for key in list(self._proxies):
            if key not in assigned:
                del self._proxies[key]
                self._proxy_tasks.pop(key).cancel()
                self._ports.log.line(
                    "worker.released", key.id, born=key.started_at_ms
                )
        for key, worker in assigned.items():
            if key not in self._proxies:
                self._open_proxy(worker)
                self._ports.log.line(
                    "worker.assigned",
                    key.id,
                    born=key.started_at_ms,
                    token=worker.token,
                )

    def _open_proxy(self, worker: AssignedWorker) -> None:
        lease_s = min(WORKER_LEASE_S, self._settings.max_lease_s)
        link = self._ports.open_worker_link(
            worker.key, worker.address, lease_s
        )
        proxy = WorkerProxy(worker, link, self, self._ports.log)
        self._proxies[worker.key] = proxy
        self._proxy_tasks[worker.key] = asyncio.create_task(
            self._run_proxy(worker, proxy),
            name=f"worker proxy {worker.key.id}",
        )

    async def _run_proxy(
        self, worker: AssignedWorker, proxy: WorkerProxy
    ) -> None:
        """Run a proxy, and open another one after an unexpected error.

        The outcomes of its orders are then unknown to the leader.
        """
        try:
            await proxy.run()
        except Exception as error:
            logging.exception("Proxy of worker %s failed", worker.key.id)
            cause = error
            while isinstance(cause, ExceptionGroup):
                cause = cause.exceptions[0]
            self._ports.log.line(
                "proxy.failed", worker.key.id, detail=repr(cause)
            )
            await asyncio.sleep(_PROXY_RESTART_DELAY_S)
            self._open_proxy(worker)

    def _stop_proxies(self) -> None:
        for task in self._proxy_tasks.values():
            task.cancel()
        self._proxy_tasks.clear()
        self._proxies.clear()
        self._assignment_version = 0

"""One term of a leader."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

import msgspec

from carawaystep.cluster.messages import Acknowledge
from carawaystep.cluster.messages import Ask
from carawaystep.cluster.messages import AssignedWorker
from carawaystep.cluster.messages import CallReply
from carawaystep.cluster.messages import Cancel
from carawaystep.cluster.messages import Concluded
from carawaystep.cluster.messages import Consulted
from carawaystep.cluster.messages import Farewell
from carawaystep.cluster.messages import NumberedOrder
from carawaystep.cluster.messages import Orders
from carawaystep.cluster.messages import Report
from carawaystep.cluster.messages import Submit
from carawaystep.cluster.messages import Superseded
from carawaystep.cluster.messages import Told
from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.leadership.leadership import GRANT_S
from carawaystep.leadership.leadership import LEADER_LEASE_S
from carawaystep.leadership.member_record import MemberRecord
from carawaystep.leadership.worker_shares import share_workers
from carawaystep.planner.interference_aware_placement import (
    InterferenceAwarePlacement,
)
from carawaystep.planner.interference_model import InterferenceModel
from carawaystep.planner.planner import Planner
from carawaystep.planner.planner_limits import PlannerLimits
from carawaystep.scheduler import tables
from carawaystep.scheduler.consultations import Consultations
from carawaystep.scheduler.feed import Feed
from carawaystep.scheduler.leader_context import LeaderContext
from carawaystep.scheduler.member import LEASE_S
from carawaystep.scheduler.member_session import MemberSession
from carawaystep.scheduler.workflow_ledger import read_spec
from carawaystep.scheduler.workflow_ledger import TermEnded
from carawaystep.scheduler.workflow_ledger import WorkflowLedger

if TYPE_CHECKING:
    from carawaystep.cluster.messages import Message
    from carawaystep.fleet.order import Order
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.fleet.worker_offer import WorkerOffer
    from carawaystep.planner.changes import Changes
    from carawaystep.scheduler.node_settings import NodeSettings
    from carawaystep.scheduler.ports import SchedulerPorts
    from carawaystep.scheduler.store_pulse import StorePulse
    from carawaystep.store.row import Row
    from carawaystep.workflow.workflow_state import WorkflowState

# Clocks of workers may be slow by this factor.
_CLOCK_DRIFT = 1.02
_MARGIN_S = 0.4

_CONFIRM_S = 0.5
_TICK_S = 0.1
# Changes that come close together share a transaction.
_GATHER_S = 0.015
_QUEUED_S = 0.5
_STOP_AGAIN_S = 0.5
_ORDER_LIMIT_S = 1.5
# Beyond it, submissions are refused at once instead of left waiting.
_REFUSE_AFTER_S = 0.8
_FEED_WAIT_S = 2.0
_FLEET_GAP_S = 0.3
_SAVE_S = 4.0
# Pairs at least this likely to be harmful are named in the log.
_SHOWN_ODDS = 0.3


class LeaderTerm(LeaderContext):
    """Plans for the whole installation until another process leads."""

    def __init__(
        self,
        settings: NodeSettings,
        ports: SchedulerPorts,
        pulse: StorePulse,
        term: int,
    ) -> None:
        """Create a term that has read nothing.

        :param term: version of the leader's row
        """
        self._settings = settings
        self._ports = ports
        self._term = term
        self._ledger = WorkflowLedger(
            ports.table, ports.clock, pulse, ports.log, term
        )
        self._pulse = pulse
        lease_s = min(LEASE_S, settings.max_lease_s) * _CLOCK_DRIFT
        lost_s = GRANT_S + lease_s + _MARGIN_S
        self._interference = InterferenceModel()
        self._planner = Planner(
            PlannerLimits(lost_s, LEADER_LEASE_S + lost_s),
            InterferenceAwarePlacement(self._interference),
            self._interference,
            ports.log,
            self.now,
        )
        self._sessions: dict[str, MemberSession] = {}
        self._session_tasks: dict[str, asyncio.Task[None]] = {}
        self._owners: dict[WorkerKey, str] = {}
        self._offers: dict[str, WorkerOffer] = {}
        self._consultations = Consultations(term)
        self._numbers = count(1)
        self._sent: dict[int, tuple[Order, float]] = {}
        self._told: dict[str, WorkflowState] = {}
        self._callers: dict[str, list[tuple[MemberSession, int]]] = {}
        self._wake = asyncio.Event()
        self._doubt = asyncio.Event()
        self._stopping = False
        self._resigned = asyncio.Event()
        self._errors: asyncio.Queue[Exception] = asyncio.Queue()
        self._queued_at = 0.0
        self._stopped_at = 0.0

    @property
    def name(self) -> str:
        """Return the name of the leader's node."""
        return self._settings.name

    @property
    def term(self) -> int:
        """Return the term."""
        return self._term

    @property
    def now(self) -> float:
        """Return the present time of the boot-time clock."""
        return self._ports.clock.now()

    def may_lead(self, now: float) -> bool:
        """Tell whether the store confirmed the term recently enough."""
        return not self._stopping and self.store_age(now) < LEADER_LEASE_S

    def store_age(self, now: float) -> float:
        """Return seconds since the store confirmed the term."""
        return now - self._ledger.confirmed_at

    def doubt_term(self) -> None:
        """Have the store asked at once whether the term still holds."""
        self._doubt.set()

    async def run(self) -> None:
        """Lead until another process does, or the task is cancelled."""
        try:
            revision = await self._ledger.load(self._planner)
            self._interference.restore(await self._ledger.load_pairs())
            self._tell_restored()
            async with asyncio.TaskGroup() as group:
                group.create_task(self._follow_members())
                group.create_task(self._follow_workers())
                group.create_task(self._follow_submissions(revision))
                group.create_task(self._follow_cancels())
                group.create_task(self._confirm())
                group.create_task(self._tick())
                group.create_task(self._pump())
                group.create_task(self._until_resigned())
                group.create_task(self._raise_errors())
                group.create_task(self._save_pairs())
        except* TermEnded:
            self._ports.log.line("leader.deposed", self.name, term=self._term)
        finally:
            for task in self._session_tasks.values():
                task.cancel()

    async def resign(self) -> None:
        """Tell all members that this process leads no longer."""
        self._stopping = True
        for session in self._sessions.values():
            await session.send(Farewell(self._term))
        self._resigned.set()

    async def take(self, session: MemberSession, message: Message) -> None:
        """Take a message of a member."""
        if isinstance(message, Report):
            if message.term == self._term:
                self._planner.handle_report(message.report, self.now)
                self._wake.set()
        elif isinstance(message, Concluded):
            if message.term == self._term:
                self._conclude(message)
        elif isinstance(message, Submit):
            await self._submit(session, message)
        elif isinstance(message, Cancel):
            await self._cancel(session, message)
        elif isinstance(message, Ask):
            state = self._told.get(message.workflow)
            await session.send(
                CallReply(message.call, state is not None, state)
            )
        elif isinstance(message, Consulted):
            self._consultations.answered(session.record.name)
            if message.term == self._term:
                self._planner.handle_advice(
                    message.request, message.tickets, self.now
                )
                self._wake.set()
        elif isinstance(message, Superseded) and message.fenced:
            self.doubt_term()

    async def _submit(self, session: MemberSession, message: Submit) -> None:
        name = message.spec.id
        if name in self._told:
            reply = CallReply(message.call, True, self._told[name])
            await session.send(reply)
            return
        if self.store_age(self.now) > _REFUSE_AFTER_S:
            # One that waits to be stored has an open outcome.
            new = self._planner.state(name) is None
            await session.send(CallReply(message.call, False, refused=new))
            return
        self._planner.admit(message.spec, stored=False)
        self._callers.setdefault(name, []).append((session, message.call))
        self._wake.set()

    async def _cancel(self, session: MemberSession, message: Cancel) -> None:
        name = message.workflow
        if not self._planner.cancel(name):
            await session.send(CallReply(message.call, False))
            return
        told = self._told.get(name)
        if told is not None and told.final:
            await session.send(CallReply(message.call, True, told))
            return
        self._callers.setdefault(name, []).append((session, message.call))
        self._wake.set()

    def _conclude(self, message: Concluded) -> None:
        sent = self._sent.pop(message.number, None)
        if sent is None:
            return
        self._planner.handle_order_outcome(sent[0], message.outcome, self.now)
        if message.outcome is not OrderOutcome.DONE:
            order = sent[0]
            self._ports.log.line(
                "order.failed",
                str(order.ref),
                run=order.run,
                worker=order.worker.id,
                order=type(order).__name__,
                outcome=message.outcome,
            )
        self._wake.set()

    async def _save_pairs(self) -> None:
        saved: list[tuple[str, str, float]] = []
        while True:
            await asyncio.sleep(_SAVE_S)
            pairs = self._interference.probabilities()
            if pairs != saved:
                await self._ledger.save_pairs(pairs)
                saved = pairs
                self._ports.log.line(
                    "interference.stored",
                    self.name,
                    harmful=" ".join(
                        f"{filling}>{serving}:{odds:.2f}"
                        for filling, serving, odds in pairs
                        if odds >= _SHOWN_ODDS
                    ),
                )

    async def _until_resigned(self) -> None:
        await self._resigned.wait()
        raise TermEnded

    async def _raise_errors(self) -> None:
        raise await self._errors.get()

    async def _pump(self) -> None:
        """Plan, store and send, again and again."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            self._planner.plan(self.now, self._ports.clock.wall_now())
            await self._dispatch(self._planner.take_immediate_orders())
            await self._consultations.send(
                self._planner.take_advice_requests(), self._sessions, self.now
            )
            changes = self._planner.take_changes()
            if changes.is_empty:
                continue
            if changes.needs_commit:
                await self._ledger.commit(changes)
            await self._apply(changes)
            await asyncio.sleep(_GATHER_S)

    async def _apply(self, changes: Changes) -> None:
        """Do what follows from stored changes."""
        await self._dispatch(
            [
                order
                for order in changes.orders
                if not isinstance(order, StartOrder)
                or self._planner.should_send(order)
            ]
        )
        for key, number in changes.acknowledged.items():
            session = self._sessions.get(self._owners.get(key, ""))
            if session is not None:
                await session.send(Acknowledge(self._term, key, number))
        if changes.states:
            self._told.update(changes.states)
            for session in self._sessions.values():
                await session.send(Told(self._term, changes.states))
        for name in changes.states:
            for session, call in self._callers.pop(name, ()):
                await session.send(CallReply(call, True, self._told[name]))

    async def _dispatch(self, orders: list[Order]) -> None:
        by_member: dict[str, list[NumberedOrder]] = {}
        now = self.now
        for order in orders:
            number = next(self._numbers)
            self._sent[number] = (order, now)
            owner = self._owners.get(order.worker, "")
            by_member.setdefault(owner, []).append(
                NumberedOrder(number, order)  # type: ignore[arg-type]
            )
        for owner, numbered in by_member.items():
            session = self._sessions.get(owner)
            message = Orders(self._term, numbered)
            if session is not None and await session.send(message):
                continue
            for item in numbered:
                self._conclude(
                    Concluded(self._term, item.number, OrderOutcome.NOT_SENT)
                )

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            now = self.now
            for number, (_, sent_at) in list(self._sent.items()):
                if now - sent_at > _ORDER_LIMIT_S:
                    self._conclude(
                        Concluded(self._term, number, OrderOutcome.UNKNOWN)
                    )
            self._planner.requeue_lost_runs(now)
            self._planner.evacuate(now)
            if now - self._stopped_at > _STOP_AGAIN_S:
                self._stopped_at = now
                self._planner.retry_stops()
            await self._dispatch(self._planner.take_immediate_orders())
            await self._assign(now)
            if now - self._queued_at > _QUEUED_S:
                self._queued_at = now
                message = Told(self._term, {}, self._planner.count_queued())
                for session in self._sessions.values():
                    await session.send(message)
            self._wake.set()

    async def _assign(self, now: float) -> None:
        """Spread the workers over the members that can call them."""
        available = {
            name: session.record
            for name, session in self._sessions.items()
            if session.available(now)
        }
        if not available:
            return
        offers = {
            key: worker.offer for key, worker in self._planner.workers.items()
        }
        owners = share_workers(offers.values(), available, self.name)
        shares: dict[str, list[AssignedWorker]] = {n: [] for n in available}
        for key, name in owners.items():
            shares[name].append(AssignedWorker(key, offers[key].address))
        for key, name in owners.items():
            if self._owners.get(key) != name:
                self._planner.handle_reassignment(key)
        self._owners = owners
        for name, workers in shares.items():
            await self._sessions[name].assign(workers)

    async def _follow_members(self) -> None:
        feed = Feed(self._ports, self._pulse, tables.MEMBERS, _FEED_WAIT_S)
        while True:
            for row in await feed.read():
                self._meet(row)

    def _meet(self, row: Row) -> None:
        try:
            record = msgspec.convert(row.value, MemberRecord)
        except msgspec.ValidationError:
            return
        known = self._sessions.get(record.name)
        if known is not None and known.record == record:
            return
        if known is not None:
            self._session_tasks.pop(record.name).cancel()
        session = MemberSession(
            record, self._ports.member(record.address), self
        )
        self._sessions[record.name] = session
        self._session_tasks[record.name] = asyncio.create_task(
            self._serve(session), name=f"member {record.name}"
        )

    async def _serve(self, session: MemberSession) -> None:
        """Serve a member; an error in its messages ends the term.

        The next leader starts from what is stored.
        """
        try:
            await session.run()
        except Exception as error:
            self._errors.put_nowait(error)

    async def _follow_workers(self) -> None:
        source = self._ports.worker_list
        feed = Feed(self._ports, self._pulse, source.table, _FEED_WAIT_S)
        while True:
            rows = await feed.read()
            if feed.complete:
                self._offers.clear()
            for row in rows:
                offer = source.offer_from_row(row) if row.value else None
                if offer is None:
                    self._offers.pop(row.key, None)
                else:
                    self._offers[row.key] = offer
            self._planner.update_worker_list(self._offers.values())
            self._wake.set()
            await asyncio.sleep(_FLEET_GAP_S)

    async def _follow_submissions(self, revision: int) -> None:
        feed = Feed(
            self._ports,
            self._pulse,
            tables.SUBMISSIONS,
            _FEED_WAIT_S,
            revision,
        )
        while True:
            for row in await feed.read():
                if not row.value or self._planner.state(row.key) is not None:
                    continue
                spec = read_spec(row)
                if spec is not None:
                    self._planner.admit(spec, stored=True)
                    self._wake.set()

    async def _follow_cancels(self) -> None:
        feed = Feed(self._ports, self._pulse, tables.CANCELS, _FEED_WAIT_S)
        while True:
            for row in await feed.read():
                if row.value is not None and self._planner.cancel(row.key):
                    self._wake.set()

    async def _confirm(self) -> None:
        """Have the store confirm the term when no commit has."""
        while True:
            try:
                async with asyncio.timeout(_CONFIRM_S):
                    await self._doubt.wait()
            except TimeoutError:
                if self.store_age(self.now) < _CONFIRM_S:
                    continue
            self._doubt.clear()
            await self._ledger.confirm()

    def _tell_restored(self) -> None:
        for name, workflow in self._planner.workflows.items():
            self._told[name] = workflow.state
        self._told.update(self._planner.final_states)
        self._wake.set()

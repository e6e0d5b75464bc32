"""One term of the leader."""

from __future__ import annotations

import asyncio
from dataclasses import asdict
from typing import TYPE_CHECKING

from carawaystep.cluster.messages import Acknowledge
from carawaystep.cluster.messages import Resignation
from carawaystep.leadership.leadership import LEADER_LEASE_S
from carawaystep.leadership.predecessors import Predecessors
from carawaystep.leadership.silence_limit import SilenceLimit
from carawaystep.planner.interference_aware_placement import (
    InterferenceAwarePlacement,
)
from carawaystep.planner.interference_model import InterferenceModel
from carawaystep.planner.planner import Planner
from carawaystep.scheduler.advice_dispatcher import AdviceDispatcher
from carawaystep.scheduler.caller_repository import CallerRepository
from carawaystep.scheduler.interference_repository import (
    InterferenceRepository,
)
from carawaystep.scheduler.interval_timer import IntervalTimer
from carawaystep.scheduler.leader_context import LeaderContext
from carawaystep.scheduler.leader_feeds import LeaderFeeds
from carawaystep.scheduler.lease_limits import planner_limits
from carawaystep.scheduler.lifetime_tokens import LifetimeTokens
from carawaystep.scheduler.member_calls import MemberCalls
from carawaystep.scheduler.member_messages import MemberMessages
from carawaystep.scheduler.member_sessions import MemberSessions
from carawaystep.scheduler.order_dispatcher import OrderDispatcher
from carawaystep.scheduler.room_publisher import RoomPublisher
from carawaystep.scheduler.step_timer import StepTimer
from carawaystep.scheduler.term_ended import TermEnded
from carawaystep.scheduler.term_verification import TermVerification
from carawaystep.scheduler.voter_repository import VoterRepository
from carawaystep.scheduler.waiting_orders import create_waiting_order
from carawaystep.scheduler.waiting_orders import create_worker_reserve
from carawaystep.scheduler.worker_assignments import WorkerAssignments
from carawaystep.scheduler.worker_callers import WorkerCallers
from carawaystep.scheduler.worker_list_follower import WorkerListFollower
from carawaystep.scheduler.workflow_repository import WorkflowRepository
from carawaystep.workflow.workflow_state import WorkflowState

if TYPE_CHECKING:
    from carawaystep.availability_zone.evacuated_zones import EvacuatedZones
    from carawaystep.cluster.messages import Message
    from carawaystep.entry.clock import Clock
    from carawaystep.leadership.election import Election
    from carawaystep.leadership.leadership import Leadership
    from carawaystep.planner.changes import Changes
    from carawaystep.routing.current_routes import CurrentRoutes
    from carawaystep.scheduler.member_session import MemberSession
    from carawaystep.scheduler.node_settings import NodeSettings
    from carawaystep.scheduler.ports import SchedulerPorts
    from carawaystep.scheduler.store_health import StoreHealth
    from carawaystep.scheduler.workflow_repository import LoadedRevisions

_CONFIRM_INTERVAL_S = 0.5
_TICK_INTERVAL_S = 0.1
# Changes within this window share a transaction.
_BATCH_WINDOW_S = 0.015
_QUEUE_COUNT_INTERVAL_S = 0.5
_STOP_RETRY_INTERVAL_S = 0.5
# Time that messages which came during a delay get to be read at most.
_MAX_READING_DELAY_S = 1.0
_INTERFERENCE_SAVE_INTERVAL_S = 4.0
# Image pairs with a lower probability of harm are left out of the log.
_LOGGED_MIN_PROBABILITY = 0.3


class LeaderTerm(LeaderContext):
    """Plans for the whole installation while this process leads.

    A change is first committed to the store, then its orders are sent and
    its states published.
    """

    def __init__(
        self,
        settings: NodeSettings,
        ports: SchedulerPorts,
        store_health: StoreHealth,
        leadership: Leadership,
        election: Election,
        routes: CurrentRoutes,
        evacuated_zones: EvacuatedZones,
    ) -> None:
        """Create a term; nothing is read yet.

        :param settings: settings of this process
        :param ports: clock, store, members and log
        :param store_health: records the answers and failures of the store
        :param leadership: what this process knows about the leader
        :param election: number and predecessors of the term
        :param routes: the routes, with the terms of tickets
        :param evacuated_zones: zones whose workers get no new work
        """
        self._settings = settings
        self._ports = ports
        self._leadership = leadership
        self._routes = routes
        self._term = term = election.term
        self._predecessors = Predecessors(
            election.predecessors, ports.clock.now()
        )
        self._predecessors_need_majority = election.predecessors_need_majority
        self._verification = TermVerification(
            VoterRepository(ports, store_health, term), self._predecessors
        )
        self._repository = WorkflowRepository(
            settings, ports.store, ports.clock, store_health, ports.log, term
        )
        self._store_health = store_health
        self._interference_repository = InterferenceRepository(
            settings, ports, store_health, term
        )
        limits = planner_limits(settings)
        self._interference = InterferenceModel()
        self._planner = Planner(
            limits,
            InterferenceAwarePlacement(self._interference),
            self._interference,
            ports.log,
            self.now,
            create_waiting_order(settings.load),
            evacuated_zones=evacuated_zones,
            reserve=create_worker_reserve(settings.load),
        )
        self._plan_requested = asyncio.Event()
        self._sessions = MemberSessions(ports, self)
        self._assignments = WorkerAssignments(
            self._planner,
            self._sessions,
            self.name,
            WorkerCallers(limits.lease_ends_after_s),
            CallerRepository(ports, store_health, term),
            self._predecessors,
            LifetimeTokens(term),
        )
        self._order_dispatcher = OrderDispatcher(
            term,
            self._planner,
            self._sessions,
            self._assignments,
            self._plan_requested,
            ports.log,
        )
        self._advice_dispatcher = AdviceDispatcher(term)
        self._feeds = LeaderFeeds(
            ports,
            store_health,
            self._planner,
            self._sessions,
            self._plan_requested,
        )
        self._worker_list_follower = WorkerListFollower(
            ports.worker_list,
            self._feeds.open(ports.worker_list.table),
            self._planner,
            self._plan_requested,
            ports.clock,
        )
        self._calls = MemberCalls(self._planner, self, self._plan_requested)
        self._member_messages = MemberMessages(
            self,
            self._planner,
            self._assignments,
            self._order_dispatcher,
            self._advice_dispatcher,
            self._calls,
            self._plan_requested,
        )
        self._room_publisher = RoomPublisher(
            self._planner, self._sessions, self._calls.admission, ports
        )
        self._term_check_requested = asyncio.Event()
        # Grants are given once the term has been confirmed after the election.
        self._term_check_requested.set()
        self._stopping = False
        self._resigned = asyncio.Event()
        self._step_timer = StepTimer(ports.clock, ports.log, settings.name)
        self._silence_limit = SilenceLimit()
        # Until then, messages that came during a delay may not be read yet.
        self._unread_until = 0.0
        self._queue_counts_sent_at = 0.0
        self._stops_retried_at = 0.0

    @property
    def name(self) -> str:
        """Return the name of the leader's node."""
        return self._settings.name

    @property
    def term(self) -> int:
        """Return the number of the term."""
        return self._term

    @property
    def clock(self) -> Clock:
        """Return the clock of the process."""
        return self._ports.clock

    @property
    def now(self) -> float:
        """Return the current time of the boot-time clock in seconds."""
        return self._ports.clock.now()

    def may_lead(self, now: float) -> bool:
        """Tell whether this process may still act as the leader.

        It may until it resigns, it follows a higher term or its lease ends.
        """
        return (
            not self._stopping
            and self._leadership.term <= self._term
            and self.confirmation_age(now) < LEADER_LEASE_S
        )

    def confirmation_age(self, now: float) -> float:
        """Return the seconds since the store last confirmed the term."""
        return now - self._repository.confirmed_at

    def silence_limit_s(self, now: float) -> float:
        """Return the seconds of silence after which it is to be replaced."""
        return self._silence_limit.seconds(now)

    def request_term_check(self) -> None:
        """Request a check of the leader row ahead of the periodic one."""
        self._term_check_requested.set()

    def record_follower(self, address: str) -> None:
        """Record a follower, after which no earlier leader may act."""
        now = self.now
        self._planner.earlier_leases.record_follower(address, now)
        last = self._predecessors.record_follower(address, now)
        self._apply_predecessor_stop_time(last)

    def verified_at(self) -> float:
        """Return the last time at which the term was confirmed."""
        return max(self._repository.checked_at, self._verification.verified_at)

    def record_answer(
        self, address: str, incarnation: str, sent_at: float
    ) -> None:
        """Record that a member followed this term on a heartbeat."""
        self._verification.record_answer(
            address, incarnation, sent_at, self.now
        )

    def _apply_predecessor_stop_time(self, stopped: bool) -> None:
        """Pass on until when earlier leaders may act.

        :param stopped: whether the last one has stopped now
        """
        self._planner.set_predecessor_stop_time(self._predecessors.stop_time)
        if stopped:
            self._ports.log.line(
                "leader.predecessors_stopped", self.name, term=self._term
            )

    async def run(self) -> None:
        """Lead until the term ends or the task is cancelled.

        The term ends when another process was elected or this one resigned.
        """
        try:
            async with asyncio.TaskGroup() as group:
                # Members hear of the term before its tables are read, which
                # may take longer than they wait for a new leader.
                group.create_task(self._feeds.follow_members())
                group.create_task(self._confirm_term())
                group.create_task(self._end_when_resigned())
                group.create_task(self._sessions.raise_error())
                revisions = await self._load()
                group.create_task(self._worker_list_follower.run())
                group.create_task(
                    self._feeds.follow_submissions(revisions.submissions)
                )
                group.create_task(
                    self._feeds.follow_cancels(revisions.cancels)
                )
                group.create_task(self._run_periodic_work())
                group.create_task(self._store_voters())
                group.create_task(self._assign_workers())
                group.create_task(self._run_planner())
                group.create_task(self._save_interference())
        except* TermEnded:
            event = "leader.resigned" if self._stopping else "leader.deposed"
            self._ports.log.line(event, self.name, term=self._term)
        finally:
            self._sessions.cancel()

    async def _load(self) -> LoadedRevisions:
        """Restore the stored state and let the members' messages in."""
        await self._load_voters()
        await self._assignments.load()
        revisions = await self._repository.load(self._planner)
        self._interference.restore(await self._interference_repository.load())
        self._publish_restored_states()
        self._member_messages.admit_all()
        return revisions

    async def _load_voters(self) -> None:
        """Read on which members the earlier leaders may count."""
        voter_sets = await self._verification.load()
        if voter_sets is None or not self._predecessors_need_majority:
            return
        stopped = self._predecessors.set_voter_sets(voter_sets, self.now)
        self._apply_predecessor_stop_time(stopped)

    async def resign(self) -> None:
        """End the term and announce the resignation to all members."""
        self._stopping = True
        await self._sessions.broadcast(Resignation(self._term))
        self._resigned.set()

    async def handle_message(
        self, session: MemberSession, message: Message
    ) -> None:
        """Handle a message from a member."""
        await self._member_messages.handle(session, message, self.now)

    async def _save_interference(self) -> None:
        saved: list[tuple[str, str, float]] = []
        while True:
            await asyncio.sleep(_INTERFERENCE_SAVE_INTERVAL_S)
            self._log_harm()
            pairs = self._interference.probabilities()
            if pairs == saved:
                continue
            if await self._interference_repository.save(pairs):
                saved = pairs
                self._ports.log.line(
                    "interference.stored",
                    self.name,
                    harmful=" ".join(
                        f"{best_effort}>{serving}:{probability:.2f}"
                        for best_effort, serving, probability in pairs
                        if probability >= _LOGGED_MIN_PROBABILITY
                    ),
                )

    def _log_harm(self) -> None:
        statistics = self._planner.take_harm_statistics()
        if not statistics.is_empty:
            self._ports.log.line(
                "interference.harm", self.name, **asdict(statistics)
            )

    async def _end_when_resigned(self) -> None:
        await self._resigned.wait()
        raise TermEnded

    async def _run_planner(self) -> None:
        """Plan whenever requested, then commit and publish the changes.

        Passes take at most half of the time, so that reports and heartbeats
        are handled between them.
        """
        while True:
            await self._plan_requested.wait()
            self._plan_requested.clear()
            began_at = self.now
            self._planner.set_ticket_terms(self._routes.ticket_terms)
            with self._step_timer.measure("plan"):
                limited = self._planner.plan(
                    began_at, self._ports.clock.wall_now()
                )
            if limited:
                self._plan_requested.set()
            pause_s = max(_BATCH_WINDOW_S, self.now - began_at)
            await self._dispatch_immediate_orders()
            unsent = await self._advice_dispatcher.dispatch(
                self._planner.take_advice_requests(),
                self._sessions.sessions,
                self.now,
            )
            self._planner.withdraw_advice_requests(unsent, self.now)
            await self._store_and_publish(self._planner.take_changes())
            await asyncio.sleep(pause_s)

    async def _store_and_publish(self, changes: Changes) -> None:
        if changes.is_empty:
            return
        if changes.needs_commit:
            outcome = await self._repository.commit(changes)
            for workflow_id in outcome.cancelled:
                self._planner.apply_stored_cancellation(workflow_id)
                self._plan_requested.set()
            for workflow_id in outcome.rejected:
                self._planner.fail(workflow_id, "rejected-by-the-store")
                changes.states[workflow_id] = (
                    self._planner.state(workflow_id) or WorkflowState.FAILED
                )
                self._plan_requested.set()
        await self._publish_changes(changes)

    async def _publish_changes(self, changes: Changes) -> None:
        """Send the orders, acknowledgements and states of stored changes."""
        await self._order_dispatcher.dispatch_stored(changes.orders, self.now)
        for key, number in changes.acknowledged.items():
            session = self._assignments.session_for(key)
            if session is not None:
                await session.send(Acknowledge(self._term, key, number))
        self._calls.record_published(changes.states)
        await self._calls.reply_to_waiting(changes.states)
        await self._calls.notify_submitters(changes.states)
        self._sessions.publish_states(changes.states)
        self._planner.record_published(changes, self.now)

    async def _dispatch_immediate_orders(self) -> None:
        await self._order_dispatcher.dispatch(
            self._planner.take_immediate_orders(), self.now
        )

    async def _run_periodic_work(self) -> None:
        timer = IntervalTimer(self._ports.clock)
        while True:
            late_s = await timer.wait(_TICK_INTERVAL_S)
            now = self.now
            if late_s:
                self._record_delay(late_s, now)
            if now >= self._unread_until:
                self._judge_silence(now)
            self._planner.clear_leaving_workers(now)
            self._step_timer.log_summary(now)
            if now - self._stops_retried_at > _STOP_RETRY_INTERVAL_S:
                self._stops_retried_at = now
                self._planner.retry_stops()
            await self._dispatch_immediate_orders()
            if now - self._queue_counts_sent_at > _QUEUE_COUNT_INTERVAL_S:
                self._queue_counts_sent_at = now
                self._sessions.publish_queue_counts(
                    self._planner.count_queued()
                )
                self._publish_room(now)
            self._plan_requested.set()

    def _publish_room(self, now: float) -> None:
        """Forecast room where submissions are refused by it."""
        if not self._settings.load.admission:
            return
        with self._step_timer.measure("room"):
            self._room_publisher.publish(now)

    async def _store_voters(self) -> None:
        """Keep the voters stored, at the pace of the store."""
        while True:
            await self._verification.update(self.now)
            await asyncio.sleep(_TICK_INTERVAL_S)

    async def _assign_workers(self) -> None:
        """Assign workers to members, at the pace of the store."""
        while True:
            now = self.now
            if now >= self._unread_until:
                await self._assignments.update(now)
            await asyncio.sleep(_TICK_INTERVAL_S)

    def _record_delay(self, late_s: float, now: float) -> None:
        """Record that the event loop was busy or the process paused.

        What has arrived meanwhile gets as long to be read, up to a limit.
        """
        self._unread_until = now + min(late_s, _MAX_READING_DELAY_S)
        self._silence_limit.record_delay(late_s, now)
        self._ports.log.line("loop.late", self.name, seconds=late_s)

    def _judge_silence(self, now: float) -> None:
        """Give up orders and runs of which nothing was heard for too long."""
        self._order_dispatcher.expire(now)
        self._planner.requeue_lost_runs(now, self._assignments.contact_times)

    async def _confirm_term(self) -> None:
        """Check the leader row on request and at an interval.

        The check at the interval is skipped if a recent commit has checked
        the row.
        """
        while True:
            try:
                async with asyncio.timeout(_CONFIRM_INTERVAL_S):
                    await self._term_check_requested.wait()
            except TimeoutError:
                if self.confirmation_age(self.now) < _CONFIRM_INTERVAL_S:
                    continue
            self._term_check_requested.clear()
            await self._repository.confirm()

    def _publish_restored_states(self) -> None:
        self._calls.record_published(
            {
                workflow_id: workflow.state
                for workflow_id, workflow in self._planner.workflows.items()
            }
        )
        self._calls.record_published(self._planner.final_states)
        self._plan_requested.set()

"""The leader's session with one member."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from carawaystep.cluster.messages import Assign
from carawaystep.cluster.messages import LeaderHeartbeat
from carawaystep.cluster.messages import MemberHeartbeat
from carawaystep.cluster.messages import PublishedStates
from carawaystep.leadership.leadership import HEARTBEAT_INTERVAL_S
from carawaystep.scheduler.interval_timer import IntervalTimer

if TYPE_CHECKING:
    from collections.abc import Mapping

    from carawaystep.cluster.member_channel import MemberChannel
    from carawaystep.cluster.messages import AssignedWorker
    from carawaystep.cluster.messages import Message
    from carawaystep.leadership.member_record import MemberRecord
    from carawaystep.planner.room_forecast import RoomForecast
    from carawaystep.scheduler.leader_context import LeaderContext
    from carawaystep.workflow.workflow_state import WorkflowState

# Retry interval of the heartbeat while the connection is not open yet.
_CONNECT_RETRY_INTERVAL_S = 0.03
# A member without a heartbeat for this long is assigned no workers.
_MEMBER_TIMEOUT_S = 1.0
# A connection without a heartbeat for this long is replaced.
_RECONNECT_AFTER_S = 1.0
# Of more states, none is sent: the member notices the gap in the numbers and
# asks for what it needs.
_MAX_UNPUBLISHED_STATES = 2000
# Heartbeats of a member that wait for a confirmation of the term; a grant
# outlasts fewer.
_MAX_UNCONFIRMED = 32
# Leases that a member extended before earlier silences have ended: each
# silence takes more than _RECONNECT_AFTER_S.
_MAX_SILENCES = 16


class MemberSession:
    """Exchanges heartbeats with a member and keeps its assignment current.

    Other messages of the member are passed to the leader's term.
    """

    def __init__(
        self,
        record: MemberRecord,
        channel: MemberChannel,
        context: LeaderContext,
    ) -> None:
        """Create a session that has received no heartbeat.

        :param record: stored record of the member
        :param channel: connection to the member
        :param context: the leader's term
        """
        self._record = record
        self._channel = channel
        self._context = context
        self._last_heartbeat_at: float | None = None
        self._member_timestamp = 0.0
        # Timestamp that renews the member's grant, and later ones with the
        # times of their arrival, after which the term must be confirmed first.
        self._granted_timestamp = 0.0
        self._unconfirmed: deque[tuple[float, float]] = deque(
            maxlen=_MAX_UNCONFIRMED
        )
        self._draining = False
        # Time from which the member's silence counts.
        self._silence_from = context.now
        # Times of the last heartbeats before the connection was replaced,
        # which may have lost messages of the member.
        self._silent_since: deque[float] = deque(maxlen=_MAX_SILENCES)
        self._assignment_version = 0
        # None before the member follows the term.
        self._confirmed_version: int | None = None
        self._workers: list[AssignedWorker] = []
        self._unpublished_states: dict[str, WorkflowState] = {}
        self._queue_counts: dict[str, int] | None = None
        self._forecast: RoomForecast | None = None
        # Heartbeats with states that were sent.
        self._published_count = 0

    @property
    def record(self) -> MemberRecord:
        """Return the stored record of the member."""
        return self._record

    @property
    def member_timestamp(self) -> float:
        """Return the timestamp of the member's last heartbeat, 0 if none.

        It is a time of the member's clock.
        """
        return self._member_timestamp

    @property
    def last_heartbeat_at(self) -> float | None:
        """Return when the member was last heard in this term, None if never.

        :returns: seconds of the leader's clock
        """
        return self._last_heartbeat_at

    @property
    def contact_times(self) -> list[float]:
        """Return the times after which messages of the member may be missing.

        These are the times of its last heartbeat, and of the last one before
        each silence.
        """
        if self._last_heartbeat_at is None:
            return []
        return [*self._silent_since, self._last_heartbeat_at]

    def has_dropped(self, worker_id: str) -> bool:
        """Tell whether the member has confirmed not to call a worker.

        :param worker_id: id of the worker, in any lifetime
        """
        return self._confirmed_version == self._assignment_version and all(
            worker.key.id != worker_id for worker in self._workers
        )

    def available(self, now: float) -> bool:
        """Tell whether the member can be assigned workers and requests.

        :param now: current time in seconds, monotonic
        """
        return (
            self._last_heartbeat_at is not None
            and now - self._last_heartbeat_at < _MEMBER_TIMEOUT_S
            and not self._draining
        )

    async def send(self, message: Message) -> bool:
        """Send a message to the member.

        :returns: False if it certainly does not arrive
        """
        return await self._channel.send(message)

    def publish_states(self, states: Mapping[str, WorkflowState]) -> None:
        """Send stored states with the next heartbeat.

        States that are sent in two heartbeats are numbered in order. For a
        member that is not connected, only a limited number is kept.
        """
        self._unpublished_states.update(states)
        if len(self._unpublished_states) > _MAX_UNPUBLISHED_STATES:
            self._unpublished_states = {}
            self._published_count += 1

    def publish_queue_counts(self, counts: dict[str, int]) -> None:
        """Send the queue counts with the next heartbeat."""
        self._queue_counts = counts

    def publish_forecast(self, forecast: RoomForecast) -> None:
        """Send a forecast with the next heartbeat."""
        self._forecast = forecast

    async def send_states_early(
        self, states: dict[str, WorkflowState]
    ) -> None:
        """Send states at once that a later heartbeat repeats."""
        await self._channel.send(
            PublishedStates(
                self._context.term, states, number=self._published_count
            )
        )

    async def assign(self, workers: list[AssignedWorker]) -> None:
        """Set the member's workers and send them if they have changed."""
        if workers == self._workers:
            return
        self._workers = workers
        self._assignment_version += 1
        await self._send_assignment()

    async def run(self) -> None:
        """Exchange messages with the member until the task is cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._send_heartbeats())
                group.create_task(self._receive())
        finally:
            await self._channel.close()

    async def _send_heartbeats(self) -> None:
        timer = IntervalTimer(self._context.clock)
        while True:
            now = self._context.now
            sent = True
            if self._context.may_lead(now):
                sent = await self._send_heartbeat(now)
            silent_since = max(
                self._last_heartbeat_at or 0.0, self._silence_from
            )
            if now - silent_since > _RECONNECT_AFTER_S:
                self._silence_from = now
                self._record_silence()
                await self._channel.reconnect()
            late_s = await timer.wait(
                HEARTBEAT_INTERVAL_S if sent else _CONNECT_RETRY_INTERVAL_S
            )
            if late_s:
                # Heartbeats that came meanwhile have not been read yet.
                self._silence_from = self._context.now

    async def _send_heartbeat(self, now: float) -> bool:
        """Send a heartbeat with what is to be published.

        :returns: False if it certainly does not arrive
        """
        published = self._to_publish()
        sent = await self._channel.send(
            LeaderHeartbeat(
                self._context.term,
                self._context.name,
                self._confirmed_timestamp(),
                self._context.confirmation_age(now),
                self._context.silence_limit_s(now),
                published,
                now,
            )
        )
        if sent and published is not None:
            self._published_count = published.number
            self._unpublished_states = {}
            self._queue_counts = None
            self._forecast = None
        return sent

    def _to_publish(self) -> PublishedStates | None:
        """Return what the next heartbeat publishes, None if nothing."""
        if (
            not self._unpublished_states
            and self._queue_counts is None
            and self._forecast is None
        ):
            return None
        return PublishedStates(
            self._context.term,
            self._unpublished_states,
            self._queue_counts,
            self._published_count + bool(self._unpublished_states),
            self._forecast,
        )

    def _confirmed_timestamp(self) -> float:
        """Return the last timestamp after which the term was confirmed."""
        verified_at = self._context.verified_at()
        while self._unconfirmed and self._unconfirmed[0][0] <= verified_at:
            _, self._granted_timestamp = self._unconfirmed.popleft()
        return self._granted_timestamp

    def _record_silence(self) -> None:
        heard_at = self._last_heartbeat_at
        if heard_at is not None and heard_at not in self._silent_since:
            self._silent_since.append(heard_at)

    async def _receive(self) -> None:
        while True:
            message = await self._channel.receive()
            if isinstance(message, MemberHeartbeat):
                await self._handle_heartbeat(message)
            else:
                await self._context.handle_message(self, message)

    async def _handle_heartbeat(self, message: MemberHeartbeat) -> None:
        if message.name != self._record.name:
            return
        if message.term > self._context.term:
            self._context.request_term_check()
            return
        if message.term == self._context.term:
            self._context.record_follower(self._record.address)
            self._context.record_answer(
                self._record.address,
                message.incarnation,
                message.leader_timestamp,
            )
        self._last_heartbeat_at = self._context.now
        if self._draining != message.draining:
            self._draining = message.draining
        if message.term == self._context.term:
            self._confirmed_version = message.assignment_version
        if message.assignment_version != self._assignment_version:
            # The member restarted, changed leaders or missed a message.
            await self._send_assignment()
        # Echoed from now on: the assignment reaches the member before the
        # grant that this renews.
        self._member_timestamp = message.timestamp
        self._unconfirmed.append((self._context.now, message.timestamp))

    async def _send_assignment(self) -> None:
        if not self._assignment_version:
            return
        await self._channel.send(
            Assign(self._context.term, self._assignment_version, self._workers)
        )

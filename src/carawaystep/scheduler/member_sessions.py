"""The leader's sessions with all members."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from carawaystep.leadership.member_record import MemberRecord
from carawaystep.scheduler.member_session import MemberSession
from carawaystep.validation.boundary_decoder import BoundaryDecoder
from carawaystep.validation.bounds import find_address_problem

if TYPE_CHECKING:
    from collections.abc import Mapping

    from carawaystep.cluster.messages import Message
    from carawaystep.planner.room_forecast import RoomForecast
    from carawaystep.scheduler.leader_context import LeaderContext
    from carawaystep.scheduler.ports import SchedulerPorts
    from carawaystep.store.row import Row
    from carawaystep.workflow.workflow_state import WorkflowState

_ADDRESS_SCHEME = "tcp://"


class MemberSessions:
    """Runs one session for each member, in a task of its own.

    Invariant: a member has one session, opened with its last stored record.
    """

    def __init__(self, ports: SchedulerPorts, context: LeaderContext) -> None:
        """Create a collection without sessions.

        :param ports: connections to members
        :param context: the leader's term, which handles their messages
        """
        self._ports = ports
        self._context = context
        self._sessions: dict[str, MemberSession] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._decoder = BoundaryDecoder[MemberRecord](MemberRecord)
        self._rejected_versions: dict[str, int] = {}
        self._errors: asyncio.Queue[Exception] = asyncio.Queue()

    @property
    def sessions(self) -> Mapping[str, MemberSession]:
        """Return the sessions by the name of the member."""
        return self._sessions

    def get(self, name: str) -> MemberSession | None:
        """Return the session with a member, None when there is none."""
        return self._sessions.get(name)

    def available(self, now: float) -> dict[str, MemberRecord]:
        """Return the members that can be assigned workers, by name.

        :param now: current time in seconds, monotonic
        """
        return {
            name: session.record
            for name, session in self._sessions.items()
            if session.available(now)
        }

    def open(self, row: Row) -> None:
        """Open a session with a member that is new or has changed.

        :param row: stored row of the member; a malformed or deleted one is
            ignored
        """
        record = self._decode(row)
        if record is None:
            return
        known = self._sessions.get(record.name)
        if known is not None and known.record == record:
            return
        if known is not None:
            self._tasks.pop(record.name).cancel()
        session = MemberSession(
            record,
            self._ports.open_member_channel(record.address),
            self._context,
        )
        self._sessions[record.name] = session
        self._tasks[record.name] = asyncio.create_task(
            self._run(session), name=f"member {record.name}"
        )

    def _decode(self, row: Row) -> MemberRecord | None:
        if row.value is None:
            return None
        decoded = self._decoder.convert(row.value)
        problem = decoded.err() or _find_problem(decoded.unwrap(), row)
        if problem:
            if row.version != self._rejected_versions.get(row.key):
                self._rejected_versions[row.key] = row.version
                self._ports.log.line(
                    "member.rejected", row.key, problem=problem
                )
            return None
        return decoded.unwrap()

    async def broadcast(self, message: Message) -> None:
        """Send a message to all members."""
        for session in self._sessions.values():
            await session.send(message)

    def publish_states(self, states: Mapping[str, WorkflowState]) -> None:
        """Send stored states to all members with the next heartbeats."""
        for session in self._sessions.values():
            session.publish_states(states)

    def publish_queue_counts(self, counts: dict[str, int]) -> None:
        """Send the queue counts to all members with the next heartbeats."""
        for session in self._sessions.values():
            session.publish_queue_counts(counts)

    def publish_forecast(self, forecast: RoomForecast) -> None:
        """Send a forecast to all members with the next heartbeats."""
        for session in self._sessions.values():
            session.publish_forecast(forecast)

    async def raise_error(self) -> None:
        """Wait for an error that ends a session, and raise it.

        The error ends the term; the next leader restarts from stored state.
        """
        raise await self._errors.get()

    def cancel(self) -> None:
        """Cancel the tasks of all sessions."""
        for task in self._tasks.values():
            task.cancel()

    async def _run(self, session: MemberSession) -> None:
        """Run a member's session and report an error that ends it."""
        try:
            await session.run()
        except Exception as error:
            self._errors.put_nowait(error)


def _find_problem(record: MemberRecord, row: Row) -> str:
    """Return what is wrong with a member's record, or an empty text."""
    if record.name != row.key:
        return f"its name is {record.name!r}"
    if not record.address.startswith(_ADDRESS_SCHEME):
        return f"address {record.address!r} does not begin with tcp://"
    return find_address_problem(record.address.removeprefix(_ADDRESS_SCHEME))

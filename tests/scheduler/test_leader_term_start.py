"""Tests of the time until a new leader reaches its members."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import msgspec
from result import Ok
from testtools import TestCase

from carawaystep.availability_zone.evacuated_zones import EvacuatedZones
from carawaystep.cluster.messages import CallReply
from carawaystep.cluster.messages import Cancel
from carawaystep.cluster.messages import QueryState
from carawaystep.cluster.messages import Submit
from carawaystep.leadership.election import Election
from carawaystep.leadership.leadership import Leadership
from carawaystep.leadership.member_record import MemberRecord
from carawaystep.routing.current_routes import CurrentRoutes
from carawaystep.scheduler import tables
from carawaystep.scheduler.leader_term import LeaderTerm
from carawaystep.scheduler.node_settings import NodeSettings
from carawaystep.scheduler.store_health import StoreHealth
from carawaystep.store.row import Row
from carawaystep.store.table_changes import TableChanges
from tests.planner.planners import RecordingLog
from tests.workflow.workflows import workflow_spec

_SETTINGS = NodeSettings("edge-1", "zone", 1.0, "tcp://127.0.0.1:1", 6.0, 0.1)
_TERM = 7
# Candidates depose a leader that they have not heard after about 0.8 s.
_GRACE_S = 0.8


class _Clock:
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def wall_now(self) -> float:
        return 0.0


class _Store:
    """Takes 1.6 s for the submissions, 1 MB on a link of 5 Mbit/s."""

    async def changes(
        self, table: str, since: int, wait_s: float = 0.0
    ) -> object:
        if table == tables.SUBMISSIONS:
            await asyncio.sleep(1.6)
        rows: tuple[Row, ...] = ()
        if table == tables.MEMBERS and not since:
            record = MemberRecord("edge-2", "tcp://127.0.0.1:2", "zone", 1.0)
            rows = (Row("edge-2", msgspec.to_builtins(record), 5, 5),)
        elif since:
            await asyncio.sleep(wait_s)
        return Ok(TableChanges(rows, 50, more=False))

    async def get(self, table: str, key: str) -> object:
        return Ok(
            None if key != tables.LEADER_KEY else Row(key, {}, _TERM, _TERM)
        )


def _new_term(log: RecordingLog, sent: asyncio.Event) -> LeaderTerm:
    """Return a term with one member.

    :param sent: set when a message was sent to the member
    """

    async def send(message: object) -> bool:
        sent.set()
        return True

    async def wait(*_: object) -> None:
        await asyncio.Event().wait()

    async def close() -> None:
        return

    ports = SimpleNamespace(
        store=_Store(),
        clock=_Clock(),
        log=log,
        open_member_channel=lambda _: SimpleNamespace(
            send=send, receive=wait, reconnect=wait, close=close
        ),
        worker_list=SimpleNamespace(table="servers"),
    )
    return LeaderTerm(
        _SETTINGS,
        ports,  # type: ignore[arg-type]
        StoreHealth(log, 0.0),
        Leadership("edge-1", 1.0, 0.0),
        Election(_TERM),
        CurrentRoutes(),
        EvacuatedZones(),
    )


class LeaderTermStartTest(TestCase):
    """Start of a term over a narrow link."""

    def test_members_are_reached_while_the_tables_are_read(self) -> None:
        """Guards against deposing each leader that reads its tables slowly."""
        self.assertTrue(asyncio.run(self._reaches_member()))

    def test_calls_are_answered_while_the_tables_are_read(self) -> None:
        """Guards against callers and heartbeats that wait for the tables.

        A member handles a call itself when the leader does not. Heartbeats
        of the member follow its calls on the same connection.
        """
        spec = workflow_spec()
        replies: list[object] = []

        async def send(message: object) -> bool:
            replies.append(message)
            return True

        async def call() -> None:
            log = RecordingLog()
            term = LeaderTerm(
                _SETTINGS,
                SimpleNamespace(  # type: ignore[arg-type]
                    store=_Store(),
                    clock=_Clock(),
                    log=log,
                    worker_list=SimpleNamespace(table="servers"),
                ),
                StoreHealth(log, 0.0),
                Leadership("edge-1", 1.0, 0.0),
                Election(_TERM),
                CurrentRoutes(),
                EvacuatedZones(),
            )
            session = SimpleNamespace(send=send)
            calls = (Submit(1, spec), Cancel(2, spec.id), QueryState(3, "b"))
            async with asyncio.timeout(0.5):
                for message in calls:
                    await term.handle_message(
                        session,  # type: ignore[arg-type]
                        message,
                    )

        asyncio.run(call())
        self.assertEqual(
            [CallReply(number, False) for number in (1, 2, 3)], replies
        )

    def test_resignation_is_not_logged_as_a_deposition(self) -> None:
        """Guards against a log that tells of an election that was not."""
        log = RecordingLog()

        async def resign() -> None:
            term = _new_term(log, asyncio.Event())
            leading = asyncio.create_task(term.run())
            await asyncio.sleep(0)
            await term.resign()
            async with asyncio.timeout(1.0):
                await leading

        asyncio.run(resign())
        self.assertEqual([("leader.resigned", "edge-1")], log.events)

    async def _reaches_member(self) -> bool:
        sent = asyncio.Event()
        leading = asyncio.create_task(_new_term(RecordingLog(), sent).run())
        try:
            async with asyncio.timeout(_GRACE_S):
                await sent.wait()
        except TimeoutError:
            return False
        finally:
            leading.cancel()
            await asyncio.gather(leading, return_exceptions=True)
        return True

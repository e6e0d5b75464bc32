"""Tests of the messages that a member gets from leaders."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING
from unittest.mock import patch

from testtools import TestCase

from carawaystep.availability_zone.evacuated_zones import EvacuatedZones
from carawaystep.cluster.messages import Assign
from carawaystep.cluster.messages import AssignedWorker
from carawaystep.cluster.messages import CallReply
from carawaystep.cluster.messages import LeaderHeartbeat
from carawaystep.cluster.messages import LeaseAges
from carawaystep.cluster.messages import MemberHeartbeat
from carawaystep.cluster.messages import Orders
from carawaystep.cluster.messages import PublishedStates
from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.leadership.leadership import Leadership
from carawaystep.planner.room_forecast import RoomForecast
from carawaystep.scheduler.member import Member
from carawaystep.scheduler.node_settings import NodeSettings
from carawaystep.workflow.workflow_state import WorkflowState
from tests.planner.planners import RecordingLog
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from carawaystep.cluster.messages import FromLeader
    from carawaystep.cluster.messages import Submit

_SETTINGS = NodeSettings("edge-1", "zone", 1.0, "tcp://127.0.0.1:1", 6.0, 0.1)
_RUNNING = "5c0e7a21d94b36f8"
_DONE = "6c0e7a21d94b36f8"
_OTHER = "7c0e7a21d94b36f8"
_STATES = {_RUNNING: WorkflowState.RUNNING, _DONE: WorkflowState.DONE}
_OTHER_STATES = {_OTHER: WorkflowState.RUNNING}


class _LeaderPort:
    """Delivers messages in order and reports when all are handled."""

    def __init__(self, messages: list[FromLeader]) -> None:
        self._messages = messages
        self.sent: list[object] = []
        self.all_handled = asyncio.Event()

    async def receive(self) -> tuple[bytes, FromLeader]:
        if not self._messages:
            self.all_handled.set()
            await asyncio.Event().wait()
        return b"leader", self._messages.pop(0)

    async def send(self, leader: bytes, message: object) -> bool:
        self.sent.append(message)
        return True


class _LateLeaderPort:
    """Delivers a reply as soon as the member has sent a call."""

    def __init__(self, reply: CallReply | None = None) -> None:
        self._reply = reply
        self._call_sent = asyncio.Event()
        self.sent: list[Submit] = []

    async def receive(self) -> tuple[bytes, FromLeader]:
        await self._call_sent.wait()
        reply, self._reply = self._reply, None
        if reply is None:
            await asyncio.Event().wait()
        return b"leader", reply  # type: ignore[return-value]

    async def send(self, leader: bytes, message: Submit) -> bool:
        self.sent.append(message)
        self._call_sent.set()
        return True


def _new_member(
    port: _LeaderPort | _LateLeaderPort,
    open_worker_link: object = None,
    log: RecordingLog | None = None,
) -> Member:
    ports = SimpleNamespace(
        clock=SimpleNamespace(now=lambda: 10.0),
        leader_port=port,
        advisor=None,
        open_worker_link=open_worker_link,
        log=log or RecordingLog(),
    )
    return Member(
        _SETTINGS,
        ports,  # type: ignore[arg-type]
        Leadership("edge-1", 1.0, 10.0),
        "new",
        EvacuatedZones(in_force=False),
    )


class CallTest(TestCase):
    """Calls to the leader."""

    def test_reply_to_a_call_before_a_restart_confirms_nothing(self) -> None:
        """Guards against a confirmed submission that is not stored.

        The leader keeps its connection to a node whose process restarts, so
        that the new process gets the replies to the calls of the old one.
        """

        async def submit(port: _LateLeaderPort) -> CallReply | None:
            member = _new_member(port)
            task = asyncio.create_task(member.run())
            reply = await member.submit(workflow_spec(), timeout_s=0.05)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return reply

        earlier = _LateLeaderPort()
        self.assertIsNone(asyncio.run(submit(earlier)))
        late_reply = CallReply(earlier.sent[0].call, True)
        self.assertIsNone(asyncio.run(submit(_LateLeaderPort(late_reply))))


class NewLeaderTest(TestCase):
    """What a member tells a new leader."""

    def test_leases_are_stated_once_before_the_first_heartbeat(self) -> None:
        """Guards against a leader that waits for leases nobody extended.

        A heartbeat proves that the member calls no worker for an earlier
        leader any more.
        """

        async def run() -> list[object]:
            heartbeats = [
                LeaderHeartbeat(term, "edge-2", 0.0, 0.0)
                for term in (5, 5, 4, 6)
            ]
            port = _LeaderPort(list(heartbeats))
            member = _new_member(port)
            with member.lease_extensions.call("w1"):
                task = asyncio.create_task(member.run())
                async with asyncio.timeout(5.0):
                    await port.all_handled.wait()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return port.sent

        sent = asyncio.run(run())
        self.assertEqual(
            [
                LeaseAges(5, {"w1": 0.0}, 0.0),
                *[MemberHeartbeat("edge-1", 5, 10.0, 0, False, 0.0, "new")]
                * 3,
                LeaseAges(6, {"w1": 0.0}, 0.0),
                MemberHeartbeat("edge-1", 6, 10.0, 0, False, 0.0, "new"),
            ],
            sent,
        )


class PublishedStatesTest(TestCase):
    """States of which the member may have missed an update."""

    def _receive(
        self, messages: list[FromLeader]
    ) -> dict[str, WorkflowState | None]:
        """Return the states that the member knows after the messages."""
        states = self._member_after(messages).published_states
        return {key: states.get(key) for key in (_RUNNING, _DONE, _OTHER)}

    @staticmethod
    def _member_after(messages: list[FromLeader]) -> Member:

        async def run() -> Member:
            port = _LeaderPort(messages)
            member = _new_member(port)
            task = asyncio.create_task(member.run())
            async with asyncio.timeout(5.0):
                await port.all_handled.wait()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return member

        return asyncio.run(run())

    def test_forecast_of_the_current_leader_is_known(self) -> None:
        """Guards against a forecast that no node uses, or of another term."""
        forecast = RoomForecast(90.0)
        published = PublishedStates(5, {}, forecast=forecast)
        first = LeaderHeartbeat(
            5, "edge-2", 9.5, 0.1, published=published, timestamp=90.5
        )
        for later, expected in (
            ([], (forecast, 1.0)),
            ([LeaderHeartbeat(6, "edge-3", 9.9, 0.1)], None),
        ):
            member = self._member_after([first, *later])
            self.assertEqual(expected, member.admission.forecast.current(10.0))

    def test_new_leader_ends_the_use_of_states_that_are_not_final(
        self,
    ) -> None:
        """Guards against a settled workflow that is shown as running.

        The earlier leader failed between the commit of the final state and
        its publication; a leader publishes only the changes of its own term.
        """
        known = self._receive(
            [
                LeaderHeartbeat(5, "edge-2", 9.9, 0.1),
                PublishedStates(5, _STATES, number=1),
                LeaderHeartbeat(6, "edge-3", 9.9, 0.1),
            ]
        )
        self.assertEqual(
            {_RUNNING: None, _DONE: WorkflowState.DONE, _OTHER: None}, known
        )

    def test_lost_message_ends_the_use_of_states_that_are_not_final(
        self,
    ) -> None:
        """Guards against a cancelled workflow that is shown as running.

        Messages to a member are lost when its connection is replaced. The
        next states show it, and so do the queue counts, which follow even
        if no state changes any more.
        """
        for later in (
            PublishedStates(5, {}, {}, number=2),
            PublishedStates(5, _OTHER_STATES, number=3),
        ):
            known = self._receive(
                [
                    LeaderHeartbeat(5, "edge-2", 9.9, 0.1),
                    PublishedStates(5, _STATES, number=1),
                    later,
                ]
            )
            self.assertEqual(
                (None, WorkflowState.DONE, later.states.get(_OTHER)),
                (known[_RUNNING], known[_DONE], known[_OTHER]),
            )

    def test_complete_messages_keep_the_states(self) -> None:
        """Guards against asking the leader for states that are up to date."""
        known = self._receive(
            [
                LeaderHeartbeat(5, "edge-2", 9.9, 0.1),
                PublishedStates(5, {}, {}, number=0),
                PublishedStates(5, _STATES, number=1),
                LeaderHeartbeat(5, "edge-2", 9.9, 0.1),
                PublishedStates(5, {}, {}, number=1),
                PublishedStates(5, _OTHER_STATES, number=2),
                PublishedStates(5, {}, {}, number=1),
            ]
        )
        self.assertEqual({**_STATES, **_OTHER_STATES}, known)


class _BrokenLink:
    """Link on which a poll raises an unexpected error."""

    async def fetch_report(self, *_: object) -> None:
        raise IndexError("list index out of range")

    async def close(self) -> None:
        return


class _SilentLink:
    """Link to a worker that does not answer."""

    async def fetch_report(self, *_: object) -> None:
        await asyncio.Event().wait()

    async def close(self) -> None:
        return


class ProxyFailureTest(TestCase):
    """An unexpected error in the calls to a worker."""

    def test_proxy_that_failed_is_replaced(self) -> None:
        """Guards against a worker that nobody calls for the rest of a term.

        The leader does not assign it anew, because the assignment is as it
        was.
        """
        key = WorkerKey("w1", 1)
        links: list[_BrokenLink | _SilentLink] = []
        log = RecordingLog()

        async def run() -> None:
            reopened = asyncio.Event()

            def open_link(*_: object) -> _BrokenLink | _SilentLink:
                links.append(_SilentLink() if links else _BrokenLink())
                if len(links) > 1:
                    reopened.set()
                return links[-1]

            port = _LeaderPort(
                [
                    LeaderHeartbeat(5, "edge-2", 9.9, 0.1),
                    Assign(5, 1, [AssignedWorker(key, "127.0.0.1:1")]),
                ]
            )
            member = _new_member(port, open_link, log)
            task = asyncio.create_task(member.run())
            async with asyncio.timeout(2.0):
                await reopened.wait()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        with patch(
            "carawaystep.scheduler.member._PROXY_RESTART_DELAY_S", 0.01
        ):
            asyncio.run(run())
        self.assertEqual(2, len(links))
        self.assertIn(("proxy.failed", "w1"), log.events)
        self.assertIn("IndexError", str(log.fields["proxy.failed"]["detail"]))


class EarlierLeaderTest(TestCase):
    """Messages around a change of the leader."""

    def test_orders_of_another_term_are_not_executed(self) -> None:
        """Guards against orders of two leaders that both believe to lead."""
        port = _LeaderPort(
            [
                LeaderHeartbeat(5, "edge-2", 0.0, 0.0),
                Orders(4, []),
                Orders(6, []),
                Orders(5, []),
            ]
        )

        async def run() -> list[int]:
            member = _new_member(port)
            with patch.object(member, "_forward_orders") as forward:
                task = asyncio.create_task(member.run())
                await port.all_handled.wait()
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
            return [call.args[0].term for call in forward.mock_calls]

        self.assertEqual([5], asyncio.run(run()))

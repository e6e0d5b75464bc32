"""Tests of orders on their way to the workers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest.mock import create_autospec

from testtools import TestCase

from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.order import StopOrder
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.planner.planner import Planner
from carawaystep.scheduler.member_session import MemberSession
from carawaystep.scheduler.member_sessions import MemberSessions
from carawaystep.scheduler.order_dispatcher import OrderDispatcher
from carawaystep.scheduler.worker_assignments import WorkerAssignments
from carawaystep.workflow.task_ref import TaskRef
from tests.planner.planners import RecordingLog

if TYPE_CHECKING:
    from carawaystep.cluster.messages import Orders

_TERM = 7
_WORKER = WorkerKey("w1", 1)
_STOP = StopOrder(_WORKER, TaskRef("a" * 16, 0, 0, 0), 1)
_START = StartOrder(_WORKER, TaskRef("b" * 16, 0, 0, 0), 1, "")


class OrderDispatcherTest(TestCase):
    """Outcomes of orders that are sent, lost and withdrawn."""

    def setUp(self) -> None:
        """Create a dispatcher whose only worker is called by one member."""
        super().setUp()
        self.planner = create_autospec(Planner, instance=True)
        self.session = create_autospec(MemberSession, instance=True)
        self.session.member_timestamp = 0.0
        self.session.send.return_value = True
        sessions = create_autospec(MemberSessions, instance=True)
        sessions.get = {"edge-1": self.session}.get
        assignments = create_autospec(WorkerAssignments, instance=True)
        assignments.member_name = lambda key: {_WORKER: "edge-1"}.get(key, "")
        self.plan_requested = asyncio.Event()
        self.log = RecordingLog()
        self.dispatcher = OrderDispatcher(
            _TERM,
            self.planner,
            sessions,
            assignments,
            self.plan_requested,
            self.log,
        )

    def test_result_is_passed_on_once(self) -> None:
        """Guards against two outcomes of one order."""
        asyncio.run(self.dispatcher.dispatch([_STOP], 1.0))
        (numbered,) = self._sent().orders
        for outcome in (OrderOutcome.DONE, OrderOutcome.FENCED):
            self.dispatcher.apply_result(numbered.number, outcome, 1.1)
        self.dispatcher.expire(9.0)
        self.planner.handle_order_outcome.assert_called_once_with(
            _STOP, OrderOutcome.DONE, 1.1
        )
        self.assertEqual([], self.log.events)

    def test_order_without_a_result_in_time_is_unknown(self) -> None:
        """Guards against an order that waits for a lost result."""
        asyncio.run(self.dispatcher.dispatch([_STOP], 1.0))
        self.dispatcher.expire(2.5)
        self.planner.handle_order_outcome.assert_not_called()
        self.dispatcher.expire(2.6)
        self.planner.handle_order_outcome.assert_called_once_with(
            _STOP, OrderOutcome.UNKNOWN, 2.6
        )
        self.assertEqual([("order.failed", str(_STOP.ref))], self.log.events)

    def test_order_that_cannot_be_sent_is_not_sent(self) -> None:
        """Guards against a wait for an order that never left the leader."""
        elsewhere = StopOrder(WorkerKey("w2", 1), _STOP.ref, 1)
        self.session.send.return_value = False
        asyncio.run(self.dispatcher.dispatch([_STOP, elsewhere], 1.0))
        self.assertEqual(
            [
                (_STOP, OrderOutcome.NOT_SENT, 1.0),
                (elsewhere, OrderOutcome.NOT_SENT, 1.0),
            ],
            [c.args for c in self.planner.handle_order_outcome.mock_calls],
        )
        self.assertTrue(self.plan_requested.is_set())

    def test_obsolete_start_of_a_stored_batch_is_withdrawn(self) -> None:
        """Guards against the start of a run that was given up meanwhile."""
        self.planner.should_send.return_value = False
        asyncio.run(self.dispatcher.dispatch_stored([_START, _STOP], 1.0))
        self.planner.withdraw_start.assert_called_once_with(_START)
        self.assertEqual([_STOP], [n.order for n in self._sent().orders])
        self.assertTrue(self.plan_requested.is_set())

    def _sent(self) -> Orders:
        """Return the only message to the member."""
        (call,) = self.session.send.mock_calls
        (message,) = call.args
        self.assertEqual(_TERM, message.term)
        return message  # type: ignore[no-any-return]

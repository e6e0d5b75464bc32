"""End-to-end tests with faults of the store and the workers."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.scheduler.member import WORKER_LEASE_S
from carawaystep_platform.settings import load_settings
from tests.users_platform.deployment import encode_value
from tests.users_platform.scenario import count_starts_by_task
from tests.users_platform.scenario import run_scenario
from tests.users_platform.scenario import SUBMISSION_BODY
from tests.users_platform.scenario import SUBMISSION_PATH
from tests.users_platform.scenario import wait_for_condition
from tests.users_platform.scenario import wait_for_state
from tests.users_platform.store_fault import StoreFault

if TYPE_CHECKING:
    from tests.users_platform.deployment import Deployment
    from tests.users_platform.deployment import Node

_TASK_COUNT = 4
# The leader replaces the connection to a member that is silent for 1 s.
_PAUSE_S = 1.5
_ONE_TASK_BODY = {"spec": "", "steps": [{"count": 1, "cpu": 500}]}


def _leader(deployment: Deployment) -> Node:
    return next(node for node in deployment.nodes if node.was_elected)


class StoreFaultsTest(TestCase):
    """Submissions during temporary faults of the store."""

    def _assert_each_ran_once(self, deployment: Deployment) -> None:
        runs = count_starts_by_task(deployment)
        self.assertEqual({1}, set(runs.values()))
        self.assertEqual(_TASK_COUNT, len(runs))

    def _assert_survives_fault(self, fault: StoreFault) -> None:
        """Submit during a fault and repeat the call until it is accepted."""

        async def scenario(deployment: Deployment) -> None:
            deployment.store.default_fault = fault
            first = await deployment.nodes[0].call(
                "POST", SUBMISSION_PATH, SUBMISSION_BODY
            )
            self.assertIn(first.status, (200, 503, 504))
            deployment.store.default_fault = StoreFault.NONE
            async with asyncio.timeout(10):
                while True:
                    again = await deployment.nodes[1].call(
                        "POST", SUBMISSION_PATH, SUBMISSION_BODY
                    )
                    if again.status == 200:
                        break
                    await asyncio.sleep(0.2)
            await wait_for_state(deployment.nodes[1], "completed")

        self._assert_each_ran_once(run_scenario(scenario))

    def test_refusing_store(self) -> None:
        """Guards against a submission that is lost while the store refuses."""
        self._assert_survives_fault(StoreFault.REFUSE)

    def test_busy_store(self) -> None:
        """Guards against treating 429 as unknown or as success."""
        self._assert_survives_fault(StoreFault.BUSY)

    def test_silent_store(self) -> None:
        """Guards against calls without a timeout."""
        self._assert_survives_fault(StoreFault.SILENT)

    def test_store_that_closes_connections(self) -> None:
        """Guards against accepting a truncated response."""
        self._assert_survives_fault(StoreFault.RESET)

    def test_store_that_loses_answers(self) -> None:
        """Guards against a transaction that is applied twice."""
        self._assert_survives_fault(StoreFault.LOSE_ANSWER)

    def test_store_that_applies_late(self) -> None:
        """Guards against a delayed transaction that undoes a newer one."""
        self._assert_survives_fault(StoreFault.LATE)

    def test_node_without_store_accepts_through_the_leader(self) -> None:
        """Guards against 503 although the leader can store submissions."""

        async def scenario(deployment: Deployment) -> None:
            node = next(n for n in deployment.nodes if not n.was_elected)
            deployment.store.faults_by_node[node.name] = StoreFault.REFUSE
            await asyncio.sleep(1.5)
            answer = await node.call("POST", SUBMISSION_PATH, SUBMISSION_BODY)
            self.assertEqual(200, answer.status)
            await wait_for_state(node, "completed")

        self._assert_each_ran_once(run_scenario(scenario))

    def test_leader_without_store_is_replaced(self) -> None:
        """Guards against a leader that stays although it cannot commit."""

        async def scenario(deployment: Deployment) -> None:
            leader = _leader(deployment)
            deployment.store.faults_by_node[leader.name] = StoreFault.SILENT
            other = next(n for n in deployment.nodes if n is not leader)
            await wait_for_condition(lambda: other.was_elected)
            await asyncio.sleep(0.5)
            answer = await leader.call(
                "POST", SUBMISSION_PATH, SUBMISSION_BODY
            )
            self.assertEqual(200, answer.status)
            await wait_for_state(leader, "completed")

        self._assert_each_ran_once(run_scenario(scenario))

    def test_cancellation_is_not_confirmed_by_an_earlier_commit(self) -> None:
        """Guards against confirming a cancellation that is not stored.

        It arrives while a commit of the same workflow is in progress, and
        no later commit succeeds.
        """

        async def scenario(deployment: Deployment) -> None:
            (node,) = deployment.nodes
            deployment.store.commit_answer_delay_s = 0.3
            async with asyncio.TaskGroup() as group:
                submission = group.create_task(
                    node.call("POST", SUBMISSION_PATH, SUBMISSION_BODY)
                )
                await asyncio.sleep(0.1)
                cancellation = group.create_task(
                    node.call("DELETE", SUBMISSION_PATH)
                )
                await asyncio.sleep(0.1)
                fault = StoreFault.SILENT
                deployment.store.faults_by_node[node.name] = fault
            self.assertEqual(200, submission.result().status)
            self.assertEqual(504, cancellation.result().status)

        run_scenario(scenario, nodes=1)

    def test_discarded_history_loses_no_worker(self) -> None:
        """Guards against a change feed that stops after status 410."""

        async def scenario(deployment: Deployment) -> None:
            deployment.store.drop_history()
            for worker in deployment.workers:
                worker.restart()
                await deployment.register_worker(worker)
            await asyncio.sleep(0.5)
            await deployment.nodes[0].call(
                "POST", SUBMISSION_PATH, SUBMISSION_BODY
            )
            await wait_for_state(deployment.nodes[0], "completed")

        self._assert_each_ran_once(run_scenario(scenario))


class WorkerFaultsTest(TestCase):
    """Tasks during faults of workers."""

    def test_worker_that_restarts_with_its_id(self) -> None:
        """Guards against waiting for runs of an earlier lifetime."""

        async def scenario(deployment: Deployment) -> None:
            (worker,) = deployment.workers
            await deployment.nodes[0].call(
                "POST", SUBMISSION_PATH, _ONE_TASK_BODY
            )
            await wait_for_condition(lambda: bool(worker.started))
            worker.restart()
            await deployment.register_worker(worker)
            await wait_for_state(deployment.nodes[0], "completed")

        deployment = run_scenario(scenario, workers=1, run_s=1.0)
        self.assertEqual(2, len(deployment.workers[0].started))

    def test_start_for_an_earlier_lifetime_extends_no_lease(self) -> None:
        """Guards against a lease that outlasts the leader's wait for it.

        A start that is carried out late has a deadline on the clock of the
        earlier lifetime, which is far ahead. A task that the new lifetime was
        given ran on there after it had been started elsewhere.
        """

        async def scenario(deployment: Deployment) -> None:
            (worker,) = deployment.workers
            worker.delay_starts = True
            await deployment.nodes[0].call(
                "POST", SUBMISSION_PATH, _ONE_TASK_BODY
            )
            await asyncio.sleep(0.4)
            worker.delay_starts = False
            worker.restart()
            await deployment.register_worker(worker)
            await asyncio.sleep(1.2)
            lease_s = worker.lease_ends_at - time.monotonic()
            self.assertLess(lease_s, WORKER_LEASE_S + 0.5)
            await wait_for_state(deployment.nodes[0], "completed")

        deployment = run_scenario(scenario, workers=1)
        self.assertEqual(1, len(deployment.workers[0].done))

    def test_starts_that_are_carried_out_late(self) -> None:
        """Guards against a delayed start beside the one that replaced it."""

        async def scenario(deployment: Deployment) -> None:
            deployment.workers[0].delay_starts = True
            await deployment.nodes[0].call(
                "POST", SUBMISSION_PATH, _ONE_TASK_BODY
            )
            await asyncio.sleep(3.0)
            deployment.workers[0].delay_starts = False
            await wait_for_state(deployment.nodes[0], "completed")

        deployment = run_scenario(scenario, run_s=1.5)
        started = [r for w in deployment.workers for r in w.started]
        done = [r for w in deployment.workers for r in w.done]
        self.assertEqual(1, len(done), (started, done))
        self.assertEqual(
            1, max(worker.max_concurrent_runs for worker in deployment.workers)
        )

    def test_worker_that_fails_all_tasks_does_not_fail_a_workflow(
        self,
    ) -> None:
        """Guards against one faulty worker that uses up all attempts."""

        async def scenario(deployment: Deployment) -> None:
            deployment.workers[0].fail_all_tasks = True
            await deployment.nodes[0].call(
                "POST", SUBMISSION_PATH, SUBMISSION_BODY
            )
            await wait_for_state(deployment.nodes[0], "completed")

        run_scenario(scenario, workers=3)

    def test_unhealthy_worker_is_avoided(self) -> None:
        """Guards against a task that waits for a worker that answers 503."""

        async def scenario(deployment: Deployment) -> None:
            deployment.workers[0].unhealthy = True
            await deployment.nodes[0].call(
                "POST", SUBMISSION_PATH, SUBMISSION_BODY
            )
            await wait_for_state(deployment.nodes[0], "completed")

        deployment = run_scenario(scenario)
        self.assertEqual([], deployment.workers[0].started)


class BadInputTest(TestCase):
    """Invalid input from callers, other writers and settings files."""

    def test_invalid_bodies_are_rejected_and_logged_once(self) -> None:
        """Guards against invalid input that is accepted or stops the node."""

        async def scenario(deployment: Deployment) -> None:
            node = deployment.nodes[0]
            for body in ("{", {"steps": "x"}, {"spec": "", "steps": []}, 7):
                answer = await node.call("POST", SUBMISSION_PATH, body)
                self.assertEqual(400, answer.status)
                self.assertIn("error", json.loads(answer.body))
            lines = [e for e, _ in node.log.events if "malformed" in e]
            self.assertEqual(4, len(lines))
            large = {"spec": "x" * 300_000, "steps": []}
            answer = await node.call("POST", SUBMISSION_PATH, large)
            self.assertEqual(413, answer.status)
            status = await asyncio.to_thread(
                _send_raw, node.port, b"\0\1 / x\r\n\r\n"
            )
            self.assertIn(b" 400 ", status)
            slow = (
                f"POST {SUBMISSION_PATH} HTTP/1.1\r\nHost: desk.example\r\n"
                "Content-Length: 50\r\n\r\n{"
            )
            status = await asyncio.to_thread(
                _send_raw, node.port, slow.encode()
            )
            self.assertIn(b" 408 ", status)
            await node.call("POST", SUBMISSION_PATH, SUBMISSION_BODY)
            await wait_for_state(node, "completed")

        run_scenario(scenario)

    def test_invalid_rows_of_other_writers_are_skipped(self) -> None:
        """Guards against rows of other writers that stop a node."""

        async def scenario(deployment: Deployment) -> None:
            store = deployment.store
            for value in ("!", encode_value(7), encode_value({"service": 1})):
                await store.put("servers", f"i-{len(value)}", value)
                await store.put("op", "other", value)
                await store.put("op", "config", value)
            await asyncio.sleep(0.5)
            await deployment.nodes[0].call(
                "POST", SUBMISSION_PATH, SUBMISSION_BODY
            )
            await wait_for_state(deployment.nodes[0], "completed")

        run_scenario(scenario)

    def test_missing_settings_file_returns_an_error(self) -> None:
        """Guards against a process that starts without its settings."""
        missing = load_settings("/nonexistent/settings.toml")
        self.assertIn("cannot be read", missing.unwrap_err())


def _send_raw(port: int, data: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=8) as client:
        client.sendall(data)
        return client.recv(4096)


class PausedProcessesTest(TestCase):
    """Processes that all pause, such as on an overloaded machine."""

    def test_members_are_called_again_after_a_pause(self) -> None:
        """Guards against members that the leader hears no more.

        Their workers get no orders until another process leads.
        """

        async def scenario(deployment: Deployment) -> None:
            # All nodes share the event loop that this blocks.
            time.sleep(_PAUSE_S)  # noqa: ASYNC251
            await self._submit(deployment.nodes[0])
            await wait_for_state(deployment.nodes[0], "completed", limit_s=5.0)

        run_scenario(scenario, run_s=0.2)

    @staticmethod
    async def _submit(node: Node) -> None:
        async with asyncio.timeout(5.0):
            while True:
                answer = await node.call(
                    "POST", SUBMISSION_PATH, SUBMISSION_BODY
                )
                if answer.status == 200:
                    return
                await asyncio.sleep(0.1)

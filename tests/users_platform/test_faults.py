"""The whole path while the store or workers misbehave."""

from __future__ import annotations

import asyncio
import json
import socket
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep_platform.settings import load_settings
from tests.users_platform.deployment import encoded
from tests.users_platform.scenario import BODY
from tests.users_platform.scenario import PATH
from tests.users_platform.scenario import play
from tests.users_platform.scenario import starts_by_task
from tests.users_platform.scenario import until
from tests.users_platform.scenario import wait_for
from tests.users_platform.store_fault import StoreFault

if TYPE_CHECKING:
    from tests.users_platform.deployment import Deployment
    from tests.users_platform.deployment import Node

_TASKS = 4
_ONE = {"spec": "", "steps": [{"count": 1, "cpu": 500}]}


def _leader(deployment: Deployment) -> Node:
    return next(node for node in deployment.nodes if node.leads)


class StoreFaultsTest(TestCase):
    """Submissions while the store misbehaves for a while."""

    def _assert_each_ran_once(self, deployment: Deployment) -> None:
        runs = starts_by_task(deployment)
        self.assertEqual({1}, set(runs.values()))
        self.assertEqual(_TASKS, len(runs))

    def _outage(self, fault: StoreFault) -> None:
        async def scenario(deployment: Deployment) -> None:
            deployment.store.fault = fault
            first = await deployment.nodes[0].call("POST", PATH, BODY)
            self.assertIn(first.status, (200, 503, 504))
            deployment.store.fault = StoreFault.NONE
            async with asyncio.timeout(10):
                while True:
                    again = await deployment.nodes[1].call("POST", PATH, BODY)
                    if again.status == 200:
                        break
                    await asyncio.sleep(0.2)
            await until(deployment.nodes[1], "completed")

        self._assert_each_ran_once(play(scenario))

    def test_refusing_store(self) -> None:
        """Guards against a submission that is lost in an outage."""
        self._outage(StoreFault.REFUSE)

    def test_busy_store(self) -> None:
        """Guards against taking 429 for an open outcome or a success."""
        self._outage(StoreFault.BUSY)

    def test_silent_store(self) -> None:
        """Guards against calls that wait for an answer for ever."""
        self._outage(StoreFault.SILENT)

    def test_store_that_closes_connections(self) -> None:
        """Guards against a truncated answer that is taken for whole."""
        self._outage(StoreFault.RESET)

    def test_store_that_loses_answers(self) -> None:
        """Guards against a transaction that is applied twice."""
        self._outage(StoreFault.LOSE_ANSWER)

    def test_store_that_carries_out_late(self) -> None:
        """Guards against an old transaction that undoes a newer one."""
        self._outage(StoreFault.LATE)

    def test_node_that_the_store_turns_away_serves_on(self) -> None:
        """Guards against 503 where the leader could store for the node."""

        async def scenario(deployment: Deployment) -> None:
            node = next(n for n in deployment.nodes if not n.leads)
            deployment.store.faults[node.name] = StoreFault.REFUSE
            await asyncio.sleep(1.5)
            answer = await node.call("POST", PATH, BODY)
            self.assertEqual(200, answer.status)
            await until(node, "completed")

        self._assert_each_ran_once(play(scenario))

    def test_leader_that_the_store_turns_away_is_replaced(self) -> None:
        """Guards against a leader that can store nothing and stays."""

        async def scenario(deployment: Deployment) -> None:
            leader = _leader(deployment)
            deployment.store.faults[leader.name] = StoreFault.SILENT
            other = next(n for n in deployment.nodes if n is not leader)
            await wait_for(lambda: other.leads)
            await asyncio.sleep(0.5)
            answer = await leader.call("POST", PATH, BODY)
            self.assertEqual(200, answer.status)
            await until(leader, "completed")

        self._assert_each_ran_once(play(scenario))

    def test_forgotten_history_loses_no_worker(self) -> None:
        """Guards against a feed that ends when its history is gone."""

        async def scenario(deployment: Deployment) -> None:
            deployment.store.forget()
            for worker in deployment.workers:
                worker.restart()
                await deployment.list_worker(worker)
            await asyncio.sleep(0.5)
            await deployment.nodes[0].call("POST", PATH, BODY)
            await until(deployment.nodes[0], "completed")

        self._assert_each_ran_once(play(scenario))


class WorkerFaultsTest(TestCase):
    """Tasks while workers misbehave."""

    def test_worker_that_restarts_under_its_id(self) -> None:
        """Guards against waiting for runs that a new lifetime forgot."""

        async def scenario(deployment: Deployment) -> None:
            (worker,) = deployment.workers
            await deployment.nodes[0].call("POST", PATH, _ONE)
            await wait_for(lambda: bool(worker.started))
            worker.restart()
            await deployment.list_worker(worker)
            await until(deployment.nodes[0], "completed")

        deployment = play(scenario, workers=1, run_s=1.0)
        self.assertEqual(2, len(deployment.workers[0].started))

    def test_starts_that_are_carried_out_late(self) -> None:
        """Guards against a late start beside the one that replaced it."""

        async def scenario(deployment: Deployment) -> None:
            deployment.workers[0].late_starts = True
            await deployment.nodes[0].call("POST", PATH, _ONE)
            await asyncio.sleep(3.0)
            deployment.workers[0].late_starts = False
            await until(deployment.nodes[0], "completed")

        deployment = play(scenario, run_s=1.5)
        begun = [r for w in deployment.workers for r in w.started]
        done = [r for w in deployment.workers for r in w.done]
        self.assertEqual(1, len(done), (begun, done))
        self.assertEqual(
            1, max(worker.at_once_most for worker in deployment.workers)
        )

    def test_worker_that_fails_everything_does_not_fail_a_workflow(
        self,
    ) -> None:
        """Guards against a bad worker that uses up all attempts."""

        async def scenario(deployment: Deployment) -> None:
            deployment.workers[0].fail_all = True
            await deployment.nodes[0].call("POST", PATH, BODY)
            await until(deployment.nodes[0], "completed")

        play(scenario, workers=3)

    def test_unhealthy_worker_is_passed_over(self) -> None:
        """Guards against a task that waits for a worker that refuses."""

        async def scenario(deployment: Deployment) -> None:
            deployment.workers[0].unhealthy = True
            await deployment.nodes[0].call("POST", PATH, BODY)
            await until(deployment.nodes[0], "completed")

        deployment = play(scenario)
        self.assertEqual([], deployment.workers[0].started)


class BadInputTest(TestCase):
    """Input that nobody should send, on the whole path."""

    def test_bad_bodies_have_clear_answers_and_one_line_each(self) -> None:
        """Guards against bad input that ends the process or is accepted."""

        async def scenario(deployment: Deployment) -> None:
            node = deployment.nodes[0]
            for body in ("{", {"steps": "x"}, {"spec": "", "steps": []}, 7):
                answer = await node.call("POST", PATH, body)
                self.assertEqual(400, answer.status)
                self.assertIn("error", json.loads(answer.body))
            lines = [e for e, _ in node.log.events if "malformed" in e]
            self.assertEqual(4, len(lines))
            large = {"spec": "x" * 300_000, "steps": []}
            answer = await node.call("POST", PATH, large)
            self.assertEqual(413, answer.status)
            status = await asyncio.to_thread(
                _raw, node.port, b"\0\1 / x\r\n\r\n"
            )
            self.assertIn(b" 400 ", status)
            slow = (
                f"POST {PATH} HTTP/1.1\r\nHost: desk.example\r\n"
                "Content-Length: 50\r\n\r\n{"
            )
            status = await asyncio.to_thread(_raw, node.port, slow.encode())
            self.assertIn(b" 408 ", status)
            await node.call("POST", PATH, BODY)
            await until(node, "completed")

        play(scenario)

    def test_foreign_rows_are_passed_over(self) -> None:
        """Guards against rows of other writers that stop a process."""

        async def scenario(deployment: Deployment) -> None:
            store = deployment.store
            for value in ("!", encoded(7), encoded({"service": 1})):
                await store.put("servers", f"i-{len(value)}", value)
                await store.put("op", "other", value)
                await store.put("op", "config", value)
            await asyncio.sleep(0.5)
            await deployment.nodes[0].call("POST", PATH, BODY)
            await until(deployment.nodes[0], "completed")

        play(scenario)

    def test_unreadable_settings_say_what_is_wrong(self) -> None:
        """Guards against a process that starts with half its settings."""
        missing = load_settings("/nonexistent/settings.toml")
        self.assertIn("cannot be read", missing.unwrap_err())


def _raw(port: int, data: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=8) as client:
        client.sendall(data)
        return client.recv(4096)

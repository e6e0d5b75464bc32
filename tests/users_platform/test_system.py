"""The whole path through the real adapter and the stand-ins."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from testtools import TestCase

from tests.users_platform.scenario import BODY
from tests.users_platform.scenario import ID
from tests.users_platform.scenario import PATH
from tests.users_platform.scenario import play
from tests.users_platform.scenario import starts_by_task
from tests.users_platform.scenario import until
from tests.users_platform.store_fault import StoreFault

if TYPE_CHECKING:
    from tests.users_platform.deployment import Deployment


class SystemTest(TestCase):
    """Submissions from acceptance to their end."""

    def _assert_each_ran_once(self, deployment: Deployment) -> None:
        runs = starts_by_task(deployment)
        self.assertEqual({1}, set(runs.values()))
        self.assertEqual(4, len(runs))

    def test_submission_is_completed_through_any_node(self) -> None:
        """Guards against a break anywhere on the path."""

        async def scenario(deployment: Deployment) -> None:
            first, second = deployment.nodes
            answer = await first.call("POST", PATH, BODY)
            self.assertEqual(200, answer.status)
            await until(second, "completed")
            again = await second.call("POST", PATH, BODY)
            self.assertEqual(200, again.status)
            counts = await first.call("GET", "/bookings/")
            self.assertEqual({"queued_count": 0}, json.loads(counts.body))

        self._assert_each_ran_once(play(scenario))

    def test_unknown_places_have_their_own_answers(self) -> None:
        """Guards against 410 for a queue and 404 for a submission."""

        async def scenario(deployment: Deployment) -> None:
            node = deployment.nodes[0]
            statuses = [
                (await node.call("GET", path)).status
                for path in ("/other/", "/bookings/xyz", PATH)
            ]
            self.assertEqual([404, 404, 410], statuses)
            bad = await node.call("POST", PATH, {"spec": 3})
            self.assertEqual(400, bad.status)

        play(scenario)

    def test_answer_lost_by_the_store_starts_nothing_twice(self) -> None:
        """Guards against a commit that is applied twice after a time-out."""

        async def scenario(deployment: Deployment) -> None:
            deployment.store.lose_next = 2
            answer = await deployment.nodes[0].call("POST", PATH, BODY)
            if answer.status != 200:
                self.assertEqual(504, answer.status)
                answer = await deployment.nodes[1].call("POST", PATH, BODY)
            await until(deployment.nodes[1], "completed")

        self._assert_each_ran_once(play(scenario))

    def test_refused_submission_never_runs(self) -> None:
        """Guards against 503 for a submission that was stored."""

        async def scenario(deployment: Deployment) -> None:
            deployment.store.fault = StoreFault.REFUSE
            await asyncio.sleep(1.5)
            answer = await deployment.nodes[0].call("POST", PATH, BODY)
            self.assertEqual(503, answer.status)
            self.assertEqual("1", answer.headers["retry-after"])
            deployment.store.fault = StoreFault.NONE
            await asyncio.sleep(2.0)

        deployment = play(scenario)
        self.assertEqual(
            [], [w.started for w in deployment.workers if w.started]
        )

    def test_next_leader_takes_over_running_work(self) -> None:
        """Guards against work that runs twice or stalls with its leader."""

        async def scenario(deployment: Deployment) -> None:
            leader, other = sorted(
                deployment.nodes, key=lambda node: not node.leads
            )
            answer = await other.call("POST", PATH, BODY)
            self.assertEqual(200, answer.status)
            await asyncio.sleep(0.3)
            await leader.stop()
            deployment.nodes.remove(leader)
            await until(other, "completed")

        self._assert_each_ran_once(play(scenario, run_s=2.0))

    def test_unanswered_starts_run_once_at_a_time(self) -> None:
        """Guards against a second run beside one whose answer was lost."""

        async def scenario(deployment: Deployment) -> None:
            (worker,) = deployment.workers
            worker.hang_starts = True
            body = {"spec": "", "steps": [{"count": 1, "cpu": 500}]}
            await deployment.nodes[0].call("POST", PATH, body)
            await asyncio.sleep(2.0)
            worker.hang_starts = False
            await until(deployment.nodes[0], "completed")

        deployment = play(scenario, workers=1, run_s=1.0)
        self.assertEqual(1, deployment.workers[0].at_once_most)

    def test_cancelled_submission_stops(self) -> None:
        """Guards against runs after a confirmed cancellation."""

        async def scenario(deployment: Deployment) -> None:
            node = deployment.nodes[0]
            await node.call("POST", PATH, BODY)
            await asyncio.sleep(0.3)
            answer = await node.call("DELETE", PATH)
            self.assertEqual(200, answer.status)
            await until(node, "cancelled")
            gone = await node.call("DELETE", "/bookings/" + "0" * 16)
            self.assertEqual(410, gone.status)

        deployment = play(scenario, run_s=30.0)
        self.assertEqual(
            3, sum(len(worker.started) for worker in deployment.workers)
        )

    def test_queue_with_tickets_is_served_by_allowed_workers(self) -> None:
        """Guards against starts without a ticket or on other workers."""
        path = f"/advised/{ID}"

        async def scenario(deployment: Deployment) -> None:
            placement = deployment.placement
            placement.allowed = {"i-1"}
            placement.refuse_next = 1
            for worker in deployment.workers:
                worker.placement = placement
            answer = await deployment.nodes[0].call("POST", path, BODY)
            self.assertEqual(200, answer.status)
            await until(deployment.nodes[1], "completed", path)

        deployment = play(scenario, workers=3)
        self._assert_each_ran_once(deployment)
        self.assertEqual(
            [0, 4, 0], [len(worker.started) for worker in deployment.workers]
        )

"""End-to-end tests of the adapter with stand-ins of the platform."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import msgspec
from testtools import TestCase

from carawaystep.scheduler import tables
from carawaystep.workflow.step_spec import StepSpec
from tests.users_platform.deployment import encode_value
from tests.users_platform.deployment import STORE_PARTITION
from tests.users_platform.scenario import count_starts_by_task
from tests.users_platform.scenario import run_scenario
from tests.users_platform.scenario import SUBMISSION_BODY
from tests.users_platform.scenario import SUBMISSION_ID
from tests.users_platform.scenario import SUBMISSION_PATH
from tests.users_platform.scenario import wait_for_condition
from tests.users_platform.scenario import wait_for_state
from tests.users_platform.store_fault import StoreFault
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from tests.users_platform.deployment import Deployment

_SPEC = workflow_spec(StepSpec(2, cpu_millis=500, memory_mb=10))


_WIDE_SUBMISSION = {
    "spec": "text",
    "steps": [{"count": 60, "cpu": 60, "mem_mb": 10}],
}
_OTHER_PATH = f"/bookings/{'a' * 16}"


def _progress_keys(deployment: Deployment) -> list[str]:
    """Return the keys of all stored rows of progress."""
    return [
        key
        for (table, _, key), (value, _) in deployment.store.rows.items()
        if table == tables.PROGRESS and value is not None
    ]


class SystemTest(TestCase):
    """Submissions from their acceptance to their end."""

    def _assert_never_starts(
        self, values: dict[str, object], lagging_table: str
    ) -> None:
        """Store rows of a workflow in order and wait until it is cancelled.

        :param values: values of the rows by table
        :param lagging_table: table whose change feed lags
        """

        async def scenario(deployment: Deployment) -> None:
            deployment.store.feed_delays_s[lagging_table] = 1.5
            for table, value in values.items():
                await deployment.store.put(
                    table, _SPEC.id, encode_value(value), STORE_PARTITION
                )
            await asyncio.sleep(0.5)
            await wait_for_state(deployment.nodes[0], "cancelled")

        deployment = run_scenario(scenario, run_s=30.0)
        self.assertEqual(
            [], [w.started for w in deployment.workers if w.started]
        )

    def _assert_each_ran_once(self, deployment: Deployment) -> None:
        runs = count_starts_by_task(deployment)
        self.assertEqual({1}, set(runs.values()))
        self.assertEqual(4, len(runs))

    def test_progress_that_exceeds_a_row_is_stored(self) -> None:
        """Guards against a submission that stops all others.

        Its progress did not fit in a row, and the refused transaction was
        repeated without end.
        """

        async def scenario(deployment: Deployment) -> None:
            for worker in deployment.workers:
                worker.checkpoint = "c" * 100
            await deployment.nodes[0].call(
                "POST", SUBMISSION_PATH, _WIDE_SUBMISSION
            )
            await deployment.nodes[1].call(
                "POST", _OTHER_PATH, SUBMISSION_BODY
            )
            await wait_for_state(deployment.nodes[0], "completed")
            await wait_for_state(
                deployment.nodes[0], "completed", path=_OTHER_PATH
            )

        deployment = run_scenario(scenario, run_s=0.5, max_row_bytes=4096)
        self.assertEqual(0, deployment.store.rejected_transactions)
        runs = count_starts_by_task(deployment)
        self.assertEqual({1}, set(runs.values()))
        self.assertEqual([], _progress_keys(deployment))

    def test_submission_that_cannot_be_stored_fails_alone(self) -> None:
        """Guards against a refused transaction that stops all others.

        The nodes expect larger rows than the store accepts here.
        """

        async def scenario(deployment: Deployment) -> None:
            deployment.store.max_row_bytes = 2048
            await deployment.nodes[0].call(
                "POST", SUBMISSION_PATH, _WIDE_SUBMISSION
            )
            await deployment.nodes[1].call(
                "POST", _OTHER_PATH, SUBMISSION_BODY
            )
            await wait_for_state(
                deployment.nodes[0], "completed", path=_OTHER_PATH
            )
            await wait_for_state(deployment.nodes[1], "failed")

        deployment = run_scenario(scenario, run_s=0.5)
        self.assertEqual([], _progress_keys(deployment))

    def test_evacuated_zone_gets_no_task_until_it_is_returned(self) -> None:
        """Guards against rows of the operator that the adapter misses."""

        async def scenario(deployment: Deployment) -> None:
            key = "evacuate/zone"
            await deployment.store.put("op", key, encode_value({}))
            await wait_for_condition(
                lambda: all(
                    ("zone.evacuated", "zone") in node.log.events
                    for node in deployment.nodes
                )
            )
            await deployment.nodes[0].call(
                "POST", SUBMISSION_PATH, SUBMISSION_BODY
            )
            await asyncio.sleep(1.0)
            self.assertEqual({}, count_starts_by_task(deployment))
            await deployment.store.delete("op", key)
            await wait_for_state(deployment.nodes[1], "completed")

        self._assert_each_ran_once(run_scenario(scenario))

    def test_submission_is_completed_through_any_node(self) -> None:
        """Guards against any failure between submission and completion."""

        async def scenario(deployment: Deployment) -> None:
            first, second = deployment.nodes
            answer = await first.call("POST", SUBMISSION_PATH, SUBMISSION_BODY)
            self.assertEqual(200, answer.status)
            await wait_for_state(second, "completed")
            again = await second.call("POST", SUBMISSION_PATH, SUBMISSION_BODY)
            self.assertEqual(200, again.status)
            counts = await first.call("GET", "/bookings/")
            self.assertEqual({"queued_count": 0}, json.loads(counts.body))

        self._assert_each_ran_once(run_scenario(scenario))

    def test_unknown_queue_and_submission_have_distinct_statuses(self) -> None:
        """Guards against mixing up 404 and 410.

        404: no such queue, or not an id; 410: no such submission.
        """

        async def scenario(deployment: Deployment) -> None:
            node = deployment.nodes[0]
            statuses = [
                (await node.call("GET", path)).status
                for path in ("/other/", "/bookings/xyz", SUBMISSION_PATH)
            ]
            self.assertEqual([404, 404, 410], statuses)
            invalid = await node.call("POST", SUBMISSION_PATH, {"spec": 3})
            self.assertEqual(400, invalid.status)

        run_scenario(scenario)

    def test_lost_answer_of_the_store_starts_no_task_twice(self) -> None:
        """Guards against a commit that is applied twice after a timeout."""

        async def scenario(deployment: Deployment) -> None:
            deployment.store.answers_to_lose = 2
            answer = await deployment.nodes[0].call(
                "POST", SUBMISSION_PATH, SUBMISSION_BODY
            )
            if answer.status != 200:
                self.assertEqual(504, answer.status)
                answer = await deployment.nodes[1].call(
                    "POST", SUBMISSION_PATH, SUBMISSION_BODY
                )
            await wait_for_state(deployment.nodes[1], "completed")

        self._assert_each_ran_once(run_scenario(scenario))

    def test_refused_submission_never_runs(self) -> None:
        """Guards against status 503 for a submission that was stored."""

        async def scenario(deployment: Deployment) -> None:
            deployment.store.default_fault = StoreFault.REFUSE
            await asyncio.sleep(1.5)
            answer = await deployment.nodes[0].call(
                "POST", SUBMISSION_PATH, SUBMISSION_BODY
            )
            self.assertEqual(503, answer.status)
            self.assertEqual("1", answer.headers["retry-after"])
            deployment.store.default_fault = StoreFault.NONE
            await asyncio.sleep(2.0)

        deployment = run_scenario(scenario)
        self.assertEqual(
            [], [w.started for w in deployment.workers if w.started]
        )

    def test_next_leader_takes_over_running_tasks(self) -> None:
        """Guards against tasks that run twice or stall without a leader."""

        async def scenario(deployment: Deployment) -> None:
            leader, other = sorted(
                deployment.nodes, key=lambda node: not node.was_elected
            )
            answer = await other.call("POST", SUBMISSION_PATH, SUBMISSION_BODY)
            self.assertEqual(200, answer.status)
            await asyncio.sleep(0.3)
            await leader.stop()
            deployment.nodes.remove(leader)
            await wait_for_state(other, "completed")

        self._assert_each_ran_once(run_scenario(scenario, run_s=2.0))

    def test_unanswered_start_has_no_concurrent_run(self) -> None:
        """Guards against a second run beside one whose answer was lost."""

        async def scenario(deployment: Deployment) -> None:
            (worker,) = deployment.workers
            worker.withhold_start_answers = True
            body = {"spec": "", "steps": [{"count": 1, "cpu": 500}]}
            await deployment.nodes[0].call("POST", SUBMISSION_PATH, body)
            await asyncio.sleep(2.0)
            worker.withhold_start_answers = False
            await wait_for_state(deployment.nodes[0], "completed")

        deployment = run_scenario(scenario, workers=1, run_s=1.0)
        self.assertEqual(1, deployment.workers[0].max_concurrent_runs)

    def test_submission_cancelled_before_its_first_start_is_settled(
        self,
    ) -> None:
        """Guards against a run that keeps its capacity but never started.

        The cancellation arrives while the placement is being stored.
        """

        async def scenario(deployment: Deployment) -> None:
            (node,) = deployment.nodes
            store = deployment.store
            store.commit_answer_delay_s = 0.3
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    node.call("POST", SUBMISSION_PATH, SUBMISSION_BODY)
                )
                await asyncio.sleep(0.1)
                cancellation = group.create_task(
                    node.call("DELETE", SUBMISSION_PATH)
                )
            self.assertEqual(200, cancellation.result().status)
            ended_row = (tables.ENDED, STORE_PARTITION, SUBMISSION_ID)
            await wait_for_condition(lambda: ended_row in store.rows)

        deployment = run_scenario(scenario, nodes=1, run_s=30.0)
        self.assertEqual(
            [], [w.started for w in deployment.workers if w.started]
        )

    def test_cancelled_submission_starts_no_further_task(self) -> None:
        """Guards against starts after a confirmed cancellation."""

        async def scenario(deployment: Deployment) -> None:
            node = deployment.nodes[0]
            await node.call("POST", SUBMISSION_PATH, SUBMISSION_BODY)
            await asyncio.sleep(0.3)
            answer = await node.call("DELETE", SUBMISSION_PATH)
            self.assertEqual(200, answer.status)
            await wait_for_state(node, "cancelled")
            unknown = await node.call("DELETE", "/bookings/" + "0" * 16)
            self.assertEqual(410, unknown.status)

        deployment = run_scenario(scenario, run_s=30.0)
        self.assertEqual(
            3, sum(len(worker.started) for worker in deployment.workers)
        )

    def test_cancellation_read_before_its_submission_takes_effect(
        self,
    ) -> None:
        """Guards against runs of a workflow cancelled before it was known.

        Members store both without the leader. Its feed of submissions may
        lag behind that of cancellations.
        """
        self._assert_never_starts(
            {
                tables.SUBMISSIONS: msgspec.to_builtins(_SPEC),
                tables.CANCELS: {"cancelled": True},
            },
            tables.SUBMISSIONS,
        )

    def test_cancellation_in_a_lagging_feed_takes_effect(self) -> None:
        """Guards against starts while the feed of cancellations lags."""
        self._assert_never_starts(
            {
                tables.CANCELS: {"cancelled": True},
                tables.SUBMISSIONS: msgspec.to_builtins(_SPEC),
            },
            tables.CANCELS,
        )

    def test_submission_that_arrives_after_its_cancellation_never_runs(
        self,
    ) -> None:
        """Guards against runs of a submission after 410 to its cancellation.

        The submission was in flight when the cancellation was answered.
        """

        async def scenario(deployment: Deployment) -> None:
            first, second = deployment.nodes
            answer = await first.call("DELETE", SUBMISSION_PATH)
            self.assertEqual(410, answer.status)
            await asyncio.sleep(0.3)
            late = await second.call("POST", SUBMISSION_PATH, SUBMISSION_BODY)
            self.assertEqual(200, late.status)
            await wait_for_state(second, "cancelled", limit_s=3.0)

        deployment = run_scenario(scenario, run_s=30.0)
        self.assertEqual(
            [], [w.started for w in deployment.workers if w.started]
        )

    def test_queue_with_tickets_uses_allowed_workers_only(self) -> None:
        """Guards against starts without a ticket or on other workers."""
        path = f"/advised/{SUBMISSION_ID}"

        async def scenario(deployment: Deployment) -> None:
            placement = deployment.placement
            placement.allowed = {"i-1"}
            placement.calls_to_refuse = 1
            for worker in deployment.workers:
                worker.placement = placement
            answer = await deployment.nodes[0].call(
                "POST", path, SUBMISSION_BODY
            )
            self.assertEqual(200, answer.status)
            await wait_for_state(deployment.nodes[1], "completed", path)

        deployment = run_scenario(scenario, workers=3)
        self._assert_each_ran_once(deployment)
        self.assertEqual(
            [0, 4, 0], [len(worker.started) for worker in deployment.workers]
        )

    def test_slow_placement_service_holds_no_queue_up(self) -> None:
        """Guards against calls that time out before they can be answered.

        The service needs a second for each worker since the last manifest.
        """
        path = f"/advised/{SUBMISSION_ID}"

        async def scenario(deployment: Deployment) -> None:
            placement = deployment.placement
            placement.allowed = {"i-0", "i-1", "i-2"}
            for worker in deployment.workers:
                worker.placement = placement
            await deployment.slow_placement_down(1.0)
            await asyncio.sleep(1.5)
            answer = await deployment.nodes[0].call(
                "POST", path, SUBMISSION_BODY
            )
            self.assertEqual(200, answer.status)
            await wait_for_state(deployment.nodes[1], "completed", path)

        self._assert_each_ran_once(run_scenario(scenario, workers=3))

"""End-to-end tests of work on lost workers after changes of the leader."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.leadership.leadership import GRANT_S
from carawaystep.scheduler.member import WORKER_LEASE_S
from tests.users_platform.scenario import run_scenario
from tests.users_platform.scenario import SUBMISSION_PATH
from tests.users_platform.scenario import wait_for_condition
from tests.users_platform.store_fault import StoreFault

if TYPE_CHECKING:
    from tests.users_platform.deployment import Deployment
    from tests.users_platform.deployment import Node

_LONG_RUNNING_BODY = {
    "spec": "",
    "steps": [{"count": 1, "cpu": 500, "long_running": True}],
}
_RUN_S = 120.0
_MAX_CLOCK_DRIFT_FACTOR = 1.02
# Time in which a new leader reaches all members, and in which a task that
# was requeued is started.
_REACTION_S = 2.0


class TakeoverTest(TestCase):
    """A worker that goes away shortly before the leader changes."""

    def test_lost_task_waits_for_the_leases_of_stopped_leaders_only(
        self,
    ) -> None:
        """Guards against a wait for leases that nobody can have extended.

        The leader changes twice. Both earlier leaders follow the last one,
        so that the last grant of theirs ends shortly after its election. The
        task may start again only after the last lease of the lost worker.
        """

        async def scenario(deployment: Deployment) -> None:
            await deployment.nodes[0].call(
                "POST", SUBMISSION_PATH, _LONG_RUNNING_BODY
            )
            workers = deployment.workers
            await wait_for_condition(lambda: any(w.started for w in workers))
            lost = next(w for w in workers if w.started)
            other = next(w for w in workers if w is not lost)
            await deployment.remove_worker(lost)
            first = next(n for n in deployment.nodes if n.was_elected)
            second = await _replace_leader(deployment, first)
            await _replace_leader(deployment, second)
            lease_s = WORKER_LEASE_S * _MAX_CLOCK_DRIFT_FACTOR
            await wait_for_condition(
                lambda: bool(other.started), GRANT_S + lease_s + _REACTION_S
            )
            self.assertGreater(time.monotonic(), lost.lease_ends_at)

        deployment = run_scenario(scenario, nodes=3, run_s=_RUN_S)
        self.assertEqual(
            2, sum(len(worker.started) for worker in deployment.workers)
        )

    def test_lost_task_does_not_wait_for_a_leader_that_is_gone(self) -> None:
        """Guards against 18.5 s without a run after two losses.

        A worker and then the leader are lost for good. The leader did not
        call the worker, so that nobody waits for its right to lead to end.
        """

        async def scenario(deployment: Deployment) -> None:
            await deployment.nodes[0].call(
                "POST", SUBMISSION_PATH, _LONG_RUNNING_BODY
            )
            workers = deployment.workers
            await wait_for_condition(lambda: any(w.started for w in workers))
            lost = next(w for w in workers if w.started)
            other = next(w for w in workers if w is not lost)
            await deployment.remove_worker(lost)
            leader = next(n for n in deployment.nodes if n.was_elected)
            await leader.stop()
            deployment.nodes.remove(leader)
            lease_s = WORKER_LEASE_S * _MAX_CLOCK_DRIFT_FACTOR
            await wait_for_condition(
                lambda: bool(other.started), GRANT_S + lease_s + _REACTION_S
            )
            self.assertGreater(time.monotonic(), lost.lease_ends_at)

        deployment = run_scenario(scenario, nodes=3, run_s=_RUN_S)
        self.assertEqual(
            2, sum(len(worker.started) for worker in deployment.workers)
        )


async def _replace_leader(deployment: Deployment, leader: Node) -> Node:
    """Cut the leader off from the store until another node is elected."""
    elections = {node: node.election_count for node in deployment.nodes}

    def elected() -> list[Node]:
        return [
            node
            for node, count in elections.items()
            if node.election_count > count
        ]

    deployment.store.faults_by_node[leader.name] = StoreFault.SILENT
    await wait_for_condition(lambda: bool(elected()))
    deployment.store.faults_by_node[leader.name] = StoreFault.NONE
    return elected()[0]

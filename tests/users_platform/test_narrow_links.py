"""End-to-end tests with nodes on narrow links to the store."""

from __future__ import annotations

import asyncio
import copy
from typing import TYPE_CHECKING

from testtools import TestCase

from tests.users_platform.deployment import encode_value
from tests.users_platform.deployment import MANIFEST
from tests.users_platform.scenario import run_scenario
from tests.users_platform.scenario import SUBMISSION_BODY
from tests.users_platform.scenario import SUBMISSION_PATH
from tests.users_platform.scenario import wait_for_condition
from tests.users_platform.scenario import wait_for_state
from tests.users_platform.store_fault import StoreFault

if TYPE_CHECKING:
    from tests.users_platform.deployment import Deployment
    from tests.users_platform.deployment import Node

# A link of 10 Mbit/s.
_LINK_RATE = 1_250_000.0
# The time within which a machine that reaches the store must apply a version.
_APPLY_LIMIT_S = 3.0
_CHANGE_INTERVAL_S = 0.08
# Bytes of a manifest with a few hundred routes.
_MANIFEST_SIZE = 120_000


def _encode_manifest(version: int, size: int) -> str:
    """Return a manifest with a field that makes it large."""
    manifest = copy.deepcopy(MANIFEST)
    manifest["version"] = version
    manifest["services"] = [{"name": "x" * size}]
    return encode_value(manifest)


def _applied_version(node: Node) -> int:
    table = node.node.routes.table
    return 0 if table is None else table.version


async def _wait_for_version(node: Node, version: int) -> None:
    await wait_for_condition(
        lambda: _applied_version(node) == version, _APPLY_LIMIT_S
    )


def _events(node: Node) -> list[str]:
    return [event for event, _ in node.log.events]


class NarrowLinksTest(TestCase):
    """Manifests on nodes whose link is slower than large responses need."""

    async def _choose_node(self, deployment: Deployment) -> Node:
        """Limit the link of a node that does not lead, and return it."""
        node = next(n for n in deployment.nodes if not n.was_elected)
        deployment.store.link_rates[node.name] = _LINK_RATE
        return node

    async def _change_manifest(
        self, deployment: Deployment, versions: range, size: int
    ) -> None:
        for version in versions:
            await deployment.store.put(
                "op", "config", _encode_manifest(version, size)
            )
            await asyncio.sleep(_CHANGE_INTERVAL_S)

    def test_versions_missed_while_refused_are_skipped(self) -> None:
        """Guards against repeated reads of more than the link can carry.

        All missed versions together take longer to transfer than the timeout
        of a call, so that a node that reads them never gets the newest one.
        """

        async def scenario(deployment: Deployment) -> None:
            node = await self._choose_node(deployment)
            deployment.store.faults_by_node[node.name] = StoreFault.REFUSE
            await asyncio.sleep(1.5)
            await self._change_manifest(
                deployment, range(4, 44), _MANIFEST_SIZE
            )
            self.assertEqual(3, _applied_version(node))
            deployment.store.faults_by_node[node.name] = StoreFault.NONE
            await _wait_for_version(node, 43)
            events = _events(node)
            self.assertNotIn(
                "feed.failed", events[events.index("store.lost") :]
            )

        run_scenario(scenario)

    def test_manifests_in_quick_succession(self) -> None:
        """Guards against a link that is filled with replaced versions.

        The versions appear faster than the link can carry them.
        """

        async def scenario(deployment: Deployment) -> None:
            node = await self._choose_node(deployment)
            await self._change_manifest(
                deployment, range(4, 44), _MANIFEST_SIZE
            )
            await _wait_for_version(node, 43)
            written = 40 * len(_encode_manifest(4, _MANIFEST_SIZE))
            sent = deployment.store.bytes_sent[node.name]
            self.assertLess(sent, written / 2)
            self.assertNotIn("store.lost", _events(node))

        run_scenario(scenario)

    def test_manifest_that_takes_longer_than_the_timeout(self) -> None:
        """Guards against a response that is abandoned while it arrives."""

        async def scenario(deployment: Deployment) -> None:
            node = await self._choose_node(deployment)
            size = int(_LINK_RATE * 1.5)
            await self._change_manifest(deployment, range(4, 5), size)
            await _wait_for_version(node, 4)
            self.assertIn("feed.slow", _events(node))
            deployment.store.drop_history()
            await self._change_manifest(deployment, range(5, 6), size)
            await _wait_for_version(node, 5)
            self.assertNotIn("store.lost", _events(node))

        run_scenario(scenario)

    def test_submission_during_a_slow_read(self) -> None:
        """Guards against refusals because the routes arrive slowly."""

        async def scenario(deployment: Deployment) -> None:
            node = await self._choose_node(deployment)
            size = int(_LINK_RATE * 1.5)
            await self._change_manifest(deployment, range(4, 5), size)
            await asyncio.sleep(1.0)
            self.assertEqual(3, _applied_version(node))
            answer = await node.call("POST", SUBMISSION_PATH, SUBMISSION_BODY)
            self.assertEqual(200, answer.status)
            await wait_for_state(node, "completed")
            self.assertNotIn("store.lost", _events(node))

        run_scenario(scenario)

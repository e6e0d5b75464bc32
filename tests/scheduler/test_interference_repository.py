"""Tests of the stored probabilities of harm between images."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from types import SimpleNamespace
from typing import TYPE_CHECKING
from unittest.mock import AsyncMock
from unittest.mock import patch

import msgspec
from result import Err
from result import Ok
from testtools import TestCase

from carawaystep.scheduler import tables
from carawaystep.scheduler.interference_repository import (
    InterferenceRepository,
)
from carawaystep.scheduler.node_settings import NodeSettings
from carawaystep.scheduler.store_health import StoreHealth
from carawaystep.store.operation import PutRow
from carawaystep.store.row import Row
from carawaystep.store.table_commit import TableCommit
from carawaystep.store.table_failure import TableOutcomeUnknown
from carawaystep.store.table_failure import TableRefused
from tests.planner.planners import RecordingLog

if TYPE_CHECKING:
    from collections.abc import Sequence

    from carawaystep.store.operation import Operation

_SETTINGS = NodeSettings("edge-1", "zone", 1.0, "tcp://127.0.0.1:1", 6.0, 0.1)
_OK = Ok(TableCommit(40, ()))


class _Store:
    """Returns prepared answers in order and records the transactions."""

    def __init__(self, *answers: object) -> None:
        self._answers = list(answers)
        self.transactions: list[Sequence[Operation]] = []

    async def transact(self, operations: Sequence[Operation]) -> object:
        self.transactions.append(operations)
        return self._answers.pop(0)


def _repository(store: _Store | AsyncMock) -> InterferenceRepository:
    log = RecordingLog()
    return InterferenceRepository(
        _SETTINGS,
        SimpleNamespace(  # type: ignore[arg-type]
            store=store, clock=SimpleNamespace(now=lambda: 10.0), log=log
        ),
        StoreHealth(log, 0.0),
        7,
    )


class InterferenceRepositoryTest(TestCase):
    """Probabilities that the next leader starts from."""

    def test_failed_write_of_interference_is_not_counted_as_saved(
        self,
    ) -> None:
        """Guards against probabilities that the next leader does not find."""

        async def save(answer: object) -> bool:
            return await _repository(_Store(answer)).save([("a", "b", 0.5)])

        self.assertTrue(asyncio.run(save(_OK)))
        for failure in (TableOutcomeUnknown("lost"), TableRefused("busy")):
            self.assertFalse(asyncio.run(save(Err(failure))))

    def test_interference_is_read_again_after_a_failure(self) -> None:
        """Guards against a term that begins without what is stored.

        It would then replace the stored probabilities by its own.
        """
        pairs = [("a", "b", 0.5)]
        answers = [
            Err(TableOutcomeUnknown("no answer")),
            Ok(Row(tables.INTERFERENCE_KEY, pairs, 9, 9)),
        ]
        store = AsyncMock()
        store.get.side_effect = answers
        with patch("asyncio.sleep", AsyncMock()):
            loaded = asyncio.run(_repository(store).load())
        self.assertEqual(pairs, loaded)

    def test_probabilities_of_harm_stay_within_a_row(self) -> None:
        """Guards against a row that the store refuses each time.

        It grows with the square of the number of images.
        """
        pairs = [
            (f"image-{number}", f"serving-{number}", number / 3000)
            for number in range(3000)
        ]
        store = _Store(_OK)
        asyncio.run(_repository(store).save(pairs))
        value = next(
            operation.value
            for operation in store.transactions[0]
            if isinstance(operation, PutRow)
        )
        size = len(b64encode(msgspec.json.encode(value)))
        self.assertLessEqual(size, _SETTINGS.max_row_bytes)
        self.assertGreater(size, 0.9 * _SETTINGS.max_row_bytes)
        self.assertEqual(pairs[-1][0], value[-1][0])

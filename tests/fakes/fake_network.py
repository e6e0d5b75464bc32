"""Messages between parts of a test, with faults."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from random import Random

Answer = TypeVar("Answer")

# A message that was held up arrives at the latest after this time.
MAX_LATE_ARRIVAL_S = 20.0


class NoAnswer(StrEnum):
    """Why a call has no answer."""

    NOT_SENT = "not-sent"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class LinkFaults:
    """Chances of faults on every message.

    :param request_loss_rate: the message never arrives
    :param answer_loss_rate: the message takes effect, its answer is lost
    :param late_request_rate: the message arrives after its sender gave up
    :param max_delay_s: longest delay of a message one way
    """

    request_loss_rate: float = 0.0
    answer_loss_rate: float = 0.0
    late_request_rate: float = 0.0
    max_delay_s: float = 0.002


class FakeNetwork:
    """Delivers calls between named parts.

    A paused part neither sends nor takes answers until it is resumed, as a
    stopped process does.
    """

    def __init__(self, random: Random) -> None:
        """Create a network without faults.

        :param random: source of all chance
        """
        self._random = random
        self._cuts: set[frozenset[str]] = set()
        self._resume_events: dict[str, asyncio.Event] = {}
        self._late_calls: set[asyncio.Task[None]] = set()
        self.faults = LinkFaults()
        self.injected: Counter[str] = Counter()

    def cut(self, one: str, other: str) -> None:
        """Stop all messages between two groups of parts."""
        self._cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Undo a cut."""
        self._cuts.discard(frozenset((one, other)))

    def is_cut(self, one: str, other: str) -> bool:
        """Tell whether a cut separates two groups."""
        return frozenset((one, other)) in self._cuts

    def pause(self, part: str) -> None:
        """Pause a part."""
        self._resume_events.setdefault(part, asyncio.Event()).clear()

    def resume(self, part: str) -> None:
        """Let a paused part go on."""
        event = self._resume_events.pop(part, None)
        if event is not None:
            event.set()

    async def call(
        self,
        source: tuple[str, ...],
        target: tuple[str, ...],
        handle: Callable[[], Awaitable[Answer]],
        timeout_s: float,
    ) -> Answer | NoAnswer:
        """Deliver a call.

        :param source: names of the sender, the process's own first
        :param target: names of the receiver, the process's own first
        :param handle: what the receiver does
        :param timeout_s: seconds after which the sender gives up
        """
        await self._while_paused(source[0])
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._deliver(source, target, handle)
        except TimeoutError:
            answer = NoAnswer.UNKNOWN
        await self._while_paused(source[0])
        return answer

    def _any_cut(
        self, source: tuple[str, ...], target: tuple[str, ...]
    ) -> bool:
        return any(
            frozenset((one, other)) in self._cuts
            for one in source
            for other in target
        )

    async def _deliver(
        self,
        source: tuple[str, ...],
        target: tuple[str, ...],
        handle: Callable[[], Awaitable[Answer]],
    ) -> Answer | NoAnswer:
        faults = self.faults
        if self._any_cut(source, target):
            self.injected["cut"] += 1
            await asyncio.sleep(self._random.choice((0.0, 1e6)))
            return NoAnswer.NOT_SENT
        if self._random.random() < faults.request_loss_rate:
            self.injected["lost-request"] += 1
            await asyncio.sleep(1e6)
        if self._random.random() < faults.late_request_rate:
            self.injected["late-request"] += 1
            self._send_late(handle)
            await asyncio.sleep(1e6)
        await asyncio.sleep(self._random.uniform(0, faults.max_delay_s))
        await self._while_paused(target[0])
        work = asyncio.ensure_future(handle())
        # The receiver goes on when the sender gives up.
        answer = await asyncio.shield(work)
        if self._random.random() < faults.answer_loss_rate:
            self.injected["lost-answer"] += 1
            await asyncio.sleep(1e6)
        if self._any_cut(source, target):
            await asyncio.sleep(1e6)
        return answer

    def _send_late(self, handle: Callable[[], Awaitable[Answer]]) -> None:
        async def arrive() -> None:
            await asyncio.sleep(self._random.uniform(0, MAX_LATE_ARRIVAL_S))
            await handle()

        task = asyncio.create_task(arrive())
        self._late_calls.add(task)
        task.add_done_callback(self._late_calls.discard)

    async def _while_paused(self, part: str) -> None:
        event = self._resume_events.get(part)
        if event is not None:
            await event.wait()

"""In-process network with injected faults."""

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

# Maximum delay of a message that arrives after its sender gave up.
MAX_LATE_ARRIVAL_S = 20.0


class NoAnswer(StrEnum):
    """Why a call got no answer.

    ``NOT_SENT`` means that it certainly had no effect.
    """

    NOT_SENT = "not-sent"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class LinkFaults:
    """Probabilities of faults, drawn for each call.

    :param request_loss_rate: that the request never arrives
    :param answer_loss_rate: that the call takes effect but its answer is lost
    :param late_request_rate: that the request arrives with a random delay
        and without an answer
    :param max_delay_s: upper bound of the delay of other requests, seconds
    """

    request_loss_rate: float = 0.0
    answer_loss_rate: float = 0.0
    late_request_rate: float = 0.0
    max_delay_s: float = 0.002


class FakeNetwork:
    """Delivers calls between named endpoints.

    An endpoint has several names, such as those of its process, entry and
    availability zone, so that a cut can separate any of them. A paused
    endpoint neither sends nor receives until it is resumed, like a process
    after SIGSTOP.
    """

    def __init__(self, random: Random) -> None:
        """Create a network without faults.

        :param random: source of all random decisions
        """
        self._random = random
        self._cuts: set[frozenset[str]] = set()
        self._resume_events: dict[str, asyncio.Event] = {}
        self._late_calls: set[asyncio.Task[None]] = set()
        self.faults = LinkFaults()
        self.injected: Counter[str] = Counter()

    def cut(self, one: str, other: str) -> None:
        """Cut the network between all endpoints with these two names."""
        self._cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Remove a cut."""
        self._cuts.discard(frozenset((one, other)))

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether there is a cut between these two names."""
        return frozenset((one, other)) in self._cuts

    def pause(self, endpoint: str) -> None:
        """Pause an endpoint, given by its first name."""
        self._resume_events.setdefault(endpoint, asyncio.Event()).clear()

    def resume(self, endpoint: str) -> None:
        """Resume a paused endpoint."""
        event = self._resume_events.pop(endpoint, None)
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

        :param source: names of the sender, that of the process first
        :param target: names of the receiver, that of the process first
        :param handle: runs at the receiver and returns its answer
        :param timeout_s: seconds after which the sender gives up
        """
        await self._wait_while_paused(source[0])
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._deliver(source, target, handle)
        except TimeoutError:
            answer = NoAnswer.UNKNOWN
        await self._wait_while_paused(source[0])
        return answer

    def _is_separated(
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
        # A sleep of 1e6 s outlasts every timeout: no answer arrives.
        faults = self.faults
        if self._is_separated(source, target):
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
        await self._wait_while_paused(target[0])
        handling = asyncio.ensure_future(handle())
        # The receiver continues after the sender has given up.
        answer = await asyncio.shield(handling)
        if self._random.random() < faults.answer_loss_rate:
            self.injected["lost-answer"] += 1
            await asyncio.sleep(1e6)
        if self._is_separated(source, target):
            await asyncio.sleep(1e6)
        return answer

    def _send_late(self, handle: Callable[[], Awaitable[Answer]]) -> None:
        async def arrive() -> None:
            await asyncio.sleep(self._random.uniform(0, MAX_LATE_ARRIVAL_S))
            await handle()

        task = asyncio.create_task(arrive())
        self._late_calls.add(task)
        task.add_done_callback(self._late_calls.discard)

    async def _wait_while_paused(self, endpoint: str) -> None:
        event = self._resume_events.get(endpoint)
        if event is not None:
            await event.wait()

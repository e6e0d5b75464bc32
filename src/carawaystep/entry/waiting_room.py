"""Requests that wait for room on a worker."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.entry.entry_state import EntryState
    from carawaystep.request.queue_ticket import QueueTicket
    from carawaystep.request.request import Request

# Peers' free slots arrive with heartbeats, so the head asks again after
# this time even when nothing was heard.
_HEAD_RETRY_S = 0.1

# A timer may fire one clock tick early; without a minimum the wait would
# then be repeated at once, over and over.
_MIN_WAIT_S = 0.001


class WaitingRoom:
    """Wakes the head of the admission queue when there may be room."""

    def __init__(self, state: EntryState) -> None:
        """Create an empty room.

        :param state: state of the process
        """
        self._state = state
        self._queue = state.queue
        self._wakers: dict[QueueTicket, asyncio.Event] = {}
        self._shed: set[QueueTicket] = set()

    def ticket(self, request: Request) -> QueueTicket:
        """Return a ticket for a request that arrives now."""
        return self._queue.create_ticket(request.spec, request.deadline)

    def may_try(self, ticket: QueueTicket) -> bool:
        """Tell whether nobody more urgent waits."""
        head = self._queue.head
        return head is None or ticket <= head

    async def wait(self, ticket: QueueTicket, request: Request) -> bool:
        """Wait until the ticket may be tried or its deadline has passed.

        :returns: False when the ticket was shed
        """
        if ticket not in self._wakers and not self._enter(ticket, request):
            return False
        waker = self._wakers[ticket]
        limit_s = max(request.remaining_s(self._state.now), _MIN_WAIT_S)
        if self._queue.head == ticket:
            limit_s = min(limit_s, _HEAD_RETRY_S)
        try:
            async with asyncio.timeout(limit_s):
                await waker.wait()
        except TimeoutError:
            pass
        waker.clear()
        return ticket not in self._shed

    def leave(self, ticket: QueueTicket) -> None:
        """Remove a ticket and let the next one try."""
        self._wakers.pop(ticket, None)
        self._shed.discard(ticket)
        if self._queue.remove(ticket):
            self.wake_head()

    def wake_head(self) -> None:
        """Let the first waiting request try again."""
        head = self._queue.head
        if head is not None and head in self._wakers:
            self._wakers[head].set()

    async def run(self) -> None:
        """Wake the head whenever room changes, until cancelled."""
        while True:
            await self._state.room_changed.wait()
            self._state.room_changed.clear()
            self.wake_head()

    def _enter(self, ticket: QueueTicket, request: Request) -> bool:
        shed = self._queue.offer(ticket, request.spec.queue_limit)
        if shed == ticket:
            return False
        self._wakers[ticket] = asyncio.Event()
        if shed is not None and shed in self._wakers:
            self._shed.add(shed)
            self._wakers[shed].set()
        return True

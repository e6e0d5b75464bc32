"""Requests that wait for free capacity of a worker."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.entry.entry_state import EntryState
    from carawaystep.request.queue_ticket import QueueTicket
    from carawaystep.request.request import Request

# Not every change is notified: a slot released after a failed request is not,
# and free slots of peers are known from heartbeats only. So the head of the
# queue retries after this time even without a notification.
_HEAD_RETRY_INTERVAL_S = 0.1

# A timer may fire one clock tick early; without a minimum the wait would be
# repeated in a busy loop.
_MIN_WAIT_S = 0.001


class QueueWaiters:
    """Wakes the request at the head of the queue when capacity changes.

    It connects the admission queue, which orders and sheds the requests, to
    the asyncio tasks that wait.
    """

    def __init__(self, state: EntryState) -> None:
        """Create an empty set of waiting requests.

        :param state: shared state of the entry process
        """
        self._state = state
        self._queue = state.queue
        self._wake_events: dict[QueueTicket, asyncio.Event] = {}
        self._shed_tickets: set[QueueTicket] = set()

    def ticket(self, request: Request) -> QueueTicket:
        """Return a ticket that orders a request which arrives now."""
        return self._queue.create_ticket(request.spec, request.deadline)

    def is_first(self, ticket: QueueTicket) -> bool:
        """Return whether no queued ticket sorts before this one.

        Tickets are ordered by urgency, deadline and arrival.
        """
        head = self._queue.head
        return head is None or ticket <= head

    async def wait(self, ticket: QueueTicket, request: Request) -> bool:
        """Wait until the request may retry or its deadline has passed.

        :param ticket: its ticket, which is queued on the first call
        :param request: the waiting request
        :returns: False when the ticket was shed
        """
        if ticket not in self._wake_events and not self._enqueue(
            ticket, request
        ):
            return False
        wake_event = self._wake_events[ticket]
        timeout_s = max(request.remaining_s(self._state.now), _MIN_WAIT_S)
        if self._queue.head == ticket:
            timeout_s = min(timeout_s, _HEAD_RETRY_INTERVAL_S)
        try:
            async with asyncio.timeout(timeout_s):
                await wake_event.wait()
        except TimeoutError:
            pass
        wake_event.clear()
        return ticket not in self._shed_tickets

    def leave(self, ticket: QueueTicket) -> None:
        """Remove a ticket and wake the next one if it was queued."""
        self._wake_events.pop(ticket, None)
        self._shed_tickets.discard(ticket)
        if self._queue.remove(ticket):
            self.wake_head()

    def wake_head(self) -> None:
        """Let the first waiting request retry."""
        head = self._queue.head
        if head is not None and head in self._wake_events:
            self._wake_events[head].set()

    async def run(self) -> None:
        """Wake the head whenever capacity changes, until cancelled."""
        while True:
            await self._state.capacity_changed.wait()
            self._state.capacity_changed.clear()
            self.wake_head()

    def _enqueue(self, ticket: QueueTicket, request: Request) -> bool:
        shed = self._queue.offer(ticket, request.spec.queue_limit)
        if shed == ticket:
            return False
        self._wake_events[ticket] = asyncio.Event()
        if shed is not None and shed in self._wake_events:
            self._shed_tickets.add(shed)
            self._wake_events[shed].set()
        return True

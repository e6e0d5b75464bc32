"""A caller's request within one entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.errors.broken_invariant import BrokenInvariant
from carawaystep.request.outcome import Outcome

if TYPE_CHECKING:
    from carawaystep.document.service_spec import ServiceSpec
    from carawaystep.request.reply import Reply


class Request:
    """A request from its acceptance to its reply.

    Invariants: a non-idempotent request is not dispatched again while an
    earlier dispatch may have run, the reply is never ``NOT_RUN`` while a
    dispatch may have run, and there is exactly one reply.
    """

    def __init__(
        self,
        request_id: str,
        spec: ServiceSpec,
        idempotency_key: str | None,
        body: bytes,
        deadline: float,
    ) -> None:
        """Create a request that has not been dispatched.

        :param request_id: unique id, never reused
        :param spec: spec of the service's document in force
        :param idempotency_key: the caller's idempotency key, or None
        :param body: the caller's body
        :param deadline: monotonic time in seconds
        """
        self._id = request_id
        self._spec = spec
        self._idempotency_key = idempotency_key
        self._body = body
        self._deadline = deadline
        self._dispatch_count = 0
        self._dispatch_pending = False
        self._outcome_unknown = False
        self._reply: Reply | None = None

    @property
    def id(self) -> str:
        """Return the request id."""
        return self._id

    @property
    def spec(self) -> ServiceSpec:
        """Return the spec that was in force at acceptance."""
        return self._spec

    @property
    def idempotency_key(self) -> str | None:
        """Return the caller's idempotency key, or None."""
        return self._idempotency_key

    @property
    def body(self) -> bytes:
        """Return the caller's body."""
        return self._body

    @property
    def deadline(self) -> float:
        """Return the deadline, monotonic time in seconds."""
        return self._deadline

    @property
    def may_have_run(self) -> bool:
        """Return whether a dispatch may have reached a worker and run."""
        return self._dispatch_pending or self._outcome_unknown

    @property
    def reply(self) -> Reply | None:
        """Return the reply, None until ``finish`` is called."""
        return self._reply

    def remaining_s(self, now: float) -> float:
        """Return the seconds left until the deadline, at least 0."""
        return max(0.0, self._deadline - now)

    def expired(self, now: float) -> bool:
        """Return whether the deadline has passed."""
        return now >= self._deadline

    def may_dispatch(self, now: float) -> bool:
        """Return whether it may be dispatched, for the first time or again.

        :param now: current monotonic time in seconds
        """
        if self._reply is not None or self.expired(now):
            return False
        return self._spec.idempotent or not self.may_have_run

    def begin_dispatch(self, now: float) -> str:
        """Record a dispatch and return its id.

        The request counts as possibly run until the dispatch is known to
        have been refused.

        :param now: current monotonic time in seconds
        :raises BrokenInvariant: when ``may_dispatch`` is False
        """
        if not self.may_dispatch(now):
            raise BrokenInvariant(
                f"request {self._id}: must not be dispatched again"
            )
        self._dispatch_count += 1
        self._dispatch_pending = True
        return f"{self._id}/{self._dispatch_count}"

    def mark_dispatch_refused(self) -> None:
        """Record that the last dispatch had no effect."""
        self._dispatch_pending = False

    def mark_outcome_unknown(self) -> None:
        """Record that the last dispatch may have run without a result.

        Either its answer was lost, or its execution on the worker failed.

        The request stays possibly run even if a retry is refused later.
        """
        self._dispatch_pending = False
        self._outcome_unknown = True

    def finish(self, reply: Reply) -> None:
        """Record the reply.

        :param reply: what the caller is told
        :raises BrokenInvariant: on a second reply, or on ``NOT_RUN`` while a
            dispatch may have run
        """
        if self._reply is not None:
            raise BrokenInvariant(f"request {self._id}: second reply")
        if reply.outcome is Outcome.NOT_RUN and self.may_have_run:
            raise BrokenInvariant(
                f'request {self._id}: reply "not-run" although a dispatch '
                "may have run"
            )
        self._reply = reply

"""A caller's request within one entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.errors.broken_invariant import BrokenInvariant
from carawaystep.request.outcome import Outcome

if TYPE_CHECKING:
    from carawaystep.document.service_spec import ServiceSpec
    from carawaystep.request.reply import Reply


class Request:
    """One request from its acceptance to its only reply.

    Its rules: a non-idempotent request is dispatched at most once, "not run"
    is never told after a dispatch that may have had an effect, and there is
    one reply.
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

        :param request_id: id that is never used again
        :param spec: the service's document in force
        :param idempotency_key: the caller's key, or None
        :param body: the caller's body
        :param deadline: monotonic time in seconds
        """
        self._id = request_id
        self._spec = spec
        self._idempotency_key = idempotency_key
        self._body = body
        self._deadline = deadline
        self._dispatches = 0
        self._pending = False
        self._lost = False
        self._reply: Reply | None = None

    @property
    def id(self) -> str:
        """Return the request id."""
        return self._id

    @property
    def spec(self) -> ServiceSpec:
        """Return the service's document in force at acceptance."""
        return self._spec

    @property
    def idempotency_key(self) -> str | None:
        """Return the caller's key."""
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
    def in_doubt(self) -> bool:
        """Tell whether a dispatch may have had an effect."""
        return self._pending or self._lost

    @property
    def reply(self) -> Reply | None:
        """Return the reply, None until it is decided."""
        return self._reply

    def remaining_s(self, now: float) -> float:
        """Return the seconds left until the deadline, at least 0."""
        return max(0.0, self._deadline - now)

    def expired(self, now: float) -> bool:
        """Tell whether the deadline has passed."""
        return now >= self._deadline

    def may_dispatch(self, now: float) -> bool:
        """Tell whether it may be sent (again)."""
        if self._reply is not None or self.expired(now):
            return False
        return self._spec.idempotent or not self.in_doubt

    def begin_dispatch(self, now: float) -> str:
        """Record a dispatch and return its id.

        From here on the request is in doubt until the dispatch is known to
        have been refused.
        """
        if not self.may_dispatch(now):
            raise BrokenInvariant(f"request {self._id}: dispatched too often")
        self._dispatches += 1
        self._pending = True
        return f"{self._id}/{self._dispatches}"

    def dispatch_refused(self) -> None:
        """Record that the last dispatch certainly had no effect."""
        self._pending = False

    def dispatch_lost(self) -> None:
        """Record that the answer to the last dispatch was lost.

        A later refusal of a retry does not undo this.
        """
        self._pending = False
        self._lost = True

    def finish(self, reply: Reply) -> None:
        """Record the only reply."""
        if self._reply is not None:
            raise BrokenInvariant(f"request {self._id}: replied twice")
        if reply.outcome is Outcome.NOT_RUN and self.in_doubt:
            raise BrokenInvariant(
                f"request {self._id}: told as not run while in doubt"
            )
        self._reply = reply

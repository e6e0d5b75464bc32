"""Reply to the caller of a request."""

from __future__ import annotations

from dataclasses import dataclass

from carawaystep.request.outcome import Outcome
from carawaystep.request.outcome_reason import OutcomeReason


@dataclass(frozen=True, slots=True)
class Reply:
    """Outcome of a request and the worker's answer, if any.

    :param outcome: whether the request ran
    :param reason: why it was not run or its outcome is unknown
    :param detail: message for the caller, empty when answered
    :param body: the worker's complete answer, empty unless answered
    """

    outcome: Outcome
    reason: OutcomeReason = OutcomeReason.NONE
    detail: str = ""
    body: bytes = b""

    @classmethod
    def answered(cls, body: bytes) -> Reply:
        """Create the reply for a complete answer of a worker."""
        return cls(Outcome.ANSWERED, body=body)

    @classmethod
    def not_run(cls, reason: OutcomeReason, detail: str) -> Reply:
        """Create the reply for a request that certainly did not run."""
        return cls(Outcome.NOT_RUN, reason, detail)

    @classmethod
    def unknown(cls, reason: OutcomeReason, detail: str) -> Reply:
        """Create the reply for a request that may have run."""
        return cls(Outcome.UNKNOWN, reason, detail)

"""Reply to a caller."""

from __future__ import annotations

from dataclasses import dataclass

from carawaystep.request.outcome import Outcome
from carawaystep.request.outcome_reason import OutcomeReason


@dataclass(frozen=True, slots=True)
class Reply:
    """Outcome of a request with the worker's body, if any.

    :param outcome: what the caller is told
    :param reason: why it was not run or is unknown
    :param detail: sentence for the caller, empty when answered
    :param body: the worker's whole answer, empty unless answered
    """

    outcome: Outcome
    reason: OutcomeReason = OutcomeReason.NONE
    detail: str = ""
    body: bytes = b""

    @classmethod
    def answered(cls, body: bytes) -> Reply:
        """Return the reply for a whole answer."""
        return cls(Outcome.ANSWERED, body=body)

    @classmethod
    def not_run(cls, reason: OutcomeReason, detail: str) -> Reply:
        """Return the reply for a request that certainly did not run."""
        return cls(Outcome.NOT_RUN, reason, detail)

    @classmethod
    def unknown(cls, reason: OutcomeReason, detail: str) -> Reply:
        """Return the reply for a request that may have run."""
        return cls(Outcome.UNKNOWN, reason, detail)

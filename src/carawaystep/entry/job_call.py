"""A job submission as front ends pass it to an entry."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class JobCall:
    """A validated submission.

    :param service: name of a batch service
    :param idempotency_key: key given by the caller, or None
    :param input: input of the job as JSON text
    :param due_s: seconds until the job is due, None for the value in the
        service document
    :param run_s: expected run time in seconds, None for the value in the
        service document
    """

    service: str
    idempotency_key: str | None
    input: str
    due_s: float | None
    run_s: float | None

"""A submitted job as a front end hands it over."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class JobCall:
    """A validated submission.

    :param service: name of a batch service
    :param idempotency_key: the caller's key, or None
    :param input: JSON text
    :param due_s: seconds until it is due, None for the document's value
    :param run_s: expected run time in seconds, None for the document's value
    """

    service: str
    idempotency_key: str | None
    input: str
    due_s: float | None
    run_s: float | None

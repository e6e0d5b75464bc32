"""State of an entry as its operator API returns it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EntrySnapshot:
    """State of one entry process at one time.

    :param entry: its name
    :param pid: its process id
    :param requested_at: when the request was sent, seconds of the monotonic
        clock
    :param phase: phase of the process
    :param workers: workers that it owns
    :param documents: version and text in force of each service
    """

    entry: str
    pid: int
    requested_at: float
    phase: str
    workers: frozenset[str]
    documents: dict[str, tuple[int, str]]

"""Identity of one lifetime of a worker."""

from __future__ import annotations

from typing import NamedTuple


class WorkerKey(NamedTuple):
    """One lifetime of a worker.

    :param id: instance id, which a restarted worker may keep
    :param started_at_ms: Unix time of the start of this lifetime, milliseconds
    """

    id: str
    started_at_ms: int

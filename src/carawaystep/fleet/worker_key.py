"""Identity of one lifetime of a worker, from its start to its end."""

from __future__ import annotations

from typing import NamedTuple


class WorkerKey(NamedTuple):
    """Identifies one lifetime of a worker, which a restart ends.

    :param id: instance id, which a restarted worker may keep
    :param started_at_ms: Unix time of the start of this lifetime,
        milliseconds
    """

    id: str
    started_at_ms: int

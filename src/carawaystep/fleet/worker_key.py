"""Identity of one lifetime of a worker."""

from __future__ import annotations

from typing import NamedTuple


class WorkerKey(NamedTuple):
    """One lifetime of a worker.

    :param id: instance id, which a restarted worker may keep
    :param born_ms: Unix time of the start of this lifetime, milliseconds
    """

    id: str
    born_ms: int

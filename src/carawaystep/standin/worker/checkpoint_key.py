"""Object keys of checkpoints."""

from __future__ import annotations

import re

CHECKPOINT_PATTERN = r"^checkpoints/[^/]+/[0-9]+/(0\.[0-9]{9}|1\.0{9})$"


def checkpoint_name(job_id: str, attempt: int, done_share: float) -> str:
    """Return the object key of a checkpoint.

    The share done is a part of the key, because the worker that resumes the
    task knows nothing else of the earlier attempt.

    :param job_id: job id
    :param attempt: attempt that was evicted
    :param done_share: share of the whole task that is done, 0 to 1
    """
    return f"checkpoints/{job_id}/{attempt}/{done_share:.9f}"


def done_share(checkpoint: str | None) -> float:
    """Return the share of the whole task that is done at a checkpoint.

    :param checkpoint: object key, or None for a task that starts anew
    :raises ValueError: when the key is not one of a checkpoint
    """
    if checkpoint is None:
        return 0.0
    if re.fullmatch(CHECKPOINT_PATTERN, checkpoint) is None:
        raise ValueError(f"{checkpoint!r} is not the key of a checkpoint")
    return float(checkpoint.rpartition("/")[2])

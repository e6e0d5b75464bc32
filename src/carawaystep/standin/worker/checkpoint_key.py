"""Object keys of checkpoints."""

from __future__ import annotations

import re

CHECKPOINT_KEY_PATTERN = r"^checkpoints/[^/]+/[0-9]+/(0\.[0-9]{9}|1\.0{9})$"


def checkpoint_key(job_id: str, attempt: int, done_share: float) -> str:
    """Return the object key of a checkpoint.

    The key contains the completed share, because the worker that resumes the
    job knows nothing else about the earlier attempt.

    :param job_id: job id
    :param attempt: number of the evicted attempt
    :param done_share: completed share of the whole job, 0 to 1
    """
    return f"checkpoints/{job_id}/{attempt}/{done_share:.9f}"


def parse_done_share(checkpoint: str | None) -> float:
    """Return the completed share of a job from its checkpoint key.

    :param checkpoint: object key, or None for a job without a checkpoint
    :raises ValueError: if the key is not a valid checkpoint key
    """
    if checkpoint is None:
        return 0.0
    if re.fullmatch(CHECKPOINT_KEY_PATTERN, checkpoint) is None:
        raise ValueError(f"{checkpoint!r} is not a checkpoint key")
    return float(checkpoint.rpartition("/")[2])

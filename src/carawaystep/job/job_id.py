"""Ids of jobs."""

from __future__ import annotations

from hashlib import sha256

SHARDS = tuple(f"{number:02x}" for number in range(256))


def job_id(service: str, key: str) -> str:
    """Return the id of the job with an idempotency key.

    The same service and key give the same id through every entry, so that a
    repeated submission finds the same row.

    :param service: name of the service
    :param key: the caller's key, or a random one
    """
    digest = sha256(f"{service}\0{key}".encode()).hexdigest()
    return f"{digest[:2]}-{digest[2:32]}"


def standing_job_id(service: str, index: int) -> str:
    """Return the id of a replica of a standing service.

    :param service: name of the service
    :param index: number of the replica, from 0
    """
    return job_id(service, f"standing/{index}")

"""Deterministic job ids and their shards."""

from __future__ import annotations

from hashlib import sha256

SHARDS = tuple(f"{number:02x}" for number in range(256))


def job_id(service: str, key: str) -> str:
    """Derive a job id from an idempotency key.

    Every entry derives the same id from the same service and key, so that a
    repeated submission finds the existing row.

    :param service: name of the service
    :param key: the caller's idempotency key, or a random one
    :returns: shard as two hex digits, ``-``, 30 hex digits
    """
    digest = sha256(f"{service}\0{key}".encode()).hexdigest()
    return f"{digest[:2]}-{digest[2:32]}"


def standing_job_id(service: str, index: int) -> str:
    """Derive the job id of a replica of a standing service.

    :param service: name of the service
    :param index: number of the replica, from 0
    """
    return job_id(service, f"standing/{index}")

"""Rendezvous hashing of keys to members."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def weight(key: str, member: str) -> int:
    """Return the weight of a member for a key, 64 bits.

    :param key: what is assigned, such as a worker's name
    :param member: name of a candidate
    """
    digest = blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Return the members for a key, the best first.

    When a member leaves, only its own keys move to others.

    :param key: what is assigned
    :param members: names of all candidates
    """
    return sorted(
        members, key=lambda member: (weight(key, member), member), reverse=True
    )

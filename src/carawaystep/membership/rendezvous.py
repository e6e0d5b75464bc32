"""Rendezvous (highest random weight) hashing."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def weight(key: str, member: str) -> int:
    """Return the weight of a member for a key.

    :param key: the key to assign, such as a worker's name
    :param member: name of the member
    :returns: unsigned 64-bit integer, the same in every process
    """
    digest = blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Return the members by weight for a key, highest first.

    If a member leaves, only the keys assigned to it move to other members.

    :param key: the key to assign
    :param members: names of all members
    """
    return sorted(
        members, key=lambda member: (weight(key, member), member), reverse=True
    )

"""Lookup of the tokens that an entry accepts."""

from __future__ import annotations

from hashlib import sha256
from hmac import compare_digest
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.access.grant import Grant


class TokenTable:
    """The rights of each accepted token, by the digest of the token.

    Only digests are stored, so that neither a memory dump of the process nor
    the ``repr`` of the table reveals a token.
    """

    def __init__(self, grants: Iterable[tuple[str, Grant]]) -> None:
        """Create a table.

        :param grants: pairs of a token and its rights; tokens are unique
        """
        self._grants = [(_digest(token), grant) for token, grant in grants]

    def __len__(self) -> int:
        """Return the number of tokens."""
        return len(self._grants)

    def find(self, token: str) -> Grant | None:
        """Return the rights of a token, None if the token is unknown.

        The time taken must not reveal how close a guess is or where in the
        file a token is listed, so every digest is compared in constant time.
        """
        digest = _digest(token)
        found: Grant | None = None
        for stored_digest, grant in self._grants:
            if compare_digest(stored_digest, digest):
                found = grant
        return found


def _digest(token: str) -> bytes:
    return sha256(token.encode("utf-8", "surrogatepass")).digest()

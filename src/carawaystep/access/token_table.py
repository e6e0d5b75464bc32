"""Tokens that an entry accepts."""

from __future__ import annotations

from hashlib import sha256
from hmac import compare_digest
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.access.grant import Grant


class TokenTable:
    """Grants by the digest of their token.

    Only digests are kept, so neither a dump of the process nor the
    representation of the table reveals a token.
    """

    def __init__(self, grants: Iterable[tuple[str, Grant]]) -> None:
        """Create a table.

        :param grants: pairs of token and grant, each token once
        """
        self._grants = [(_digest(token), grant) for token, grant in grants]

    def __len__(self) -> int:
        """Return the number of tokens."""
        return len(self._grants)

    def find(self, token: str) -> Grant | None:
        """Return the grant of a token, None when the token is unknown.

        Every digest is compared, so that the time taken tells nothing about
        how close a guess is or where the token stands in the file.
        """
        digest = _digest(token)
        found: Grant | None = None
        for known, grant in self._grants:
            if compare_digest(known, digest):
                found = grant
        return found


def _digest(token: str) -> bytes:
    return sha256(token.encode("utf-8", "surrogatepass")).digest()

"""Fencing tokens of the lifetimes of workers during one term."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from carawaystep.fleet.worker_key import WorkerKey


class LifetimeTokens:
    """Gives each lifetime of a worker a higher token than the one before.

    A worker that starts again under its id knows no token, and carries out
    calls that were meant for its former lifetime. The first call with the
    token of the new one shuts them out.

    The term is the token of the first known lifetime of each worker. That of
    a later one is the revision of a commit of this leader, which is higher
    than the term and than all earlier tokens, and lower than the next term.
    """

    def __init__(self, term: int) -> None:
        """Create the tokens of a term that knows no worker yet.

        :param term: number of the term, which is the leader row's version
        """
        self._term = term
        self._tokens: dict[WorkerKey, int] = {}
        # Ids of the workers of which a lifetime got a token.
        self._known_ids: set[str] = set()

    def get(self, key: WorkerKey) -> int | None:
        """Return the token of a lifetime, None if it has to be committed."""
        token = self._tokens.get(key)
        if token is None and key.id not in self._known_ids:
            self._known_ids.add(key.id)
            token = self._tokens[key] = self._term
        return token

    def record_commit(self, key: WorkerKey, revision: int) -> None:
        """Give a later lifetime its token.

        :param revision: revision of a commit that began after the lifetime
            was known and that checked the leader row
        """
        self._tokens.setdefault(key, revision)

    def forget_all_but(self, keys: Collection[WorkerKey]) -> None:
        """Forget the tokens of lifetimes that are over."""
        for key in self._tokens.keys() - keys:
            del self._tokens[key]

"""Protection of non-idempotent requests against a second run."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.request.duplicate_claim import DuplicateClaim
    from carawaystep.request.reply import Reply


class DuplicateGuard(ABC):
    """Grants each key to at most one run, through whichever entry."""

    @abstractmethod
    async def claim(
        self, service: str, key: str, request_id: str
    ) -> DuplicateClaim:
        """Claim a key before the request is dispatched.

        :param service: name of the service
        :param key: the caller's idempotency key
        :param request_id: id of the claiming request
        """

    @abstractmethod
    async def settle(
        self, service: str, key: str, claim: DuplicateClaim, reply: Reply
    ) -> None:
        """Record the reply, so that a repeat gets the same one.

        A request that was not run gives its key free.

        :param service: name of the service
        :param key: the caller's idempotency key
        :param claim: the granted claim
        :param reply: what the caller is told
        """

"""Deduplication of non-idempotent requests."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.request.duplicate_claim import DuplicateClaim
    from carawaystep.request.reply import Reply


class DuplicateGuard(ABC):
    """Grants each idempotency key to at most one run, over all entries."""

    @abstractmethod
    async def claim(
        self, service: str, key: str, request_id: str
    ) -> DuplicateClaim:
        """Claim a key; called before the request is dispatched.

        :param service: name of the service
        :param key: the caller's idempotency key
        :param request_id: id of the claiming request
        """

    @abstractmethod
    async def record_reply(
        self, service: str, key: str, claim: DuplicateClaim, reply: Reply
    ) -> None:
        """Record the reply, so that a repeated request gets the same one.

        The key of a request that was not run is released.

        :param service: name of the service
        :param key: the caller's idempotency key
        :param claim: the granted claim
        :param reply: reply to the caller
        """

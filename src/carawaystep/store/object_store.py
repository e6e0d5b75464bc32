"""Port to the platform's object store."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from result import Result

    from carawaystep.store.table_failure import TableFailure


class ObjectStore(ABC):
    """Stores byte strings under keys."""

    @abstractmethod
    async def put(self, key: str, body: bytes) -> Result[None, TableFailure]:
        """Store an object, replacing one with the same key.

        :param key: key of the object
        :param body: content
        """

    @abstractmethod
    async def get(self, key: str) -> Result[bytes | None, TableFailure]:
        """Read an object.

        :param key: key of the object
        :returns: the content, None when the object does not exist
        """

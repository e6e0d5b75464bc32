"""Check of a new connection before requests are sent on it."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from carawaystep.adapters.http_client.http_response import HttpResponse


class ConnectionCheck(ABC):
    """Request that shows which process a new connection leads to.

    An address may have been taken over by another process since the last
    request. An open connection cannot be, so that one check is enough.
    """

    @property
    @abstractmethod
    def method(self) -> str:
        """Return the HTTP method of the request."""

    @property
    @abstractmethod
    def path(self) -> str:
        """Return the path of the request, already percent-encoded."""

    @property
    @abstractmethod
    def headers(self) -> Mapping[str, str]:
        """Return the headers in addition to those of the client."""

    @property
    @abstractmethod
    def body(self) -> bytes:
        """Return the body of the request."""

    @abstractmethod
    def accepts(self, response: HttpResponse) -> bool:
        """Tell whether requests may be sent on the connection."""

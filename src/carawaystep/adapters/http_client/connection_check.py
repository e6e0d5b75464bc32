"""Check of a new connection before requests are sent on it."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.adapters.http_client.http_request import HttpRequest
    from carawaystep.adapters.http_client.http_response import HttpResponse


class ConnectionCheck(ABC):
    """Request that shows which process a new connection leads to.

    An address may have been taken over by another process since the last
    request. An open connection cannot be, so that one check is enough.
    """

    @property
    @abstractmethod
    def request(self) -> HttpRequest:
        """Return the request."""

    @abstractmethod
    def accepts(self, response: HttpResponse) -> bool:
        """Tell whether further requests may be sent on the connection."""

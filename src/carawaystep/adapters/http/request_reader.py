"""HTTP/1.1 parser that limits the number of header fields."""

from __future__ import annotations

from typing import TYPE_CHECKING

from h11 import Connection
from h11 import RemoteProtocolError
from h11 import Request
from h11 import SERVER

if TYPE_CHECKING:
    from h11 import Event
    from h11 import NEED_DATA
    from h11 import PAUSED

_MAX_HEADER_FIELDS = 128
_MAX_HEADER_BYTES = 16_384
_STATUS_TOO_LARGE = 431


class RequestReader(Connection):
    """Server side of a connection.

    A header field of a few bytes takes hundreds of bytes once it is parsed,
    so that the number of fields is limited in addition to their size.

    :ivar error_status: status of the response to the last malformed request
    """

    def __init__(self) -> None:
        """Create the parser of a new connection."""
        super().__init__(SERVER, _MAX_HEADER_BYTES)
        self.error_status = 400

    @property
    def unread_bytes(self) -> int:
        """Return the number of bytes received after the current request."""
        return len(self.trailing_data[0])

    def next_event(self) -> Event | type[NEED_DATA] | type[PAUSED]:
        """Return the next event of the client.

        :raises RemoteProtocolError: the request is malformed
        """
        try:
            event = super().next_event()
        except RemoteProtocolError as error:
            self.error_status = error.error_status_hint
            raise
        if isinstance(event, Request):
            self._check_size(event)
        return event

    def _check_size(self, request: Request) -> None:
        """Check a complete header; h11 limits only incomplete ones.

        :raises RemoteProtocolError: the header is too large
        """
        size = len(request.target) + sum(
            len(name) + len(value) for name, value in request.headers
        )
        if (
            size > _MAX_HEADER_BYTES
            or len(request.headers) > _MAX_HEADER_FIELDS
        ):
            self.error_status = _STATUS_TOO_LARGE
            raise RemoteProtocolError(
                f"more than {_MAX_HEADER_BYTES} bytes or"
                f" {_MAX_HEADER_FIELDS} fields in the header",
                _STATUS_TOO_LARGE,
            )

"""HTTP protocol of a connection whose client is not trusted."""

from __future__ import annotations

import contextlib
from http import HTTPStatus
from typing import Any
from typing import TYPE_CHECKING

from h11 import DONE
from h11 import IDLE
from h11 import MIGHT_SWITCH_PROTOCOL  # type: ignore[attr-defined]
from h11 import MUST_CLOSE
from h11 import SEND_BODY
from uvicorn.protocols.http.h11_impl import H11Protocol

from carawaystep.adapters.http.client_gate import EvictableConnection
from carawaystep.adapters.http.request_reader import RequestReader
from carawaystep.intake.client_connection import Admission
from carawaystep.intake.client_connection import ConnectionPhase

if TYPE_CHECKING:
    import asyncio

    from uvicorn.config import Config
    from uvicorn.server import ServerState

    from carawaystep.adapters.http.client_gate import Listener
    from carawaystep.intake.client_connection import ClientConnection

_HEAD_TIMEOUT_S = 10.0
# Longer than any time limit of a body that the application may set.
_BODY_TIMEOUT_S = 60.0
# The rest of a body that is not needed any more.
_UNUSED_BODY_TIMEOUT_S = 5.0
_READER_TIMEOUT_S = 10.0
_WRITE_BUFFER_BYTES = 16_384

# After a refusal, what the client still sends is discarded for this time.
# Closing a socket with unread data resets the connection, so that the client
# may lose the refusal.
_LINGER_TIMEOUT_S = 0.5

_RETRY_AFTER_S = 1

# The last one is the state after a request that offers another protocol, which
# the server declines.
_COMPLETE_REQUEST_STATES = (DONE, MUST_CLOSE, MIGHT_SWITCH_PROTOCOL)


class ClientProtocol(H11Protocol, EvictableConnection):
    """Connection that keeps within the account of clients.

    Bytes are charged as they arrive and released when the response to their
    request has been sent. A request that is not complete in time, or for
    which there is no room, is refused before it was passed on.
    """

    def __init__(
        self,
        listener: Listener,
        config: Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        _loop: asyncio.AbstractEventLoop | None = None,
    ) -> None:
        """Create the protocol of a connection that is not open yet.

        :param listener: listening address that the connection is made to
        :param config: configuration of the server
        :param server_state: connections and tasks of the server
        :param app_state: state passed to the application
        """
        super().__init__(config, server_state, app_state, _loop)
        self.conn: RequestReader = RequestReader()
        self._listener = listener
        self._gate = listener.gate
        self._client: ClientConnection | None = None
        self._refused = False
        self._deadline: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Ask for admission; refuse or drop the connection without it."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(_WRITE_BUFFER_BYTES)
        peer = self.client[0] if self.client else ""
        self._client = self._gate.open(self, self._listener, peer)
        if self._client.admission is Admission.DROPPED:
            self._refused = True
            transport.abort()
        elif self._client.admission is Admission.REFUSED:
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            self._set_keep_alive()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection holds."""
        self._set_deadline(None)
        self._unset_keepalive_if_required()
        if self._client is not None:
            self._gate.close(self._client)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Charge and parse received bytes, or discard them."""
        if self._refused or self.conn.their_state is MUST_CLOSE:
            return
        if not self._discards_body() and not self._receive(len(data)):
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        super().data_received(data)
        self._update_phase()
        if self._phase is ConnectionPhase.NEXT_REQUEST:
            # The rest of an answered request has ended.
            self._set_keep_alive()

    def on_response_complete(self) -> None:
        """Release the request, and go on with the next one."""
        # The application may not have read the body.
        self.cycle.body = bytearray()
        if self._client is not None:
            unsent = self.transport.get_write_buffer_size()
            self._gate.keep(self._client, self.conn.unread_bytes + unsent)
        super().on_response_complete()
        if self.transport.is_closing():
            self._set_deadline(_READER_TIMEOUT_S)
            return
        self._update_phase()
        if self._discards_body():
            self._set_deadline(_UNUSED_BODY_TIMEOUT_S)

    def pause_writing(self) -> None:
        """Begin to wait for a client that does not read its responses."""
        super().pause_writing()
        self._enter(ConnectionPhase.READER)
        self._receive(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """End the wait for the client."""
        super().resume_writing()
        self._update_phase()

    def send_400_response(self, msg: str) -> None:
        """Refuse a malformed request."""
        self._refuse(HTTPStatus(self.conn.error_status))

    def shutdown(self) -> None:
        """Close the connection once its response has been sent."""
        if self._refused:
            # The parser does not know of the refusal.
            self.transport.abort()
        else:
            super().shutdown()

    def evict(self) -> None:
        """Refuse the request in progress, if any, and close."""
        if self._refused:
            self.transport.abort()
            return
        if self._phase is not ConnectionPhase.NEXT_REQUEST:
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)
        elif self._has_unsent_data():
            self.transport.abort()
        # It has sent nothing lately, so that its socket has no unread data.
        self.transport.close()

    def timeout_keep_alive_handler(self) -> None:
        """Close a connection on which no request has begun in time."""
        if self._has_unsent_data():
            self.transport.abort()
        else:
            super().timeout_keep_alive_handler()

    @property
    def _phase(self) -> ConnectionPhase | None:
        return None if self._client is None else self._client.phase

    def _receive(self, count: int) -> bool:
        return self._client is None or self._gate.receive(self._client, count)

    def _has_unsent_data(self) -> bool:
        """Tell whether the client has left a part of its responses unread.

        Only aborting ends such a connection: closing waits for the client.
        """
        return self.transport.get_write_buffer_size() > 0

    def _discards_body(self) -> bool:
        """Tell whether the rest of an answered request is arriving."""
        return (
            self.cycle is not None
            and self.cycle.response_complete
            and self.conn.their_state is SEND_BODY
        )

    def _update_phase(self) -> None:
        """Derive the phase from the state of the parser."""
        if self._refused or self.flow.write_paused:
            return
        if self.conn.their_state is IDLE:
            self._enter(
                ConnectionPhase.HEAD
                if self.conn.unread_bytes
                else ConnectionPhase.NEXT_REQUEST
            )
        elif self.conn.their_state is SEND_BODY:
            self._enter(ConnectionPhase.BODY)
        elif self.conn.their_state in _COMPLETE_REQUEST_STATES:
            self._enter(ConnectionPhase.ANSWER)

    def _enter(self, phase: ConnectionPhase) -> None:
        if self._client is None or phase is self._phase:
            return
        self._gate.enter(self._client, phase)
        self._set_deadline(_PHASE_TIMEOUTS_S.get(phase))

    def _set_keep_alive(self) -> None:
        """Close the connection if no request begins in time."""
        self._unset_keepalive_if_required()
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def _set_deadline(self, timeout_s: float | None) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None
        if timeout_s is not None:
            self._deadline = self.loop.call_later(timeout_s, self._expire)

    def _expire(self) -> None:
        self._deadline = None
        if self._refused or self.transport.is_closing():
            self.transport.abort()
        else:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)

    def _refuse(self, status: HTTPStatus) -> None:
        """Refuse the request in progress and close the connection."""
        if self._refused or self.transport.is_closing():
            return
        self._refused = True
        self._unset_keepalive_if_required()
        answered = self.flow.write_paused
        if self.cycle is not None:
            answered = answered or self._end_cycle()
        if self._client is not None:
            self._gate.keep(self._client, 0)
            self._gate.enter(self._client, ConnectionPhase.CLOSE)
        if answered:
            # The client would take a refusal for a part of the answer.
            self.transport.abort()
            return
        self.transport.write(_refusal(status))
        # A connection that the client has reset meanwhile cannot be shut down.
        with contextlib.suppress(OSError):
            self.transport.write_eof()
        self.flow.resume_reading()
        self._set_deadline(_LINGER_TIMEOUT_S)

    def _end_cycle(self) -> bool:
        """Tell the application that the client has gone.

        :returns: whether a response to the request has begun
        """
        self.cycle.body = bytearray()
        if self.cycle.response_complete:
            return self.conn.their_state is SEND_BODY
        self.cycle.disconnected = True
        self.cycle.message_event.set()
        return self.cycle.response_started


_PHASE_TIMEOUTS_S = {
    ConnectionPhase.HEAD: _HEAD_TIMEOUT_S,
    ConnectionPhase.BODY: _BODY_TIMEOUT_S,
    ConnectionPhase.READER: _READER_TIMEOUT_S,
}


def _refusal(status: HTTPStatus) -> bytes:
    """Return a small response that closes the connection."""
    fields = ["content-length: 0", "connection: close"]
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        fields.append(f"retry-after: {_RETRY_AFTER_S}")
    lines = [f"HTTP/1.1 {status.value} {status.phrase}", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()

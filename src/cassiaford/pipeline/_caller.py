"""The connection to a caller, which may read slowly or close at any time."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Sequence

from cassiaford.pipeline._http_responses import http_head
from cassiaford.pipeline._messages import Header

# Reading from the backend server pauses while more than this is buffered for a
# slow caller.
WRITE_BUFFER_BYTES = 64 * 1024


class CallerListener(ABC):
    """Receives the events of a caller's connection."""

    @abstractmethod
    def on_caller_left(self) -> None:
        """Handle a caller that disconnected before its response was complete."""

    @abstractmethod
    def on_caller_closed(self) -> None:
        """Handle the loss of the connection, whatever its cause."""

    @abstractmethod
    def on_caller_slow(self, slow: bool) -> None:
        """Handle a full write buffer, or with `slow` false, one with room again."""


class CallerConnection(asyncio.Protocol):
    """Writes one response to a caller and closes the connection.

    A caller that closes its sending side counts as disconnected: an HTTP
    client that still waits for its response keeps both directions open.
    """

    def __init__(self, listener: CallerListener):
        self.listener = listener
        self.transport = None
        self.response_started = False
        self.finished = False
        self.chunked = False
        self.write_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and limit its write buffer."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    def data_received(self, data: bytes) -> None:
        """Ignore further input: a connection carries one request only."""

    def eof_received(self) -> None:
        """Treat the end of input as a disconnection."""
        self._report_disconnect()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss of the connection to the listener."""
        self._report_disconnect()
        self.listener.on_caller_closed()

    def pause_writing(self) -> None:
        """Report to the listener that the write buffer is full."""
        self.write_paused = True
        self.listener.on_caller_slow(True)

    def resume_writing(self) -> None:
        """Report to the listener that the write buffer has room again."""
        self.write_paused = False
        self.listener.on_caller_slow(False)

    def start_response(
        self, status: int, headers: Sequence[Header], length: int | None, body: bool
    ) -> bytes:
        """Return the response head, to be written with the first bytes.

        Without a length, a body is sent with chunked transfer encoding.
        """
        self.response_started = True
        self.chunked = body and length is None
        framing = [Header("Connection", "close")]
        if length is not None:
            framing.insert(0, Header("Content-Length", str(length)))
        elif self.chunked:
            framing.insert(0, Header("Transfer-Encoding", "chunked"))
        return http_head(status, (*headers, *framing))

    def write(self, data: bytes, head: bytes = b"") -> None:
        """Write a part of the body, preceded by the head if one is given."""
        if self.finished or self.transport.is_closing():
            return
        if self.chunked and data:
            data = b"%b%x\r\n%b\r\n" % (head, len(data), data)
        else:
            data = head + data
        if data:
            self.transport.write(data)

    def write_raw(self, data: bytes) -> None:
        """Write bytes without any framing."""
        if data and not self.finished:
            self.transport.write(data)

    def finish(self) -> None:
        """Complete the response and close the connection."""
        if self.finished:
            return
        if self.chunked:
            self.transport.write(b"0\r\n\r\n")
        self.close()

    def close(self) -> None:
        """Close once all is written, without a final chunk."""
        if not self.finished:
            self.finished = True
            self.transport.close()

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes in the write buffer."""
        return self.transport.get_write_buffer_size() if self.transport else 0

    def abort(self) -> None:
        """Close immediately and drop the write buffer."""
        self.finished = True
        if self.transport is not None:
            self.transport.abort()

    def _report_disconnect(self):
        if not self.finished:
            self.finished = True
            self.listener.on_caller_left()

"""The connection to a caller: it may be slow, and may close at any moment."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Sequence

from cassiaford.pipeline._answers import http_head
from cassiaford.pipeline._messages import Header

# Reading from the backend server pauses while more than this waits for a
# slow caller.
WRITE_BUFFER_BYTES = 64 * 1024


class CallerListener(ABC):
    """Hears of what a caller does."""

    @abstractmethod
    def caller_left(self) -> None:
        """Take note that the caller closed before its answer was complete."""

    @abstractmethod
    def caller_closed(self) -> None:
        """Take note that the connection is closed, for whatever reason."""

    @abstractmethod
    def caller_slow(self, slow: bool) -> None:
        """Take note that the caller reads slower than its answer comes."""


class CallerConnection(asyncio.Protocol):
    """Writes one answer to a caller and closes.

    A caller that closes its sending side counts as gone: an HTTP client that
    still wants its answer keeps the connection whole.
    """

    def __init__(self, listener: CallerListener):
        self.listener = listener
        self.transport = None
        self.started = False
        self.finished = False
        self.chunked = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and bound its buffer."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    def data_received(self, data: bytes) -> None:
        """Drop whatever comes after the request: one answer, then the end."""

    def eof_received(self) -> None:
        """Take a caller that sends no more for one that has left."""
        self._left()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the listener, whose answer may be incomplete."""
        self._left()
        self.listener.caller_closed()

    def pause_writing(self) -> None:
        """Tell the listener that the buffer is full."""
        self.listener.caller_slow(True)

    def resume_writing(self) -> None:
        """Tell the listener that the buffer has room."""
        self.listener.caller_slow(False)

    def start(
        self, status: int, headers: Sequence[Header], length: int | None, body: bool
    ) -> bytes:
        """Return the head to be written before, or with, the first bytes.

        Without a length, a body is sent in chunks.
        """
        self.started = True
        self.chunked = body and length is None
        framing = [Header("Connection", "close")]
        if length is not None:
            framing.insert(0, Header("Content-Length", str(length)))
        elif self.chunked:
            framing.insert(0, Header("Transfer-Encoding", "chunked"))
        return http_head(status, (*headers, *framing))

    def write(self, data: bytes, head: bytes = b"") -> None:
        """Write a part of the body, the head before it."""
        if self.finished:
            return
        if self.chunked and data:
            data = b"%b%x\r\n%b\r\n" % (head, len(data), data)
        else:
            data = head + data
        if data:
            self.transport.write(data)

    def write_raw(self, data: bytes) -> None:
        """Write bytes as they are."""
        if data and not self.finished:
            self.transport.write(data)

    def finish(self) -> None:
        """End the answer; it is complete."""
        if self.finished:
            return
        if self.chunked:
            self.transport.write(b"0\r\n\r\n")
        self.cut()

    def cut(self) -> None:
        """Close after what is written, without ending the answer's framing."""
        if not self.finished:
            self.finished = True
            self.transport.close()

    @property
    def unread_bytes(self) -> int:
        """The bytes that still wait to be sent."""
        return self.transport.get_write_buffer_size() if self.transport else 0

    def abort(self) -> None:
        """Close at once and drop what is not yet written."""
        self.finished = True
        if self.transport is not None:
            self.transport.abort()

    def _left(self):
        if not self.finished:
            self.finished = True
            self.listener.caller_left()

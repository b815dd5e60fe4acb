"""Client connections to HTTP servers, and a pool of them."""

import asyncio
import collections
import socket
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from cassiaford._response_limits import (
    MAX_HEADER_BYTES,
    MAX_OVERHEAD_BYTES,
    OBJECT_BYTES,
)
from cassiaford.gateway._messages import Headers
from cassiaford.verdict import Failure

# Unread bytes of a response's body at which reading from the socket pauses.
MAX_UNREAD_BYTES = 262_144
# Bodies of late responses to other requests that are skipped in one exchange.
MAX_SKIPPED_BYTES = 1_048_576
# Connecting takes milliseconds within a region; TCP resends a lost SYN after a
# second, which is too late to wait for.
CONNECT_TIMEOUT_S = 0.5
# A peer that acknowledges nothing for this long is assumed to be unreachable.
MAX_UNACKNOWLEDGED_MS = 800
# TCP keep-alive on an idle connection: idle seconds before the first probe, seconds
# between probes, and number of probes.
KEEP_ALIVE_PROBES = (1, 1, 2)
# An idle connection is not used in the last second before its server's timeout.
IDLE_MARGIN_S = 1.0
# A server may close a connection right after a response without announcing it. The
# FIN arrives within a round trip in the region, so reuse waits for this long.
REUSE_DELAY_S = 0.01
# Idle timeout for servers that state none.
DEFAULT_IDLE_TIMEOUT_S = 4.0


class ExchangeError(Exception):
    """An exchange with a server failed; `failure` says how.

    `refused` is whether the server's machine responded that no process listens.
    """

    def __init__(self, failure: Failure, detail: str = "", *, refused: bool = False):
        super().__init__(detail or failure.text)
        self.failure = failure
        self.refused = refused


@dataclass(frozen=True)
class ResponseHead:
    """The status line and headers of a response."""

    status: int
    reason: str
    headers: Headers

    def header(self, name: str) -> str | None:
        """Return the value of a header by its lower-case name, or None."""
        for header_name, value in self.headers:
            if header_name.lower() == name:
                return value
        return None

    @property
    def length(self) -> int | None:
        """The value of Content-Length, if valid."""
        value = self.header("content-length")
        return int(value) if value is not None and value.isdigit() else None


class _TooLongError(Exception):
    """A response has more bytes than any that makes sense."""


class ServerConnection(asyncio.Protocol):
    """Carries one exchange at a time over a connection to a server."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.usable = True
        self.idle_until = 0.0
        self.reusable_at = 0.0
        self._waiter: asyncio.Future | None = None
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._overhead = 0
        self._header_bytes = 0
        self._skipped_bytes = 0
        self._in_exchange = False
        self._sent = False
        self._accepts: Callable[[ResponseHead], bool] | None = None
        self._failure: Failure | None = None
        self._reset_response()

    # Transport callbacks.

    def connection_made(self, transport):
        """Record the transport and enable the detection of dead peers."""
        self.transport = transport
        _detect_dead_peer(transport.get_extra_info("socket"))

    def data_received(self, data):
        """Parse bytes, or close the connection if no exchange expects them."""
        if not self._in_exchange or self._complete:
            self.close()
            return
        self._overhead += len(data)
        try:
            # Exceptions of the callbacks below are among these errors.
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self._reject_response()
            return
        if self._overhead > MAX_OVERHEAD_BYTES:
            self._reject_response()

    def _reject_response(self):
        self.usable = False
        if not self._complete:
            self._fail(Failure.INVALID_RESPONSE)
        self.transport.abort()

    def eof_received(self):
        """Complete a response that is delimited by the end of the connection."""
        self.usable = False
        if self._in_exchange and self._until_close and not self._skipping:
            self._complete = True
            self._wake()
        return False

    def connection_lost(self, exc):
        """Fail an exchange that is incomplete."""
        self.usable = False
        if self._in_exchange and not self._complete:
            started = self._head is not None
            self._fail(
                Failure.TRUNCATED_RESPONSE if started else Failure.RESET_BEFORE_RESPONSE
            )
        self._wake()

    # Parser callbacks.

    def on_message_begin(self):
        """Start a response; a surplus one makes the connection unusable."""
        if self._complete:
            self.usable = False
        self._reason = ""
        self._headers = []
        self._header_bytes = 0
        self._skipping = False

    def on_status(self, status):
        """Collect the reason phrase."""
        self._reason += status.decode("latin-1")

    def on_header(self, name, value):
        """Collect a header."""
        self._header_bytes += len(name) + len(value) + OBJECT_BYTES
        if self._header_bytes > MAX_HEADER_BYTES:
            raise _TooLongError("the headers are too long")
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self):
        """Store the head unless it is interim or belongs to another request."""
        status = self.parser.get_status_code()
        if self._complete or status < 200:
            self._skipping = True
            return
        head = ResponseHead(status, self._reason, self._headers)
        if self._accepts is not None and not self._accepts(head):
            self._skipping = True
            return
        self._head = head
        self._overhead = 0
        chunked = "chunked" in (head.header("transfer-encoding") or "").lower()
        has_body = status not in (204, 304)
        self._until_close = has_body and not chunked and head.length is None
        if not self.parser.should_keep_alive():
            self.usable = False
        self._wake()

    def on_body(self, body):
        """Collect a part of the body."""
        if self._skipping:
            self._skip(len(body))
            return
        self._overhead = 0
        self._chunks.append(body)
        self._buffered += len(body) + OBJECT_BYTES
        if self._buffered > MAX_UNREAD_BYTES:
            self.transport.pause_reading()
        self._wake()

    def _skip(self, size):
        """Count the bytes of a response that belongs to another request."""
        self._overhead = max(0, self._overhead - size)
        self._skipped_bytes += size
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            raise _TooLongError("responses to other requests are too long")

    def on_message_complete(self):
        """Complete the response."""
        if self._skipping:
            self._skipping = False
            return
        self._complete = True
        self._wake()

    # The exchange.

    def start(
        self, data: bytes, accepts: Callable[[ResponseHead], bool] | None = None
    ) -> None:
        """Send a request; responses that `accepts` rejects are skipped."""
        self._in_exchange = True
        self._accepts = accepts
        self._reset_response()
        self.transport.write(data)

    async def head(self) -> ResponseHead:
        """Return the response's head; raise `ExchangeError`."""
        while self._head is None:
            self._raise_if_failed()
            await self._wait()
        return self._head

    async def chunk(self) -> bytes:
        """Return the next bytes of the body, or ``b""`` at its end."""
        while not self._chunks:
            if self._complete:
                return b""
            self._raise_if_failed()
            await self._wait()
        return self._pop_chunks()

    def _pop_chunks(self):
        data = self._chunks[0] if len(self._chunks) == 1 else b"".join(self._chunks)
        self._chunks.clear()
        if self._buffered > MAX_UNREAD_BYTES and self.transport is not None:
            self.transport.resume_reading()
        self._buffered = 0
        return data

    async def body(self, max_bytes: int) -> tuple[bytes, bool]:
        """Return the rest of the body, and whether that is all of it.

        Stops reading once there are more bytes than `max_bytes`.
        """
        parts = []
        size = 0
        while size <= max_bytes:
            data = await self.chunk()
            if not data:
                return b"".join(parts), True
            parts.append(data)
            size += len(data)
        return b"".join(parts), False

    def finish(self) -> bool:
        """End the exchange; return whether the connection may be reused."""
        complete = self._complete and self.usable and not self._until_close
        self._in_exchange = False
        self._accepts = None
        if not complete or self.transport.is_closing():
            self.close()
            return False
        self.idle_until = self.loop.time() + self._idle_timeout_s()
        self.reusable_at = self.loop.time() + REUSE_DELAY_S
        return self.idle_until > self.loop.time()

    def close(self) -> None:
        """Abort the connection, which cancels a request in progress."""
        self.usable = False
        if self.transport is not None:
            self.transport.abort()

    def _idle_timeout_s(self):
        stated = self._head.header("keep-alive") if self._head else None
        for field in (stated or "").split(","):
            name, _, value = field.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                return float(value) - IDLE_MARGIN_S
        return DEFAULT_IDLE_TIMEOUT_S

    def _reset_response(self):
        self._head = None
        self._headers = []
        self._reason = ""
        self._skipping = False
        self._complete = False
        self._until_close = False
        self._chunks.clear()
        self._buffered = 0
        self._overhead = 0
        self._skipped_bytes = 0

    def _raise_if_failed(self):
        if self._failure is not None:
            raise ExchangeError(self._failure)

    def _fail(self, failure):
        if self._failure is None:
            self._failure = failure
        self._wake()

    async def _wait(self):
        self._waiter = self.loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class ConnectionPool:
    """Keeps idle connections to servers for reuse.

    `opened` counts the attempts to open a connection.
    """

    def __init__(self):
        self.idle: dict[str, list[ServerConnection]] = {}
        self.opened = 0

    def pop_idle(self, address: str) -> ServerConnection | None:
        """Remove and return a reusable idle connection, or return None."""
        now = asyncio.get_running_loop().time()
        connections = self._usable_idle(address, now)
        for index in reversed(range(len(connections))):
            if connections[index].reusable_at <= now:
                return connections.pop(index)
        return None

    def _usable_idle(self, address, now):
        """Return the usable idle connections to an address; close the others."""
        connections = self.idle.get(address, [])
        for connection in tuple(connections):
            if not connection.usable or connection.idle_until <= now:
                connections.remove(connection)
                connection.close()
        return connections

    async def connect(
        self, address: str, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> ServerConnection:
        """Open a connection; raise `ExchangeError`."""
        host, _, port = address.rpartition(":")
        self.opened += 1
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await asyncio.get_running_loop().create_connection(
                    ServerConnection, host, int(port)
                )
        except (OSError, ValueError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise ExchangeError(
                Failure.CONNECT_FAILED, str(error), refused=refused
            ) from error
        return connection

    async def acquire(self, address: str) -> ServerConnection:
        """Return an idle or a new connection; raise `ExchangeError`."""
        return self.pop_idle(address) or await self.connect(address)

    async def acquire_new(self, address: str) -> ServerConnection:
        """Return a new connection, closing an idle one; raise `ExchangeError`.

        A server may close any idle connection just as a request is written to
        it; whether the server has read the request is then unknown.
        """
        idle = self.pop_idle(address)
        if idle is not None:
            idle.close()
        return await self.connect(address)

    def release(self, address: str, connection: ServerConnection) -> None:
        """End an exchange and keep its connection for reuse if possible."""
        if connection.finish():
            self.idle.setdefault(address, []).append(connection)

    def add_idle(self, address: str, connection: ServerConnection) -> None:
        """Add a new connection as idle."""
        connection.idle_until = (
            asyncio.get_running_loop().time() + DEFAULT_IDLE_TIMEOUT_S
        )
        self.idle.setdefault(address, []).append(connection)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self.idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in tuple(self.idle):
            self.close_idle(address)

    def close_expired(self) -> None:
        """Close idle connections that are unusable or past their timeout."""
        now = asyncio.get_running_loop().time()
        for address in tuple(self.idle):
            if not self._usable_idle(address, now):
                del self.idle[address]


def _detect_dead_peer(sock):
    """Let the kernel detect a peer that no longer responds."""
    idle, interval, count = KEEP_ALIVE_PROBES
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, MAX_UNACKNOWLEDGED_MS),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, count),
    ):
        sock.setsockopt(level, option, value)


def request_bytes(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """Return an HTTP request as bytes."""
    lines = [f"{method} {target} HTTP/1.1\r\n"]
    lines.extend(f"{name}: {value}\r\n" for name, value in headers)
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(body)}\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("latin-1") + body

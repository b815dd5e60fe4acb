"""Connections from the gateway to HTTP servers, and a pool of them."""

import asyncio
import collections
import socket
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from cassiaford.gateway._messages import Headers
from cassiaford.verdict import Failure

# Bytes of an answer that may wait for their reader before reading pauses.
HIGH_WATER = 262_144
# Within one region a connection takes milliseconds; one lost packet of its
# opening is sent again after a second.
CONNECT_TIME_OUT_S = 0.5
# A peer that acknowledges nothing for this long is taken for unreachable.
UNACKNOWLEDGED_MS = 800
# Probes on an otherwise silent connection: first after, then every, and how many.
KEEP_ALIVE_PROBES = (1, 1, 2)
# A kept connection is not used in the last part of its server's time-out.
IDLE_MARGIN_S = 1.0
# A server may close a connection right after an answer without saying so; the
# word of it takes a round trip within the region.
REST_S = 0.01
# For servers that state no time-out.
DEFAULT_IDLE_S = 4.0


class ExchangeError(Exception):
    """An exchange with a backend server failed; `failure` says how."""

    def __init__(self, failure: Failure, detail: str = ""):
        super().__init__(detail or failure.text)
        self.failure = failure


@dataclass(frozen=True)
class ResponseHead:
    """The status line and headers of a response."""

    status: int
    reason: str
    headers: Headers

    def header(self, name: str) -> str | None:
        """Return the value of a header, by its lower-case name."""
        for known, value in self.headers:
            if known.lower() == name:
                return value
        return None

    @property
    def length(self) -> int | None:
        """The stated length of the body."""
        value = self.header("content-length")
        return int(value) if value is not None and value.isdigit() else None


class ServerConnection(asyncio.Protocol):
    """Carries one exchange at a time over a connection to a server."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.usable = True
        self.idle_until = 0.0
        self.rested_at = 0.0
        self._waiter: asyncio.Future | None = None
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._in_exchange = False
        self._sent = False
        self._accepts: Callable[[ResponseHead], bool] | None = None
        self._lost: Failure | None = None
        self._reset_response()

    # The transport's events.

    def connection_made(self, transport):
        """Take the connection in."""
        self.transport = transport
        _watch_peer(transport.get_extra_info("socket"))

    def data_received(self, data):
        """Parse bytes; those that no request waits for end the connection."""
        if not self._in_exchange:
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.usable = False
            if self._in_exchange and not self._complete:
                self._fail(Failure.INVALID_RESPONSE)
                self.transport.abort()

    def eof_received(self):
        """End an answer that its connection's end completes."""
        self.usable = False
        if self._in_exchange and self._until_close and not self._skipped:
            self._complete = True
            self._wake()
        return False

    def connection_lost(self, exc):
        """End the exchange."""
        self.usable = False
        if self._in_exchange and not self._complete:
            started = self._head is not None
            self._fail(
                Failure.TRUNCATED_RESPONSE if started else Failure.RESET_BEFORE_RESPONSE
            )
        self._wake()

    # The parser's events.

    def on_message_begin(self):
        """Start a response; one too many ends the connection."""
        if self._complete:
            self.usable = False
        self._reason = ""
        self._headers = []
        self._skipped = False

    def on_status(self, status):
        """Collect the reason phrase."""
        self._reason += status.decode("latin-1")

    def on_header(self, name, value):
        """Collect a header."""
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self):
        """Take in the head unless it belongs to another request."""
        status = self.parser.get_status_code()
        if self._complete or status < 200:
            self._skipped = True
            return
        head = ResponseHead(status, self._reason, self._headers)
        if self._accepts is not None and not self._accepts(head):
            self._skipped = True
            return
        self._head = head
        chunked = "chunked" in (head.header("transfer-encoding") or "").lower()
        has_body = status not in (204, 304)
        self._until_close = has_body and not chunked and head.length is None
        if not self.parser.should_keep_alive():
            self.usable = False
        self._wake()

    def on_body(self, body):
        """Collect a part of the body."""
        if self._skipped:
            return
        self._chunks.append(body)
        self._buffered += len(body)
        if self._buffered > HIGH_WATER:
            self.transport.pause_reading()
        self._wake()

    def on_message_complete(self):
        """End the response."""
        if self._skipped:
            self._skipped = False
            return
        self._complete = True
        self._wake()

    # The exchange.

    def start(
        self, data: bytes, accepts: Callable[[ResponseHead], bool] | None = None
    ) -> None:
        """Send a request; responses that are not accepted are passed over."""
        self._in_exchange = True
        self._accepts = accepts
        self._reset_response()
        self.transport.write(data)

    async def head(self) -> ResponseHead:
        """Return the head of the response once it is there."""
        while self._head is None:
            self._raise_if_lost()
            await self._wait()
        return self._head

    async def chunk(self) -> bytes:
        """Return the next bytes of the body; none are left after ``b""``."""
        while not self._chunks:
            if self._complete:
                return b""
            self._raise_if_lost()
            await self._wait()
        return self._take_chunks()

    def _take_chunks(self):
        data = self._chunks[0] if len(self._chunks) == 1 else b"".join(self._chunks)
        self._chunks.clear()
        if self._buffered > HIGH_WATER and self.transport is not None:
            self.transport.resume_reading()
        self._buffered = 0
        return data

    async def body(self) -> bytes:
        """Return the rest of the body."""
        parts = []
        while data := await self.chunk():
            parts.append(data)
        return b"".join(parts)

    def finish(self) -> bool:
        """End the exchange; return whether the connection may be kept."""
        complete = self._complete and self.usable and not self._until_close
        self._in_exchange = False
        self._accepts = None
        if not complete or self.transport.is_closing():
            self.close()
            return False
        self.idle_until = self.loop.time() + self._idle_s()
        self.rested_at = self.loop.time() + REST_S
        return self.idle_until > self.loop.time()

    def close(self) -> None:
        """Close the connection at once; a request on it is cancelled."""
        self.usable = False
        if self.transport is not None:
            self.transport.abort()

    def _idle_s(self):
        stated = self._head.header("keep-alive") if self._head else None
        for field in (stated or "").split(","):
            name, _, value = field.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                return float(value) - IDLE_MARGIN_S
        return DEFAULT_IDLE_S

    def _reset_response(self):
        self._head = None
        self._headers = []
        self._reason = ""
        self._skipped = False
        self._complete = False
        self._until_close = False
        self._chunks.clear()
        self._buffered = 0

    def _raise_if_lost(self):
        if self._lost is not None:
            raise ExchangeError(self._lost)

    def _fail(self, failure):
        if self._lost is None:
            self._lost = failure
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
    """Keeps connections to servers between exchanges.

    `opened` counts the connections that were made.
    """

    def __init__(self):
        self.idle: dict[str, list[ServerConnection]] = {}
        self.opened = 0

    def kept(self, address: str) -> ServerConnection | None:
        """Return a kept connection that is still good, or None."""
        now = asyncio.get_running_loop().time()
        connections = self._good(address, now)
        for index in reversed(range(len(connections))):
            if connections[index].rested_at <= now:
                return connections.pop(index)
        return None

    def _good(self, address, now):
        """Return the kept connections to an address, and close the others."""
        connections = self.idle.get(address, [])
        for connection in tuple(connections):
            if not connection.usable or connection.idle_until <= now:
                connections.remove(connection)
                connection.close()
        return connections

    async def connect(
        self, address: str, time_out_s: float = CONNECT_TIME_OUT_S
    ) -> ServerConnection:
        """Return a new connection; raise `ExchangeError`."""
        host, _, port = address.rpartition(":")
        self.opened += 1
        try:
            async with asyncio.timeout(time_out_s):
                _, connection = await asyncio.get_running_loop().create_connection(
                    ServerConnection, host, int(port)
                )
        except (OSError, ValueError) as error:
            raise ExchangeError(Failure.CONNECT_FAILED, str(error)) from error
        return connection

    async def connection(self, address: str) -> ServerConnection:
        """Return a kept or a new connection; raise `ExchangeError`."""
        return self.kept(address) or await self.connect(address)

    async def unused(self, address: str) -> ServerConnection:
        """Return a new connection in place of a kept one; raise `ExchangeError`.

        A server may be closing any kept connection at the moment at which a
        request is written to it, and then no one can tell whether it was read.
        """
        kept = self.kept(address)
        if kept is not None:
            kept.close()
        return await self.connect(address)

    def give_back(self, address: str, connection: ServerConnection) -> None:
        """End an exchange and keep its connection if that may be."""
        if connection.finish():
            self.idle.setdefault(address, []).append(connection)

    def add_idle(self, address: str, connection: ServerConnection) -> None:
        """Keep a new connection for the next exchange."""
        connection.idle_until = asyncio.get_running_loop().time() + DEFAULT_IDLE_S
        self.idle.setdefault(address, []).append(connection)

    def close_idle(self, address: str) -> None:
        """Close the kept connections to an address."""
        for connection in self.idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close every kept connection."""
        for address in tuple(self.idle):
            self.close_idle(address)

    def sweep(self) -> None:
        """Close the connections that were kept for long enough."""
        now = asyncio.get_running_loop().time()
        for address in tuple(self.idle):
            if not self._good(address, now):
                del self.idle[address]


def _watch_peer(sock):
    """Have the kernel find a peer that has gone silent."""
    idle, interval, count = KEEP_ALIVE_PROBES
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, count),
    ):
        sock.setsockopt(level, option, value)


def request_bytes(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """Return a request as it is sent."""
    lines = [f"{method} {target} HTTP/1.1\r\n"]
    lines.extend(f"{name}: {value}\r\n" for name, value in headers)
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(body)}\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("latin-1") + body

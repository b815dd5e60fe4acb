"""The server side of one caller's HTTP connection."""

import asyncio
from abc import ABC, abstractmethod
from http import HTTPStatus

import httptools

from cassiaford.gateway._configuration import CallerLimits
from cassiaford.gateway._messages import HttpRequest

# Bytes buffered beyond the request in progress; reading pauses when a caller
# sends more.
MAX_PIPELINED_BYTES = 65_536
_BODYLESS = frozenset({204, 304})


class RequestHandler(ABC):
    """Handles the requests on an HTTP server's connections."""

    @property
    @abstractmethod
    def limits(self) -> CallerLimits:
        """The limits on what a caller may send."""

    @property
    @abstractmethod
    def closing(self) -> bool:
        """Whether to close connections after their responses."""

    @abstractmethod
    async def handle(self, request: HttpRequest, connection: "CallerConnection"):
        """Send a complete response, or abort the connection.

        The task is cancelled when the caller disconnects.
        """


class CallerConnection(asyncio.Protocol):
    """Parses requests one after the other and writes their responses."""

    def __init__(self, handler: RequestHandler, open_connections: set):
        self.handler = handler
        self.open_connections = open_connections
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.task: asyncio.Task | None = None
        self.disconnected = False
        self._pipelined = b""
        self._paused_reading = False
        self._receive_started_at = 0.0
        self._keep_alive = True
        self._chunked = False
        self._bodyless = False
        self._writable: asyncio.Future | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.head_sent = False
        self._reset_request()

    # Transport callbacks.

    def connection_made(self, transport):
        """Record the connection and wait for its first request."""
        self.transport = transport
        self.open_connections.add(self)
        self._start_idle_timer()

    def connection_lost(self, exc):
        """Cancel the request in progress."""
        self.open_connections.discard(self)
        self.disconnected = True
        self._stop_timer()
        self.resume_writing()
        if self.task is not None:
            self.task.cancel()

    def eof_received(self):
        """Close the transport: a caller that closes its side has disconnected."""
        return False

    def pause_writing(self):
        """Make `drain` wait."""
        self._writable = self.loop.create_future()

    def resume_writing(self):
        """Let `drain` continue."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def data_received(self, data):
        """Parse bytes, or buffer them while a request is in progress."""
        if self.task is not None:
            self._pipelined += data
            if len(self._pipelined) > MAX_PIPELINED_BYTES and not self._paused_reading:
                self._paused_reading = True
                self.transport.pause_reading()
            return
        if not self._receiving:
            self._receiving = True
            self._receive_started_at = self.loop.time()
            self._start_timer(self.handler.limits.header_timeout_s)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.task is None and not self._refused:
                self._refuse(HTTPStatus.BAD_REQUEST)

    # Parser callbacks.

    def on_url(self, url):
        """Collect a part of the request target."""
        self._url += url
        self._count_header_bytes(len(url))

    def on_header(self, name, value):
        """Collect a header."""
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))
        self._count_header_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self):
        """Send ``100 Continue`` to a caller that expects it."""
        for name, value in self._headers:
            if name.lower() == "expect" and value.lower() == "100-continue":
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body):
        """Collect a part of the body."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self.handler.limits.body_bytes and not self._refused:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self):
        """Start handling the request."""
        if self._refused:
            return
        if self.task is not None:
            # A second request in the same bytes is not handled.
            self._refuse(HTTPStatus.BAD_REQUEST)
            return
        self._stop_timer()
        self._keep_alive = self.parser.should_keep_alive()
        self._http_1_0 = self.parser.get_http_version() == "1.0"
        request = HttpRequest(
            method=self.parser.get_method().decode("ascii"),
            target=self._url.decode("latin-1"),
            headers=self._headers,
            body=b"".join(self._body),
            received_at=self._receive_started_at,
        )
        self.task = self.loop.create_task(self._handle(request))

    # Responses.

    def send_head(
        self, status: int, reason: str, headers, length: int | None = None
    ) -> None:
        """Write the head of a response; without a length, the body is chunked."""
        self.head_sent = True
        self._bodyless = status in _BODYLESS
        self._chunked = length is None and not self._http_1_0 and not self._bodyless
        if (self._http_1_0 and length is None) or self.handler.closing:
            self._keep_alive = False
        lines = [f"HTTP/1.1 {status} {reason}\r\n"]
        lines.extend(f"{name}: {value}\r\n" for name, value in headers)
        if self._chunked:
            lines.append("Transfer-Encoding: chunked\r\n")
        elif length is not None and not self._bodyless:
            lines.append(f"Content-Length: {length}\r\n")
        if not self._keep_alive:
            lines.append("Connection: close\r\n")
        lines.append("\r\n")
        self.transport.write("".join(lines).encode("latin-1"))

    def send_body(self, data: bytes) -> None:
        """Write a part of the body."""
        if not data or self._bodyless:
            return
        if self._chunked:
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self.transport.write(data)

    def end(self) -> None:
        """Write the end of the response."""
        if self._chunked:
            self.transport.write(b"0\r\n\r\n")
        self._response_complete = True

    def send(self, status: int, headers, body: bytes = b"") -> None:
        """Write a complete response."""
        self.send_head(status, HTTPStatus(status).phrase, headers, len(body))
        self.send_body(body)
        self.end()

    async def drain(self) -> None:
        """Wait until the transport's write buffer has room."""
        if self._writable is not None:
            await self._writable

    def abort(self) -> None:
        """Abort the connection, so that the caller sees a truncated response."""
        self._keep_alive = False
        if self.transport is not None:
            self.transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress or arriving."""
        if self.task is None and not self._receiving and self.transport:
            self.transport.close()

    async def _handle(self, request):
        try:
            await self.handler.handle(request, self)
        finally:
            self.task = None
            self._next_request()

    def _next_request(self):
        if self.disconnected:
            return
        if not self._response_complete:
            self.abort()
            return
        if not self._keep_alive or self.handler.closing:
            self.transport.close()
            return
        self._reset_request()
        self._start_idle_timer()
        if self._paused_reading:
            self._paused_reading = False
            self.transport.resume_reading()
        if self._pipelined:
            data, self._pipelined = self._pipelined, b""
            self.data_received(data)

    def _reset_request(self):
        self._url = b""
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._header_bytes = 0
        self._receiving = False
        self._refused = False
        self._response_complete = False
        self._http_1_0 = False
        self.head_sent = False

    def _count_header_bytes(self, count):
        self._header_bytes += count
        too_large = self._header_bytes > self.handler.limits.header_bytes
        if too_large and not self._refused:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _refuse(self, status):
        self._refused = True
        self._keep_alive = False
        self.send(status, [])
        self.transport.close()

    def _start_idle_timer(self):
        self._start_timer(self.handler.limits.idle_timeout_s)

    def _start_timer(self, delay_s):
        self._stop_timer()
        self._timer = self.loop.call_later(delay_s, self._on_timeout)

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self):
        if self._receiving and self.task is None:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.close_if_idle()


async def listen(
    address: str, handler: RequestHandler, open_connections: set
) -> asyncio.Server:
    """Start an HTTP server on an address of the form ``host:port``."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: CallerConnection(handler, open_connections),
        host,
        int(port),
        backlog=512,
        reuse_address=True,
    )

"""The connection of one caller: requests in, answers out."""

import asyncio
from abc import ABC, abstractmethod
from http import HTTPStatus

import httptools

from cassiaford.gateway._configuration import CallerLimits
from cassiaford.gateway._messages import HttpRequest

# Bytes of a next request that are kept while one is answered; a caller that
# sends more is not read until then.
PIPELINE_BYTES = 65_536
_BODYLESS = frozenset({204, 304})


class RequestHandler(ABC):
    """Answers requests on the connections of an HTTP server."""

    @property
    @abstractmethod
    def limits(self) -> CallerLimits:
        """What a caller may send."""

    @property
    @abstractmethod
    def closing(self) -> bool:
        """Whether connections are to be closed after their answers."""

    @abstractmethod
    async def handle(self, request: HttpRequest, connection: "CallerConnection"):
        """Answer a request in full, or abort its connection.

        It is cancelled when the caller leaves.
        """


class CallerConnection(asyncio.Protocol):
    """Parses requests one after the other and writes their answers."""

    def __init__(self, handler: RequestHandler, open_connections: set):
        self.handler = handler
        self.open_connections = open_connections
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.task: asyncio.Task | None = None
        self.peer_left = False
        self._held = b""
        self._paused_reading = False
        self._started_at = 0.0
        self._keep_alive = True
        self._chunked = False
        self._without_body = False
        self._writable: asyncio.Future | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.head_sent = False
        self._reset_request()

    # The transport's events.

    def connection_made(self, transport):
        """Take the connection in."""
        self.transport = transport
        self.open_connections.add(self)
        self._await_request()

    def connection_lost(self, exc):
        """Cancel what the caller no longer waits for."""
        self.open_connections.discard(self)
        self.peer_left = True
        self._stop_timer()
        self.resume_writing()
        if self.task is not None:
            self.task.cancel()

    def eof_received(self):
        """Close; a caller that closes its side has left."""
        return False

    def pause_writing(self):
        """Make `drain` wait."""
        self._writable = self.loop.create_future()

    def resume_writing(self):
        """Let `drain` go on."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def data_received(self, data):
        """Parse bytes, or keep them while a request is answered."""
        if self.task is not None:
            self._held += data
            if len(self._held) > PIPELINE_BYTES and not self._paused_reading:
                self._paused_reading = True
                self.transport.pause_reading()
            return
        if not self._receiving:
            self._receiving = True
            self._started_at = self.loop.time()
            self._start_timer(self.handler.limits.header_timeout_s)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.task is None and not self._refused:
                self._refuse(HTTPStatus.BAD_REQUEST)

    # The parser's events.

    def on_url(self, url):
        """Collect the target."""
        self._url += url
        self._count_header(len(url))

    def on_header(self, name, value):
        """Collect a header."""
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))
        self._count_header(len(name) + len(value) + 4)

    def on_headers_complete(self):
        """Tell a caller that waits for leave to send its body to go on."""
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
        """Start answering the request."""
        if self._refused:
            return
        if self.task is not None:
            # A second request in the same bytes; it was not passed on.
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
            received_at=self._started_at,
        )
        self.task = self.loop.create_task(self._answer(request))

    # Answers.

    def send_head(
        self, status: int, reason: str, headers, length: int | None = None
    ) -> None:
        """Write the head of an answer; of no stated length, it is chunked."""
        self.head_sent = True
        self._without_body = status in _BODYLESS
        self._chunked = length is None and not self._http_1_0 and not self._without_body
        if (self._http_1_0 and length is None) or self.handler.closing:
            self._keep_alive = False
        lines = [f"HTTP/1.1 {status} {reason}\r\n"]
        lines.extend(f"{name}: {value}\r\n" for name, value in headers)
        if self._chunked:
            lines.append("Transfer-Encoding: chunked\r\n")
        elif length is not None and not self._without_body:
            lines.append(f"Content-Length: {length}\r\n")
        if not self._keep_alive:
            lines.append("Connection: close\r\n")
        lines.append("\r\n")
        self.transport.write("".join(lines).encode("latin-1"))

    def send_body(self, data: bytes) -> None:
        """Write a part of the body."""
        if not data or self._without_body:
            return
        if self._chunked:
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self.transport.write(data)

    def end(self) -> None:
        """Write the end of the answer."""
        if self._chunked:
            self.transport.write(b"0\r\n\r\n")
        self._complete = True

    def send(self, status: int, headers, body: bytes = b"") -> None:
        """Write a whole answer."""
        self.send_head(status, HTTPStatus(status).phrase, headers, len(body))
        self.send_body(body)
        self.end()

    async def drain(self) -> None:
        """Wait until the caller has read enough to be sent more."""
        if self._writable is not None:
            await self._writable

    def abort(self) -> None:
        """Break the connection off, so that the answer is seen to be cut."""
        self._keep_alive = False
        if self.transport is not None:
            self.transport.abort()

    def close_if_idle(self) -> None:
        """Close a connection on which nothing is asked."""
        if self.task is None and not self._receiving and self.transport:
            self.transport.close()

    async def _answer(self, request):
        try:
            await self.handler.handle(request, self)
        finally:
            self.task = None
            self._next_request()

    def _next_request(self):
        if self.peer_left:
            return
        if not self._complete:
            self.abort()
            return
        if not self._keep_alive or self.handler.closing:
            self.transport.close()
            return
        self._reset_request()
        self._await_request()
        if self._paused_reading:
            self._paused_reading = False
            self.transport.resume_reading()
        if self._held:
            held, self._held = self._held, b""
            self.data_received(held)

    def _reset_request(self):
        self._url = b""
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._header_bytes = 0
        self._receiving = False
        self._refused = False
        self._complete = False
        self._http_1_0 = False
        self.head_sent = False

    def _count_header(self, count):
        self._header_bytes += count
        too_large = self._header_bytes > self.handler.limits.header_bytes
        if too_large and not self._refused:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _refuse(self, status):
        self._refused = True
        self._keep_alive = False
        self.send(status, [])
        self.transport.close()

    def _await_request(self):
        self._start_timer(self.handler.limits.idle_timeout_s)

    def _start_timer(self, delay_s):
        self._stop_timer()
        self._timer = self.loop.call_later(delay_s, self._timed_out)

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _timed_out(self):
        if self._receiving and self.task is None:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.close_if_idle()


async def listen(
    address: str, handler: RequestHandler, open_connections: set
) -> asyncio.Server:
    """Open an HTTP server on an address of the form ``host:port``."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: CallerConnection(handler, open_connections),
        host,
        int(port),
        backlog=512,
        reuse_address=True,
    )

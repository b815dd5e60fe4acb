"""The HTTP server for callers, based on cheroot.

A cheroot worker thread handles a request until it is submitted to the dispatcher
together with the caller's socket; the thread is then free. cheroot has two
pitfalls. Closing a socket that a worker uses kills the worker thread, so a
detached socket is a duplicate, and closing never raises. And cheroot shuts a
connection down before closing it, which would also end the duplicate, unless the
connection's `linger` flag is set.
"""

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Sequence

from cheroot import errors, server

from cassiaford.pipeline import (
    Header,
    RawRequest,
    http_head,
    refusal_body,
    refusal_headers,
)
from cassiaford.settings import HttpSettings
from cassiaford.verdict import Refusal, RefusalReason, refuse

READ_CHUNK_BYTES = 64 * 1024
RECEIVE_CHECK_INTERVAL_S = 0.25
# Idle persistent connections are closed after this time.
KEEP_ALIVE_TIMEOUT_S = 30
_REASONS_BY_STATUS = {
    "400": RefusalReason.BAD_REQUEST,
    "405": RefusalReason.METHOD_NOT_ALLOWED,
    "408": RefusalReason.REQUEST_TIMEOUT,
    "413": RefusalReason.BODY_TOO_LARGE,
    "414": RefusalReason.HEADERS_TOO_LARGE,
    "500": RefusalReason.INTERNAL,
    "501": RefusalReason.BAD_REQUEST,
    "505": RefusalReason.BAD_REQUEST,
}


class HttpExchange:
    """One request, and the methods to respond to it."""

    def __init__(self, request: "_Request"):
        self.request = request
        self.responded = False

    def receive(self) -> RawRequest | Refusal:
        """Return the request with its body, or a refusal if the body is invalid."""
        request = self.request
        if request.declared_length() is None:
            return refuse(RefusalReason.BAD_REQUEST, "malformed Content-Length")
        try:
            body = request.rfile.read()
        except errors.MaxSizeExceeded:
            return refuse(RefusalReason.BODY_TOO_LARGE, "the body is too large")
        except (OSError, ValueError):
            return _incomplete_request(request)
        if len(body) < request.declared_length():
            return _incomplete_request(request)
        request.conn.finish_receiving()
        return RawRequest(
            method=request.method.decode("latin-1"),
            target=request.uri.decode("latin-1"),
            headers=request.header_list(),
            received_at=request.conn.receive_started_at,
            body=body,
        )

    def respond(self, status: int, headers: Sequence[Header], body: bytes) -> None:
        """Send a complete response; the connection may be kept open."""
        self.responded = True
        self.request.send_response(status, headers, body)

    def refuse(self, refusal: Refusal, request_id: str) -> None:
        """Send a refusal."""
        headers = refusal_headers(refusal, request_id)
        body = refusal_body(refusal, request_id)
        self.respond(refusal.reason.status, headers, body)

    def detach(self) -> socket.socket:
        """Return a duplicate of the caller's socket, which the new owner must close."""
        self.responded = True
        connection = self.request.conn
        duplicate = connection.socket.dup()
        connection.linger = True
        self.request.close_connection = True
        self.request.sent_headers = True
        return duplicate


class _Request(server.HTTPRequest):
    """A request whose errors are sent as JSON in the format of the OpenAI API."""

    # Empty until the request line has been read.
    method = b""

    def simple_response(self, status, msg=""):
        """Send an error that cheroot itself detected."""
        self.close_connection = True
        refusal = self._refusal_for(str(status), msg)
        body = refusal_body(refusal, "")
        headers = refusal_headers(refusal, "")
        self.send_response(refusal.reason.status, headers, body)

    def send_response(self, status, headers, body):
        """Send a head and a body; ignore a caller that has disconnected."""
        self.sent_headers = True
        closing = self.close_connection or self.server.draining
        self.close_connection = closing
        head = http_head(
            status,
            (
                *headers,
                Header("Content-Length", str(len(body))),
                Header("Connection", "close" if closing else "keep-alive"),
            ),
        )
        try:
            self.conn.wfile.write(head + (b"" if self.method == b"HEAD" else body))
        except OSError:
            self.close_connection = True

    def _refusal_for(self, status, msg):
        if self.conn.timed_out:
            return _incomplete_request(self)
        reason = _REASONS_BY_STATUS.get(status[:3], RefusalReason.BAD_REQUEST)
        return refuse(reason, str(msg) or status[4:])

    def declared_length(self):
        """Return the Content-Length: 0 if absent, None if malformed."""
        text = self.inheaders.get(b"Content-Length", b"0").strip()
        if not text.isdigit() or (self.chunked_read and text != b"0"):
            return None
        return int(text)

    def header_list(self):
        """Return the headers with their names in lower case."""
        return tuple(
            Header(name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in self.inheaders.items()
        )


class _Connection(server.HTTPConnection):
    """A connection that records when it started to receive a request."""

    RequestHandlerClass = _Request
    receive_started_at = 0.0
    timed_out = False

    def communicate(self):
        """Serve one request."""
        self.receive_started_at = time.monotonic()
        self.server.receiving_connections.add(self)
        try:
            return super().communicate()
        finally:
            self.finish_receiving()

    def finish_receiving(self):
        """Exempt this connection from the receive timeout until its next request."""
        self.server.receiving_connections.discard(self)

    def stop_receiving(self):
        """Unblock the thread that reads from this connection."""
        self.timed_out = True
        try:
            self.socket.shutdown(socket.SHUT_RD)
        except OSError:
            self.finish_receiving()

    def close(self):
        """Close the connection without raising, which would end the worker thread."""
        with contextlib.suppress(OSError):
            super().close()
        # With `linger` set, only garbage collection would close this socket, and
        # the caller would not see the end of its stream until then.
        with contextlib.suppress(OSError):
            self.socket.close()


class _Gateway(server.Gateway):
    """Passes each request to the server's handler."""

    def respond(self):
        """Call the handler for the request."""
        exchange = HttpExchange(self.req)
        self.req.server.handle(exchange)
        if not exchange.responded:
            refusal = refuse(RefusalReason.INTERNAL, "the request was not handled")
            exchange.refuse(refusal, "")


class CallerServer(server.HTTPServer):
    """Serves callers and passes each request to a handler.

    A request that takes longer than `receive_timeout_s` to arrive is refused,
    even if its bytes keep arriving.
    """

    ConnectionClass = _Connection

    def __init__(
        self,
        settings: HttpSettings,
        handle: Callable[[HttpExchange], None],
        on_error: Callable[[str], None],
    ):
        host, _, port = settings.address.rpartition(":")
        super().__init__(
            (host, int(port)),
            _Gateway,
            minthreads=settings.threads,
            maxthreads=settings.threads,
            server_name="cassiaford",
        )
        self.handle = handle
        self.on_error = on_error
        self.draining = False
        self.receiving_connections = set()
        self.receive_timeout_s = settings.receive_timeout_s
        self.timeout = KEEP_ALIVE_TIMEOUT_S
        self.shutdown_timeout = 1
        self.request_queue_size = 512
        self.max_request_body_size = settings.max_body_bytes
        self.max_request_header_size = settings.max_header_bytes
        self.threads = []

    def start_serving(self) -> None:
        """Open the port and serve in background threads."""
        self.prepare()
        for target in (self.serve, self._check_receive_timeouts):
            thread = threading.Thread(target=target, daemon=True)
            thread.start()
            self.threads.append(thread)

    def stop_serving(self) -> None:
        """Close the port; connections in use are served to their end."""
        if self.ready:
            self.stop()

    def error_log(self, msg="", level=20, traceback=False):
        """Report an error that cheroot logged."""
        if level >= 40:
            self.on_error(str(msg)[:500])

    def _check_receive_timeouts(self):
        while self.ready:
            time.sleep(RECEIVE_CHECK_INTERVAL_S)
            earliest_start = time.monotonic() - self.receive_timeout_s
            for connection in tuple(self.receiving_connections):
                if connection.receive_started_at < earliest_start:
                    connection.stop_receiving()


def _incomplete_request(request):
    request.close_connection = True
    return refuse(
        RefusalReason.REQUEST_TIMEOUT,
        "the request was not received completely",
    )

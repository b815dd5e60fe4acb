"""The HTTP server towards callers, by cheroot.

A cheroot thread carries a request up to the point where it is handed to the
dispatcher together with the caller's socket; the thread is then free. Two
traits of cheroot matter here. A socket closed under a worker kills the worker,
so a detached socket is a duplicate and closing never raises. And cheroot shuts
a connection down when it closes it, which would cut the duplicate too, unless
the connection lingers.
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
SWEEP_INTERVAL_S = 0.25
# An idle kept connection is closed after this time.
KEEP_ALIVE_S = 30
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


class Exchange:
    """One request and the means to answer it."""

    def __init__(self, request: "_Request"):
        self.request = request
        self.answered = False

    def receive(self) -> RawRequest | Refusal:
        """Return the request with its body, or a refusal of a bad body."""
        request = self.request
        if request.declared_length() is None:
            return refuse(RefusalReason.BAD_REQUEST, "malformed Content-Length")
        try:
            body = request.rfile.read()
        except errors.MaxSizeExceeded:
            return refuse(RefusalReason.BODY_TOO_LARGE, "the body is too large")
        except (OSError, ValueError):
            return _half_a_request(request)
        if len(body) < request.declared_length():
            return _half_a_request(request)
        request.conn.finish_receiving()
        return RawRequest(
            method=request.method.decode("latin-1"),
            target=request.uri.decode("latin-1"),
            headers=request.header_list(),
            received_at=request.conn.receiving_since,
            body=body,
        )

    def answer(self, status: int, headers: Sequence[Header], body: bytes) -> None:
        """Send a whole answer; the connection may be kept."""
        self.answered = True
        self.request.send_answer(status, headers, body)

    def refuse(self, refusal: Refusal, request_id: str) -> None:
        """Send a refusal."""
        headers = refusal_headers(refusal, request_id)
        body = refusal_body(refusal, request_id)
        self.answer(refusal.reason.status, headers, body)

    def detach(self) -> socket.socket:
        """Return the caller's socket; the caller of this method owns it."""
        self.answered = True
        connection = self.request.conn
        duplicate = connection.socket.dup()
        connection.linger = True
        self.request.close_connection = True
        self.request.sent_headers = True
        return duplicate


class _Request(server.HTTPRequest):
    """A request whose errors have the interface's JSON form."""

    # Empty until the request line has been read.
    method = b""

    def simple_response(self, status, msg=""):
        """Send an error that cheroot itself found."""
        self.close_connection = True
        refusal = self._refusal_for(str(status), msg)
        body = refusal_body(refusal, "")
        headers = refusal_headers(refusal, "")
        self.send_answer(refusal.reason.status, headers, body)

    def send_answer(self, status, headers, body):
        """Send a head and a body; a caller that is gone is no error."""
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
            return _half_a_request(self)
        reason = _REASONS_BY_STATUS.get(status[:3], RefusalReason.BAD_REQUEST)
        return refuse(reason, str(msg) or status[4:])

    def declared_length(self):
        """Return the Content-Length, 0 without one, None if it is malformed."""
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
    """A connection that knows since when it has been receiving a request."""

    RequestHandlerClass = _Request
    receiving_since = 0.0
    timed_out = False

    def communicate(self):
        """Serve one request."""
        self.receiving_since = time.monotonic()
        self.server.receiving.add(self)
        try:
            return super().communicate()
        finally:
            self.finish_receiving()

    def finish_receiving(self):
        """Take note that the whole request has arrived."""
        self.server.receiving.discard(self)

    def stop_receiving(self):
        """End the wait of the thread that reads from this connection."""
        self.timed_out = True
        try:
            self.socket.shutdown(socket.SHUT_RD)
        except OSError:
            self.finish_receiving()

    def close(self):
        """Close the connection; never raise, since that ends the worker."""
        with contextlib.suppress(OSError):
            super().close()
        # A lingering socket is otherwise closed by the garbage collector, and
        # the caller would wait for the end of its stream until then.
        with contextlib.suppress(OSError):
            self.socket.close()


class _Gateway(server.Gateway):
    """Hands each request to the server's handler."""

    def respond(self):
        """Have the request handled."""
        exchange = Exchange(self.req)
        self.req.server.handle(exchange)
        if not exchange.answered:
            refusal = refuse(RefusalReason.INTERNAL, "the request was not handled")
            exchange.refuse(refusal, "")


class CallerServer(server.HTTPServer):
    """Serves callers and hands each request to a handler.

    A request that takes longer than `receive_timeout_s` to arrive is refused,
    however steadily its bytes come in.
    """

    ConnectionClass = _Connection

    def __init__(
        self,
        settings: HttpSettings,
        handle: Callable[[Exchange], None],
        report: Callable[[str], None],
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
        self.report = report
        self.draining = False
        self.receiving = set()
        self.receive_timeout_s = settings.receive_timeout_s
        self.timeout = KEEP_ALIVE_S
        self.shutdown_timeout = 1
        self.request_queue_size = 512
        self.max_request_body_size = settings.max_body_bytes
        self.max_request_header_size = settings.max_header_bytes
        self.threads = []

    def start_serving(self) -> None:
        """Open the port and serve in background threads."""
        self.prepare()
        for target in (self.serve, self._sweep):
            thread = threading.Thread(target=target, daemon=True)
            thread.start()
            self.threads.append(thread)

    def stop_serving(self) -> None:
        """Close the port; connections that are being served go on."""
        if self.ready:
            self.stop()

    def error_log(self, msg="", level=20, traceback=False):
        """Report an error that cheroot met."""
        if level >= 40:
            self.report(str(msg)[:500])

    def _sweep(self):
        while self.ready:
            time.sleep(SWEEP_INTERVAL_S)
            oldest = time.monotonic() - self.receive_timeout_s
            for connection in tuple(self.receiving):
                if connection.receiving_since < oldest:
                    connection.stop_receiving()


def _half_a_request(request):
    request.close_connection = True
    return refuse(RefusalReason.REQUEST_TIMEOUT, "the request did not arrive whole")

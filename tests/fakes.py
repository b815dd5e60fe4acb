"""A scripted backend server and a caller for tests, over real sockets."""

import contextlib
import json
import queue
import socket
import threading
import time
from dataclasses import dataclass, field

from cassiaford.config import (
    Customer,
    Model,
    Route,
)
from cassiaford.engines import cache_scope
from cassiaford.pipeline._messages import (
    AdmittedRequest,
    AuthenticatedRequest,
    CallerRequest,
    Header,
    ModelCall,
    ServiceClass,
)

HANG_TIMEOUT_S = 20.0
MODEL = Model("tare", "v1")
CUSTOMER = Customer("academy", rate=1e6, burst=1e6, models=("tare",))
SERVICE_ROUTE = Route("/bookings", "shop", repeatable=False)


@dataclass
class ReceivedRequest:
    """A request as a fake server received it."""

    line: str
    headers: dict
    body: bytes

    @property
    def offset(self):
        text = self.headers.get("x-resume-offset")
        return None if text is None else int(text)


class FakeConnection:
    """The server's side of one connection, on which a script responds."""

    def __init__(self, sock, request):
        self.sock = sock
        self.request = request

    def send(self, data):
        self.sock.sendall(data)

    def head(self, status=200, framing="Transfer-Encoding: chunked", **headers):
        lines = [f"HTTP/1.1 {status} X", framing]
        lines += [f"{name.replace('_', '-')}: {headers[name]}" for name in headers]
        self.send("\r\n".join([*lines, "", ""]).encode())

    def stream_head(self, **headers):
        self.head(content_type="text/event-stream", **headers)

    def chunk(self, data):
        self.send(b"%x\r\n%b\r\n" % (len(data), data))

    def events(self, *events):
        for event in events:
            self.chunk(event)

    def end(self):
        self.send(b"0\r\n\r\n")

    def respond(self, status=200, body=b"{}", **headers):
        self.head(status, f"Content-Length: {len(body)}", **headers)
        self.send(body)

    def reset(self):
        """Close with a TCP reset, so that the peer's next read fails."""
        zero_linger = b"\x01\0\0\0\0\0\0\0"
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, zero_linger)
        self.sock.close()

    def wait_closed(self):
        """Send nothing and wait until the peer closes."""
        with contextlib.suppress(OSError):
            while self.sock.recv(4096):
                pass


class FakeServer:
    """Accepts connections and runs the next script on each, repeating the last.

    Cancellations go to the queue `cancelled` and run no script.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.cancelled = queue.Queue()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.socks = []
        self.lock = threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stop listening and close all connections."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in self.socks:
            sock.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.socks.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        with contextlib.suppress(OSError), sock:
            request = read_request(sock)
            if request.line.startswith("DELETE"):
                self.cancelled.put(request.line.split()[1].rsplit("/", 1)[1])
                sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
                return
            with self.lock:
                self.requests.append(request)
                many = len(self.scripts) > 1
                script = self.scripts.pop(0) if many else self.scripts[0]
            script(FakeConnection(sock, request))


def read_request(sock):
    """Read one HTTP request from a socket."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += _receive(sock)
    head, _, body = data.partition(b"\r\n\r\n")
    line, *rest = head.decode("latin-1").split("\r\n")
    pairs = (text.split(": ", 1) for text in rest)
    headers = {name.lower(): value for name, value in pairs}
    while len(body) < int(headers.get("content-length", 0)):
        body += _receive(sock)
    return ReceivedRequest(line, headers, body)


def _receive(sock):
    data = sock.recv(65536)
    if not data:
        raise ConnectionError("closed")
    return data


def unused_address():
    """Return an address on which nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def token_event(number, text=None, finish=None):
    """Return one event of a streamed completion."""
    choice = {"index": 0, "text": text or f"t{number} ", "finish_reason": finish}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


def usage_event(prompt=5, output=7):
    """Return the usage event at the end of a stream."""
    counts = {"prompt_tokens": prompt, "completion_tokens": output}
    return b"data: " + json.dumps({"choices": [], "usage": counts}).encode() + b"\n\n"


DONE = b"data: [DONE]\n\n"


def full_stream(*events, **headers):
    """Return a script that sends a complete stream."""

    def script(connection):
        connection.stream_head(**headers)
        connection.events(*events, DONE)
        connection.end()

    return script


@dataclass
class Response:
    """The response that a caller read until its connection ended."""

    raw: bytes
    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False

    def error(self):
        """Return the error of a refusal or of a truncated stream."""
        text = self.body.rpartition(b"data: ")[2]
        return json.loads(text)["error"]


def parse_response(raw):
    """Parse the bytes that a caller received."""
    if not raw:
        return Response(raw)
    head, _, rest = raw.partition(b"\r\n\r\n")
    line, *lines = head.decode("latin-1").split("\r\n")
    headers = {k.lower(): v for k, v in (text.split(": ", 1) for text in lines)}
    status = int(line.split()[1])
    if "transfer-encoding" in headers:
        body, complete = _decode_chunks(rest)
    else:
        body, complete = rest, len(rest) == int(headers.get("content-length", 0))
    return Response(raw, status, headers, body, complete)


def _decode_chunks(data):
    body = bytearray()
    start = 0
    while (end := data.find(b"\r\n", start)) > 0:
        length = int(data[start:end], 16)
        start = end + 2 + length
        if length == 0:
            return bytes(body), data[end:] == b"\r\n\r\n"
        body += data[end + 2 : start]
        start += 2
    return bytes(body), False


class Caller:
    """A fake caller, whose connection's other end is given to the dispatcher."""

    def __init__(self, buffer_bytes=None):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.sock = socket.socket()
            if buffer_bytes:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
            self.sock.connect(listener.getsockname())
            self.dispatcher_socket, _ = listener.accept()
        if buffer_bytes:
            self.dispatcher_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes
            )
        self.sock.settimeout(HANG_TIMEOUT_S)
        self.raw = bytearray()

    def read_until(self, marker):
        """Read until some bytes have been received."""
        while marker not in self.raw:
            self.raw += _receive(self.sock)

    def read_response(self):
        """Read until the connection ends and return the response."""
        with contextlib.suppress(ConnectionResetError):
            while data := self.sock.recv(65536):
                self.raw += data
        self.sock.close()
        return parse_response(bytes(self.raw))


def model_request(
    number=1, streaming=True, repeatable=True, temperature=0, wait_s=5.0, **fields
):
    """Return an admitted completion request."""
    body = {"model": "tare", "prompt": "p", "stream": streaming, **fields}
    if temperature is not None:
        body["temperature"] = temperature
    scope = cache_scope("academy", "tare", "v1")
    call = ModelCall(MODEL, body, streaming, 5, 16, scope, ())
    return _admitted(
        f"r{number}",
        _caller_request(f"r{number}", "POST", "/v1/completions", json.dumps(body)),
        repeatable,
        wait_s,
        call=call,
        model_path="/v1/completions",
    )


def service_request(
    number=1, method="POST", repeatable=False, headers=(), target="/bookings?day=1"
):
    """Return an admitted request to a plain service."""
    caller = _caller_request(f"s{number}", method, target, "{}", headers)
    return _admitted(f"s{number}", caller, repeatable, 5.0, route=SERVICE_ROUTE)


def _caller_request(request_id, method, target, body, headers=()):
    return CallerRequest(
        request_id=request_id,
        received_at=time.monotonic(),
        method=method,
        target=target,
        path=target.partition("?")[0],
        headers=tuple(Header(*pair) for pair in headers),
        body=body.encode(),
        key="cf-secret",
    )


def _admitted(request_id, caller, repeatable, wait_s, call=None, **destination):
    return AdmittedRequest(
        authenticated=AuthenticatedRequest(caller, CUSTOMER, 1, **destination),
        service_class=ServiceClass.STANDARD,
        repeatable=repeatable,
        deadline=caller.received_at + wait_s,
        charged_tokens=10,
        call=call,
    )

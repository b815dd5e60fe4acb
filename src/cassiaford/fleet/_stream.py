"""Request and reply over a TCP connection, each a length-prefixed frame."""

import selectors
import socket
import struct
import time
from collections.abc import Callable

LENGTH_PREFIX = struct.Struct("!I")
MAX_REQUEST_BYTES = 64 * 1024
MAX_REPLY_BYTES = 64 * 1024 * 1024
MAX_CONNECTIONS = 64
CONNECTION_TIMEOUT_S = 5.0
RECEIVE_BYTES = 65_536


class StreamError(OSError):
    """A request over TCP that got no valid reply."""


def call(address: tuple[str, int], frame: bytes, timeout_s: float) -> bytes:
    """Send a request frame and return the reply frame.

    Raises `OSError` if no reply came within the timeout.
    """
    deadline = time.monotonic() + timeout_s
    with socket.create_connection(address, timeout_s) as connection:
        connection.sendall(LENGTH_PREFIX.pack(len(frame)) + frame)
        (length,) = LENGTH_PREFIX.unpack(
            _read(connection, LENGTH_PREFIX.size, deadline)
        )
        if length > MAX_REPLY_BYTES:
            raise StreamError("reply too large")
        return _read(connection, length, deadline)


def _read(connection, count, deadline):
    received = bytearray()
    while len(received) < count:
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("no reply within the timeout")
        connection.settimeout(remaining_s)
        chunk = connection.recv(min(RECEIVE_BYTES, count - len(received)))
        if not chunk:
            raise StreamError("connection closed before the reply")
        received += chunk
    return bytes(received)


class ReplyServer:
    """Replies to requests in a selector loop without blocking it."""

    def __init__(
        self,
        listener: socket.socket,
        selector: selectors.BaseSelector,
        handle_request: Callable[[bytes], bytes | None],
    ):
        self.listener = listener
        self.selector = selector
        self.handle_request = handle_request
        self.connections: set[_Connection] = set()
        selector.register(listener, selectors.EVENT_READ, self._accept)

    def expire(self, now: float) -> None:
        """Close the connections whose deadline has passed."""
        for connection in [c for c in self.connections if c.deadline <= now]:
            connection.close()

    def close(self) -> None:
        """Close the listener and all connections."""
        self.selector.unregister(self.listener)
        self.listener.close()
        for connection in list(self.connections):
            connection.close()

    def _accept(self, _mask):
        try:
            accepted, _ = self.listener.accept()
        except OSError:
            return
        if len(self.connections) >= MAX_CONNECTIONS:
            accepted.close()
            return
        accepted.setblocking(False)
        _Connection(accepted, self)


class _Connection:
    """An accepted connection with one request and one reply."""

    def __init__(self, connection, server):
        self.socket = connection
        self.server = server
        self.deadline = time.monotonic() + CONNECTION_TIMEOUT_S
        self.received = bytearray()
        self.reply = memoryview(b"")
        server.connections.add(self)
        server.selector.register(connection, selectors.EVENT_READ, self._on_event)

    def close(self):
        self.server.connections.discard(self)
        self.server.selector.unregister(self.socket)
        self.socket.close()

    def _on_event(self, mask):
        try:
            if mask & selectors.EVENT_READ:
                self._read()
            else:
                self._write()
        except BlockingIOError:
            return
        except OSError:
            self.close()

    def _read(self):
        chunk = self.socket.recv(RECEIVE_BYTES)
        if not chunk:
            raise StreamError("connection closed before the request")
        self.received += chunk
        if len(self.received) > MAX_REQUEST_BYTES:
            raise StreamError("request too large")
        if len(self.received) < LENGTH_PREFIX.size:
            return
        (length,) = LENGTH_PREFIX.unpack_from(self.received)
        frame = self.received[LENGTH_PREFIX.size :]
        if len(frame) >= length:
            self._send_reply(bytes(frame[:length]))

    def _send_reply(self, frame):
        reply = self.server.handle_request(frame)
        if reply is None:
            raise StreamError("request rejected")
        self.reply = memoryview(LENGTH_PREFIX.pack(len(reply)) + reply)
        self.server.selector.modify(self.socket, selectors.EVENT_WRITE, self._on_event)

    def _write(self):
        sent = self.socket.send(self.reply)
        self.reply = self.reply[sent:]
        if not self.reply:
            self.close()

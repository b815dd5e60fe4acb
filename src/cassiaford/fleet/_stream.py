"""One request and one reply over TCP, each as a length and a frame."""

import selectors
import socket
import struct
import time
from collections.abc import Callable

LENGTH = struct.Struct("!I")
MAX_REQUEST_BYTES = 64 * 1024
MAX_REPLY_BYTES = 64 * 1024 * 1024
MAX_CONNECTIONS = 64
CONNECTION_TIMEOUT_S = 5.0
RECEIVE_BYTES = 65_536


class StreamError(OSError):
    """A request between instances over TCP that was not answered."""


def call(address: tuple[str, int], frame: bytes, timeout_s: float) -> bytes:
    """Send a frame and return the frame that answers it.

    Raises `OSError` if no answer came within the timeout.
    """
    deadline = time.monotonic() + timeout_s
    with socket.create_connection(address, timeout_s) as connection:
        connection.sendall(LENGTH.pack(len(frame)) + frame)
        (length,) = LENGTH.unpack(_read(connection, LENGTH.size, deadline))
        if length > MAX_REPLY_BYTES:
            raise StreamError("reply too large")
        return _read(connection, length, deadline)


def _read(connection, count, deadline):
    received = bytearray()
    while len(received) < count:
        left_s = deadline - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("no reply in time")
        connection.settimeout(left_s)
        part = connection.recv(min(RECEIVE_BYTES, count - len(received)))
        if not part:
            raise StreamError("connection closed before the reply")
        received += part
    return bytes(received)


class ReplyServer:
    """Answers requests in the loop of a selector, without blocking it."""

    def __init__(
        self,
        listener: socket.socket,
        selector: selectors.BaseSelector,
        answer: Callable[[bytes], bytes | None],
    ):
        self.listener = listener
        self.selector = selector
        self.answer = answer
        self.connections: set[_Connection] = set()
        selector.register(listener, selectors.EVENT_READ, self._accept)

    def expire(self, now: float) -> None:
        """Close the connections whose time is up."""
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
    """A connection that brings one request and takes one reply."""

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
        part = self.socket.recv(RECEIVE_BYTES)
        if not part:
            raise StreamError("connection closed before the request")
        self.received += part
        if len(self.received) > MAX_REQUEST_BYTES:
            raise StreamError("request too large")
        if len(self.received) < LENGTH.size:
            return
        (length,) = LENGTH.unpack_from(self.received)
        frame = self.received[LENGTH.size :]
        if len(frame) >= length:
            self._answer(bytes(frame[:length]))

    def _answer(self, frame):
        reply = self.server.answer(frame)
        if reply is None:
            raise StreamError("request dropped")
        self.reply = memoryview(LENGTH.pack(len(reply)) + reply)
        self.server.selector.modify(self.socket, selectors.EVENT_WRITE, self._on_event)

    def _write(self):
        sent = self.socket.send(self.reply)
        self.reply = self.reply[sent:]
        if not self.reply:
            self.close()

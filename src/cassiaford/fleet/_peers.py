"""The sockets between instances: UDP datagrams, and TCP for large replies."""

import collections
import selectors
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from cassiaford.fleet._authenticator import DroppedError, FrameAuthenticator
from cassiaford.fleet._stream import ReplyServer, call
from cassiaford.fleet._transport import Channel, PeerMessage
from cassiaford.logs import Event
from cassiaford.timeline import Journal

# Larger datagrams could be fragmented by the network.
MAX_DATAGRAM_BYTES = 1400
RECEIVE_BYTES = 65_536
# Limit on datagrams received in a row, so that timers are not delayed.
MAX_DATAGRAMS_IN_A_ROW = 64
# Minimum interval between log lines for drops with one reason.
DROP_LOG_INTERVAL_S = 60.0
STOP_TIMEOUT_S = 5.0

MessageHandler = Callable[[PeerMessage], None]
RequestHandler = Callable[[PeerMessage], bytes]


@dataclass
class Traffic:
    """Counters of datagrams since the start."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    unsent: int = 0


@dataclass
class _Timer:
    interval_s: float
    callback: Callable[[], None]
    due: float = 0.0


class PeerSockets:
    """Exchanges authenticated messages with other instances by IP address.

    One thread, the peer thread, reads the sockets, calls the handlers and runs
    the timers.
    """

    def __init__(
        self,
        datagrams: socket.socket,
        listener: socket.socket,
        authenticator: FrameAuthenticator,
        journal: Journal,
    ):
        self.datagrams = datagrams
        self.authenticator = authenticator
        self.journal = journal
        self.traffic = Traffic()
        self.handlers: dict[Channel, MessageHandler] = {}
        self.request_handlers: dict[Channel, RequestHandler] = {}
        self.timers: list[_Timer] = []
        self.selector = selectors.DefaultSelector()
        self.selector.register(datagrams, selectors.EVENT_READ, self._receive)
        self.replies = ReplyServer(listener, self.selector, self._reply)
        self._drop_logged_at = collections.defaultdict(lambda: float("-inf"))
        self._stopping = threading.Event()
        self._wake_sender, self._wake_receiver = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self.selector.register(
            self._wake_receiver, selectors.EVENT_READ, self._drain_wake_receiver
        )
        self._thread = threading.Thread(target=self._run, name="peers", daemon=True)

    @property
    def address(self) -> str:
        """The address that the sockets are bound to."""
        return "{}:{}".format(*self.datagrams.getsockname())

    @property
    def stopped(self) -> bool:
        """Whether `stop` was called."""
        return self._stopping.is_set()

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and close the sockets."""
        self._stopping.set()
        self._wake_sender.send(b"\0")
        if self._thread.is_alive():
            self._thread.join(STOP_TIMEOUT_S)
        self.replies.close()
        self.selector.close()
        for opened in (self.datagrams, self._wake_sender, self._wake_receiver):
            opened.close()

    def add_timer(self, interval_s: float, callback: Callable[[], None]) -> None:
        """Call a function at an interval, on the peer thread."""
        self.timers.append(_Timer(interval_s, callback))

    def send(self, address: str, receiver: str, channel: Channel, body: bytes) -> None:
        """Send a datagram; `receiver` is empty if only the address is known."""
        frame = self.authenticator.create_frame(receiver, channel, body)
        if len(frame) > MAX_DATAGRAM_BYTES:
            raise ValueError(
                f"{len(frame)} bytes exceed the maximum size of a datagram"
            )
        try:
            self.datagrams.sendto(frame, _endpoint(address))
        except OSError:
            # Treated like a datagram that the network lost.
            self.traffic.unsent += 1
            return
        self.traffic.sent += 1
        self.traffic.sent_bytes += len(frame)

    def request(
        self, address: str, receiver: str, channel: Channel, body: bytes, timeout_s
    ) -> PeerMessage:
        """Send a request over TCP and return the reply.

        Raises `OSError` if none came and `DroppedError` if it is invalid.
        """
        frame = self.authenticator.create_frame(receiver, channel, body)
        return self.authenticator.accept(call(_endpoint(address), frame, timeout_s))

    # The peer thread.

    def _run(self):
        while not self._stopping.is_set():
            try:
                self._run_once()
            except Exception as error:
                self.journal.record(
                    Event.BACKGROUND_TASK_FAILED, thread="peers", error=error
                )

    def _run_once(self):
        timeout_s = self._until_next_timer()
        for key, mask in self.selector.select(timeout_s):
            key.data(mask)
        now = time.monotonic()
        for timer in self.timers:
            if timer.due <= now:
                timer.due = now + timer.interval_s
                timer.callback()
        self.replies.expire(now)

    def _until_next_timer(self):
        now = time.monotonic()
        due = min((timer.due for timer in self.timers), default=now + 1.0)
        return max(0.0, due - now)

    def _drain_wake_receiver(self, _mask):
        self._wake_receiver.recv(RECEIVE_BYTES)

    def _receive(self, _mask):
        for _ in range(MAX_DATAGRAMS_IN_A_ROW):
            try:
                frame = self.datagrams.recv(RECEIVE_BYTES)
            except OSError:
                return
            self.traffic.received += 1
            self.traffic.received_bytes += len(frame)
            self._deliver(frame)

    def _deliver(self, frame):
        try:
            message = self.authenticator.accept(frame)
        except DroppedError as error:
            self._log_drop(error.reason)
            return
        handler = self.handlers.get(message.channel)
        if handler is not None:
            handler(message)

    def _reply(self, frame):
        try:
            message = self.authenticator.accept(frame)
        except DroppedError as error:
            self._log_drop(error.reason)
            return None
        handler = self.request_handlers.get(message.channel)
        if handler is None:
            return None
        body = handler(message)
        return self.authenticator.create_frame(message.sender, message.channel, body)

    def _log_drop(self, reason):
        now = time.monotonic()
        if now - self._drop_logged_at[reason] >= DROP_LOG_INTERVAL_S:
            self._drop_logged_at[reason] = now
            self.journal.record(
                Event.PEER_MESSAGE_DROPPED,
                reason=reason.value,
                count=self.authenticator.dropped[reason],
            )


def open_peer_sockets(
    address: str, authenticator: FrameAuthenticator, journal: Journal
) -> PeerSockets:
    """Return peer sockets bound to an address; port 0 chooses a free one."""
    listener = socket.create_server(_endpoint(address), backlog=64)
    listener.setblocking(False)
    datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    datagrams.bind(listener.getsockname())
    datagrams.setblocking(False)
    return PeerSockets(datagrams, listener, authenticator, journal)


def _endpoint(address):
    host, _, port = address.rpartition(":")
    return host, int(port)

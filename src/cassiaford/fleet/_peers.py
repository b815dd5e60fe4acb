"""The sockets between instances: datagrams, and TCP for large replies."""

import collections
import selectors
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from cassiaford.fleet._gate import DroppedError, FrameAuthenticator
from cassiaford.fleet._stream import ReplyServer, call
from cassiaford.fleet._transport import Channel, PeerMessage
from cassiaford.logs import Event
from cassiaford.timeline import Journal

# Larger datagrams could be fragmented on the way and are not sent.
MAX_DATAGRAM_BYTES = 1400
RECEIVE_BYTES = 65_536
# The most datagrams taken in a row, so that timers are not held up.
DATAGRAMS_PER_TURN = 64
# Drops for one reason are logged at most this often.
DROP_LOG_INTERVAL_S = 60.0
STOP_TIMEOUT_S = 5.0

Handler = Callable[[PeerMessage], None]
Answerer = Callable[[PeerMessage], bytes]


@dataclass
class Traffic:
    """What passed the sockets since the start."""

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

    One thread reads the sockets, calls the handlers and runs the timers.
    """

    def __init__(
        self,
        datagrams: socket.socket,
        listener: socket.socket,
        authenticator: FrameAuthenticator,
        journal: Journal,
    ):
        self.datagrams = datagrams
        self.gate = authenticator
        self.journal = journal
        self.traffic = Traffic()
        self.handlers: dict[Channel, Handler] = {}
        self.answerers: dict[Channel, Answerer] = {}
        self.timers: list[_Timer] = []
        self.selector = selectors.DefaultSelector()
        self.selector.register(datagrams, selectors.EVENT_READ, self._receive)
        self.replies = ReplyServer(listener, self.selector, self._answer)
        self._drop_logged = collections.defaultdict(lambda: float("-inf"))
        self._stopping = threading.Event()
        self._waker, self._wakened = socket.socketpair()
        self._wakened.setblocking(False)
        self.selector.register(self._wakened, selectors.EVENT_READ, self._woken)
        self._thread = threading.Thread(target=self._run, name="peers", daemon=True)

    @property
    def address(self) -> str:
        """The address that the sockets are bound to."""
        return "{}:{}".format(*self.datagrams.getsockname())

    @property
    def stopped(self) -> bool:
        """Whether the sockets were told to stop."""
        return self._stopping.is_set()

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and close the sockets."""
        self._stopping.set()
        self._waker.send(b"\0")
        if self._thread.is_alive():
            self._thread.join(STOP_TIMEOUT_S)
        self.replies.close()
        self.selector.close()
        for used in (self.datagrams, self._waker, self._wakened):
            used.close()

    def every(self, interval_s: float, callback: Callable[[], None]) -> None:
        """Call back at an interval, on the peer thread."""
        self.timers.append(_Timer(interval_s, callback))

    def send(self, address: str, receiver: str, channel: Channel, body: bytes) -> None:
        """Send a datagram; `receiver` is empty if only the address is known."""
        frame = self.gate.seal(receiver, channel, body)
        if len(frame) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"{len(frame)} bytes are too many for a datagram")
        try:
            self.datagrams.sendto(frame, _endpoint(address))
        except OSError:
            # Like a datagram that was lost on the way.
            self.traffic.unsent += 1
            return
        self.traffic.sent += 1
        self.traffic.sent_bytes += len(frame)

    def request(
        self, address: str, receiver: str, channel: Channel, body: bytes, timeout_s
    ) -> PeerMessage:
        """Send a request over TCP and return the reply.

        Raises `OSError` if there is none, `DroppedError` if it is not valid.
        """
        frame = self.gate.seal(receiver, channel, body)
        return self.gate.accept(call(_endpoint(address), frame, timeout_s))

    # The peer thread.

    def _run(self):
        while not self._stopping.is_set():
            try:
                self._turn()
            except Exception as error:
                self.journal.record(
                    Event.BACKGROUND_TASK_FAILED, thread="peers", error=error
                )

    def _turn(self):
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

    def _woken(self, _mask):
        self._wakened.recv(RECEIVE_BYTES)

    def _receive(self, _mask):
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                frame = self.datagrams.recv(RECEIVE_BYTES)
            except OSError:
                return
            self.traffic.received += 1
            self.traffic.received_bytes += len(frame)
            self._take(frame)

    def _take(self, frame):
        try:
            message = self.gate.accept(frame)
        except DroppedError as error:
            self._log_drop(error.reason)
            return
        handler = self.handlers.get(message.channel)
        if handler is not None:
            handler(message)

    def _answer(self, frame):
        try:
            message = self.gate.accept(frame)
        except DroppedError as error:
            self._log_drop(error.reason)
            return None
        answerer = self.answerers.get(message.channel)
        if answerer is None:
            return None
        body = answerer(message)
        return self.gate.seal(message.sender, message.channel, body)

    def _log_drop(self, reason):
        now = time.monotonic()
        if now - self._drop_logged[reason] >= DROP_LOG_INTERVAL_S:
            self._drop_logged[reason] = now
            self.journal.record(
                Event.PEER_MESSAGE_DROPPED,
                reason=reason.value,
                count=self.gate.dropped[reason],
            )


def open_peer_sockets(
    address: str, gate: FrameAuthenticator, journal: Journal
) -> PeerSockets:
    """Return peer sockets bound to an address; port 0 chooses a free one."""
    listener = socket.create_server(_endpoint(address), backlog=64)
    listener.setblocking(False)
    datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    datagrams.bind(listener.getsockname())
    datagrams.setblocking(False)
    return PeerSockets(datagrams, listener, gate, journal)


def _endpoint(address):
    host, _, port = address.rpartition(":")
    return host, int(port)

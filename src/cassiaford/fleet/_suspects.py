"""Sharing between instances which requests crash servers."""

import threading
import time
from collections.abc import Callable

import capnp

from cassiaford._schemas import load_schema
from cassiaford.fleet._transport import Channel, PeerMessage, PeerTransport
from cassiaford.logs import Event
from cassiaford.policy import (
    ClearedFingerprint,
    Crash,
    CrashReport,
    SuspectMessage,
    SuspectTracker,
    SuspicionRequest,
)
from cassiaford.timeline import Journal, Subject

# A message may be lost, so each is sent again after these delays.
REPEAT_AFTER_S = (0.2, 1.0, 5.0)
TICK_S = 0.1
# One message holds so many fingerprints, to stay small enough for a datagram.
FINGERPRINTS_A_MESSAGE = 16

_schema = load_schema(__file__, "suspects.capnp")


class SuspectRegistry:
    """The requests that may crash servers, as the whole fleet knows them."""

    def __init__(
        self,
        transport: PeerTransport,
        journal: Journal,
        instance: str,
        clock: Callable[[], float],
    ):
        self.transport = transport
        self.journal = journal
        self.instance = instance
        self.clock = clock
        self.book = SuspectTracker()
        self.undecoded = 0
        self._heard = False
        self._repeats = []
        self._crash_number = 0
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="suspects", daemon=True)

    def has_suspects(self) -> bool:
        """Return whether any request is under suspicion."""
        return bool(self.book.suspicions)

    def instances(self) -> tuple[str, ...]:
        """Return the names of the instances that are believed to run."""
        return tuple(member.instance for member in self.transport.members())

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a request has been present at two crashes."""
        with self._lock:
            return self.book.is_refused(fingerprint, self.clock())

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request should not run beside another suspect."""
        with self._lock:
            return self.book.is_suspect(fingerprint, self.clock())

    def record_crash(
        self, server: str, fingerprints: tuple[str, ...], incarnation: str = ""
    ) -> None:
        """Report the requests that were running on a server that crashed.

        `incarnation` is the one that crashed. Without it, a request that two
        instances had running there is counted twice.
        """
        with self._lock:
            self._crash_number += 1
            own_name = f"{self.instance}/{self._crash_number}"
            crash = Crash(server, incarnation or own_name)
            self.book.record_crash(crash, fingerprints, self.clock())
        self.journal.record(
            Event.SERVER_CRASH_REPORTED,
            Subject(server=server),
            requests=len(fingerprints),
        )
        self._spread(_split(CrashReport(crash, fingerprints)))

    def record_completion(self, fingerprint: str) -> None:
        """Clear a request that has run to its end."""
        with self._lock:
            cleared = self.book.record_completion(fingerprint, self.clock())
        if cleared is not None:
            self._spread([cleared])

    def start(self) -> None:
        """Begin to take part, and ask peers for what they know."""
        self.transport.subscribe(Channel.SUSPECTS, self._on_message)
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join(1.0)

    def _spread(self, messages):
        now = self.clock()
        for message in messages:
            body = encode_suspect_message(message)
            self._send_all(body)
            with self._lock:
                self._repeats.extend((now + delay, body) for delay in REPEAT_AFTER_S)

    def _send_all(self, body):
        self.transport.send_to_peers(self.instance, Channel.SUSPECTS, body)

    def _run(self):
        asked_at = -1.0
        while not self._stopped.wait(TICK_S):
            try:
                now = self.clock()
                for body in self._due(now):
                    self._send_all(body)
                if not self._heard and now >= asked_at + 1.0:
                    asked_at = now
                    self._send_all(encode_suspect_message(SuspicionRequest()))
            except Exception as error:
                self.journal.record(Event.BACKGROUND_TASK_FAILED, error=repr(error))

    def _due(self, now):
        with self._lock:
            due = [body for at, body in self._repeats if at <= now]
            self._repeats = [item for item in self._repeats if item[0] > now]
        return due

    def _on_message(self, received: PeerMessage):
        try:
            message = decode_suspect_message(received.body)
        except (capnp.KjException, ValueError):
            self.undecoded += 1
            self.journal.record(
                Event.PEER_MESSAGE_DROPPED, reason="undecodable", peer=received.sender
            )
            return
        if isinstance(message, SuspicionRequest):
            self._tell_all(received.sender)
            return
        with self._lock:
            if isinstance(message, CrashReport):
                self.book.record_crash(
                    message.crash, message.fingerprints, self.clock()
                )
            else:
                self.book.clear(message)
        self._heard = True

    def _tell_all(self, instance):
        with self._lock:
            reports = self.book.crash_reports()
        # An empty clearance says that there is nothing to tell.
        messages = [part for report in reports for part in _split(report)]
        for message in messages or [ClearedFingerprint("", ())]:
            body = encode_suspect_message(message)
            self.transport.send(instance, Channel.SUSPECTS, body)


def create_suspect_registry(
    transport: PeerTransport,
    journal: Journal,
    instance: str,
    clock: Callable[[], float] = time.monotonic,
) -> SuspectRegistry:
    """Return the suspects of an instance; `clock` is in monotonic seconds."""
    return SuspectRegistry(transport, journal, instance, clock)


def encode_suspect_message(message: SuspectMessage) -> bytes:
    """Return the body of a message to a peer."""
    builder = _schema.SuspectMessage.new_message()
    match message:
        case CrashReport():
            report = builder.init("report")
            _fill_crash(report.crash, message.crash)
            report.fingerprints = list(message.fingerprints)
        case ClearedFingerprint():
            cleared = builder.init("cleared")
            cleared.fingerprint = message.fingerprint
            crashes = cleared.init("crashes", len(message.crashes))
            for item, crash in zip(crashes, message.crashes, strict=True):
                _fill_crash(item, crash)
        case SuspicionRequest():
            builder.wanted = None
    return builder.to_bytes_packed()


def decode_suspect_message(body: bytes) -> SuspectMessage:
    """Return the message in a body; raises what the codec raises."""
    reader = _schema.SuspectMessage.from_bytes_packed(body)
    match reader.which():
        case "report":
            report = reader.report
            return CrashReport(_crash(report.crash), tuple(report.fingerprints))
        case "cleared":
            cleared = reader.cleared
            return ClearedFingerprint(
                cleared.fingerprint, tuple(map(_crash, cleared.crashes))
            )
        case "wanted":
            return SuspicionRequest()
        case other:
            raise ValueError(f"unknown message {other}")


def _split(report):
    size = FINGERPRINTS_A_MESSAGE
    parts = range(0, len(report.fingerprints), size)
    return [CrashReport(report.crash, report.fingerprints[i : i + size]) for i in parts]


def _fill_crash(builder, crash):
    builder.server = crash.server
    builder.incarnation = crash.incarnation


def _crash(reader):
    return Crash(reader.server, reader.incarnation)

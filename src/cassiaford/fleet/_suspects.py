"""Exchange of crash reports, to find the requests that crash servers."""

import threading
import time
from collections.abc import Callable

import capnp

from cassiaford._schemas import load_schema
from cassiaford.fleet._transport import Channel, PeerMessage, PeerTransport
from cassiaford.logs import Event
from cassiaford.suspects import (
    ClearedFingerprint,
    Crash,
    CrashReport,
    SuspectMessage,
    SuspectTracker,
    SuspicionRequest,
)
from cassiaford.timeline import Journal, Subject

# Messages may be lost, so each is repeated after these delays.
REPEAT_DELAYS_S = (0.2, 1.0, 5.0)
TICK_INTERVAL_S = 0.1
# Keeps a message small enough for a datagram.
MAX_FINGERPRINTS_PER_MESSAGE = 16

_schema = load_schema(__file__, "suspects.capnp")


class SuspectRegistry:
    """The requests that may crash servers, as reported by the whole fleet."""

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
        self.tracker = SuspectTracker()
        self.undecoded = 0
        self._has_received = False
        self._repeats = []
        self._crash_number = 0
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="suspects", daemon=True)

    def has_suspects(self) -> bool:
        """Return whether any request is suspected."""
        return bool(self.tracker.suspicions)

    def instances(self) -> tuple[str, ...]:
        """Return the names of the instances that are assumed to be live."""
        return tuple(member.instance for member in self.transport.members())

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a request was running at two crashes."""
        with self._lock:
            return self.tracker.is_refused(fingerprint, self.clock())

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request must not share a server with other suspects."""
        with self._lock:
            return self.tracker.is_suspect(fingerprint, self.clock())

    def record_crash(
        self, server: str, fingerprints: tuple[str, ...], incarnation: str = ""
    ) -> None:
        """Record the requests that were running on a crashed server.

        `incarnation` is that of the crashed server. Without it, a request that
        two instances had running there is counted twice.
        """
        with self._lock:
            self._crash_number += 1
            unique_name = f"{self.instance}/{self._crash_number}"
            crash = Crash(server, incarnation or unique_name)
            self.tracker.record_crash(crash, fingerprints, self.clock())
        self.journal.record(
            Event.SERVER_CRASH_REPORTED,
            Subject(server=server),
            requests=len(fingerprints),
        )
        self._broadcast(_split(CrashReport(crash, fingerprints)))

    def record_completion(self, fingerprint: str) -> None:
        """Clear a request that has completed."""
        with self._lock:
            cleared = self.tracker.record_completion(fingerprint, self.clock())
        if cleared is not None:
            self._broadcast([cleared])

    def start(self) -> None:
        """Start exchanging reports, and request those of peers."""
        self.transport.subscribe(Channel.SUSPECTS, self._on_message)
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join(1.0)

    def _broadcast(self, messages):
        now = self.clock()
        for message in messages:
            body = encode_suspect_message(message)
            self._send_to_peers(body)
            with self._lock:
                self._repeats.extend((now + delay, body) for delay in REPEAT_DELAYS_S)

    def _send_to_peers(self, body):
        self.transport.send_to_peers(self.instance, Channel.SUSPECTS, body)

    def _run(self):
        requested_at = -1.0
        while not self._stopped.wait(TICK_INTERVAL_S):
            try:
                now = self.clock()
                for body in self._due(now):
                    self._send_to_peers(body)
                if not self._has_received and now >= requested_at + 1.0:
                    requested_at = now
                    self._send_to_peers(encode_suspect_message(SuspicionRequest()))
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
            self._send_known_crashes(received.sender)
            return
        with self._lock:
            if isinstance(message, CrashReport):
                self.tracker.record_crash(
                    message.crash, message.fingerprints, self.clock()
                )
            else:
                self.tracker.clear(message)
        self._has_received = True

    def _send_known_crashes(self, instance):
        with self._lock:
            reports = self.tracker.crash_reports()
        # An empty clearance is the reply if there are no reports.
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
    """Return the suspect registry of an instance.

    `clock` returns monotonic seconds.
    """
    return SuspectRegistry(transport, journal, instance, clock)


def encode_suspect_message(message: SuspectMessage) -> bytes:
    """Encode a suspect message."""
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
    """Decode a suspect message.

    Raises `capnp.KjException` or `ValueError` if it is malformed.
    """
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
            raise ValueError(f"unknown suspect message {other}")


def _split(report):
    size = MAX_FINGERPRINTS_PER_MESSAGE
    parts = range(0, len(report.fingerprints), size)
    return [CrashReport(report.crash, report.fingerprints[i : i + size]) for i in parts]


def _fill_crash(builder, crash):
    builder.server = crash.server
    builder.incarnation = crash.incarnation


def _crash(reader):
    return Crash(reader.server, reader.incarnation)

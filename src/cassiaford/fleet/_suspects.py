"""Exchange of crash reports, to find the requests that crash servers."""

import threading
import time
from collections.abc import Callable
from dataclasses import replace

import capnp

from cassiaford._schemas import load_schema
from cassiaford.fleet._transport import Channel, PeerMessage, PeerTransport
from cassiaford.logs import Event
from cassiaford.suspects import (
    AnsweredParts,
    ClearedFingerprint,
    Crash,
    CrashReport,
    RefusedParts,
    SuspectMessage,
    SuspectTracker,
    SuspicionRequest,
    aged,
)
from cassiaford.timeline import Journal, Subject

# Messages may be lost, so each is repeated after these delays.
REPEAT_DELAYS_S = (0.2, 1.0, 5.0)
TICK_INTERVAL_S = 0.1
# Keeps a message small enough for a datagram.
MAX_FINGERPRINTS_PER_MESSAGE = 16
MAX_PARTS_PER_MESSAGE = 64

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
        """Return whether any request or part of a prompt is suspected."""
        parts = self.tracker.parts
        return bool(self.tracker.suspicions or parts.crashes or parts.groups)

    def instances(self) -> tuple[str, ...]:
        """Return the names of the instances that are assumed to be live."""
        return tuple(member.instance for member in self.transport.members())

    def is_refused(self, fingerprint: str, parts: tuple[int, ...] = ()) -> bool:
        """Return whether a request or parts of it crashed too many servers."""
        with self._lock:
            if self.tracker.parts.is_refused(parts):
                return True
            return self.tracker.is_refused(fingerprint, self.clock())

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request must not share a server with other suspects."""
        with self._lock:
            return self.tracker.is_suspect(fingerprint, self.clock())

    def record_crash(
        self,
        server: str,
        fingerprints: tuple[str, ...],
        incarnation: str = "",
        parts: tuple[int, ...] = (),
    ) -> None:
        """Record the requests that were running on a crashed server.

        `parts` are those of their prompts, and `incarnation` is that of the crashed
        server. Without it, a request that two instances had running there is
        counted twice.
        """
        with self._lock:
            self._crash_number += 1
            unique_name = f"{self.instance}/{self._crash_number}"
            crash = Crash(server, incarnation or unique_name)
            parts = parts[:MAX_PARTS_PER_MESSAGE]
            answered = self.tracker.parts.answered(parts)
            report = CrashReport(crash, fingerprints, parts, answered)
            known = set(self.tracker.parts.groups)
            self.tracker.apply(report, self.clock())
            found = [g for g in self.tracker.parts.groups if g not in known]
        self.journal.record(
            Event.SERVER_CRASH_REPORTED,
            Subject(server=server),
            requests=len(fingerprints),
        )
        for group in found:
            self.journal.record(
                Event.FATAL_PARTS_FOUND, Subject(server=server), parts=len(group)
            )
        self._broadcast([*_split(report), *map(_refused, found)])

    def record_completion(self, fingerprint: str, parts: tuple[int, ...] = ()) -> None:
        """Clear a request that has completed, and the parts of its prompt."""
        with self._lock:
            cleared = self.tracker.record_completion(fingerprint, self.clock())
            answered = self.tracker.parts.record_answer(parts)
        if cleared is not None:
            self._broadcast([cleared])
        if answered:
            self._send_to_peers(encode_suspect_message(AnsweredParts(answered)))

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
                self._repeats.extend(
                    (now + delay, now, message) for delay in REPEAT_DELAYS_S
                )

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
            due = [
                aged(m, now - made_at) for at, made_at, m in self._repeats if at <= now
            ]
            self._repeats = [item for item in self._repeats if item[0] > now]
        return [encode_suspect_message(message) for message in due]

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
            self.tracker.apply(message, self.clock())
        self._has_received = True

    def _send_known_crashes(self, instance):
        with self._lock:
            reports = self.tracker.crash_reports(self.clock())
            refused = [*map(_refused, self.tracker.parts.groups)]
        # An empty clearance is the reply if there are no reports.
        messages = [part for report in reports for part in _split(report)] + refused
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
            report.parts = list(message.parts)
            report.answered = list(message.answered)
            report.ageMs = round(message.age_s * 1000)
        case ClearedFingerprint():
            cleared = builder.init("cleared")
            cleared.fingerprint = message.fingerprint
            crashes = cleared.init("crashes", len(message.crashes))
            for item, crash in zip(crashes, message.crashes, strict=True):
                _fill_crash(item, crash)
        case AnsweredParts():
            builder.answered = list(message.parts)
        case RefusedParts():
            builder.refused = list(message.parts)
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
            return CrashReport(
                _crash(report.crash),
                tuple(report.fingerprints),
                tuple(report.parts),
                tuple(report.answered),
                report.ageMs / 1000,
            )
        case "cleared":
            cleared = reader.cleared
            return ClearedFingerprint(
                cleared.fingerprint, tuple(map(_crash, cleared.crashes))
            )
        case "answered":
            return AnsweredParts(tuple(reader.answered))
        case "refused":
            return RefusedParts(tuple(reader.refused))
        case "wanted":
            return SuspicionRequest()
        case other:
            raise ValueError(f"unknown suspect message {other}")


def _split(report):
    size = MAX_FINGERPRINTS_PER_MESSAGE
    starts = range(0, len(report.fingerprints), size)
    return [
        replace(report, fingerprints=report.fingerprints[start : start + size])
        for start in starts
    ]


def _refused(group):
    return RefusedParts(tuple(sorted(group)))


def _fill_crash(builder, crash):
    builder.server = crash.server
    builder.incarnation = crash.incarnation


def _crash(reader):
    return Crash(reader.server, reader.incarnation)

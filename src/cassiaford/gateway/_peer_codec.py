"""The encoding of the messages between instances."""

from dataclasses import dataclass, field

import capnp

from cassiaford._schemas import load_schema
from cassiaford.gateway._store import Item, Page
from cassiaford.gateway.policy import PeerState, PlacedWork, VersionAge
from cassiaford.origins import OriginRecord
from cassiaford.suspects import (
    AnsweredParts,
    ClearedFingerprint,
    Crash,
    CrashReport,
    RefusedParts,
    Suspicions,
)

_schema = load_schema(__file__, "peers.capnp")

# Bounds the work that one message about origins makes.
MAX_ORIGIN_ITEMS = 16
# Fields of 32 and 64 bits.
MAX_AGE_MS = (1 << 32) - 1
MAX_VERSION = (1 << 64) - 1


class PeerMessageError(ValueError):
    """A message from a peer that cannot be decoded."""


@dataclass(frozen=True)
class Report:
    """The report that an instance sends to its peers several times a second.

    `work`, `out_of_use` and `unreachable` name backend servers by digest,
    `spending` customers, `placements` prefixes and engines, and `version_ages`
    models. `suspicions` are
    about the requests that were running on crashed servers. Only a whole
    report has the sender's state and its estimate of the prefill speed; others
    identify the sender by its digest and contain only changes.
    """

    sender: int
    incarnation: int
    sequence: int
    state: PeerState | None = None
    revision: int = 0
    prefill_speed: int = 0
    work: dict[int, PlacedWork] = field(default_factory=dict)
    spending: dict[int, int] = field(default_factory=dict)
    out_of_use: frozenset[int] = frozenset()
    unreachable: frozenset[int] = frozenset()
    placements: tuple[tuple[int, int], ...] = ()
    suspicions: tuple[Suspicions, ...] = ()
    version_ages: tuple[VersionAge, ...] = ()

    @property
    def whole(self) -> bool:
        """Whether the report contains the whole state."""
        return self.state is not None


@dataclass(frozen=True)
class OriginMessage:
    """What an instance tells or asks a peer about where streams began.

    `asked` and `unknown` are digests of attempts: those whose origin the sender
    asks for, and those that it was asked for and has no record of.
    """

    told: tuple[OriginRecord, ...] = ()
    asked: tuple[int, ...] = ()
    unknown: tuple[int, ...] = ()


def encode_report(report: Report) -> bytes:
    """Return the datagram of a report."""
    message = _schema.Report.new_message(
        sender=report.sender,
        incarnation=report.incarnation,
        whole=report.whole,
        revision=report.revision,
        readSpeed=report.prefill_speed,
        sequence=report.sequence,
        held=sorted(report.out_of_use),
        unreachable=sorted(report.unreachable),
        placements=[
            {"unit": prefix, "server": server} for prefix, server in report.placements
        ],
    )
    if report.state is not None:
        message.name = report.state.name
        message.dataCentre = report.state.data_centre
        message.frontAddress = report.state.front_address
        message.peerAddress = report.state.peer_address
        message.ready = report.state.ready
    work = message.init("work", len(report.work))
    for entry, (server, placed) in zip(work, report.work.items(), strict=True):
        entry.server = server
        entry.readTokens = placed.prefill_tokens
        entry.running = min(placed.running, 0xFFFF)
        entry.tokens = placed.tokens
        entry.unstarted = min(placed.unstarted, 0xFFFF)
    spending = message.init("spending", len(report.spending))
    for entry, (customer, tokens) in zip(
        spending, report.spending.items(), strict=True
    ):
        entry.customer = customer
        entry.tokens = tokens
    _encode_suspicions(message, report.suspicions)
    _encode_version_ages(message, report.version_ages)
    return message.to_bytes_packed()


def encode_origin_message(message: OriginMessage) -> bytes:
    """Return the datagram of a message about origins."""
    encoded = _schema.Report.new_message()
    origins = encoded.init("origins")
    origins.told = [
        {"attempt": record.attempt, "origin": record.origin or 0}
        for record in message.told
    ]
    origins.asked = list(message.asked)
    origins.unknown = list(message.unknown)
    return encoded.to_bytes_packed()


def decode_message(data: bytes) -> Report | OriginMessage:
    """Return a report or a message about origins; raise `PeerMessageError`."""
    try:
        message = _schema.Report.from_bytes_packed(data)
        return _report(message) if message.sequence else _origin_message(message)
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise PeerMessageError(str(error)) from error


def _origin_message(message):
    origins = message.origins
    count = len(origins.told) + len(origins.asked) + len(origins.unknown)
    if not 0 < count <= MAX_ORIGIN_ITEMS:
        raise PeerMessageError(f"{count} items about origins")
    return OriginMessage(
        told=tuple(OriginRecord(t.attempt, t.origin or None) for t in origins.told),
        asked=tuple(origins.asked),
        unknown=tuple(origins.unknown),
    )


def _report(message):
    return Report(
        sender=message.sender,
        incarnation=message.incarnation,
        sequence=message.sequence,
        state=_state(message) if message.whole else None,
        revision=message.revision,
        prefill_speed=message.readSpeed,
        work={
            w.server: PlacedWork(
                w.readTokens,
                w.running,
                w.tokens,
                w.unstarted,
            )
            for w in message.work
        },
        spending={s.customer: s.tokens for s in message.spending},
        out_of_use=frozenset(message.held),
        unreachable=frozenset(message.unreachable),
        placements=tuple((p.unit, p.server) for p in message.placements),
        suspicions=_suspicions(message),
        version_ages=tuple(
            VersionAge(v.model, v.version, v.ageMs / 1000, v.witnessed)
            for v in message.versionAges
        ),
    )


def _encode_suspicions(message, suspicions):
    message.crashes = [
        {
            "server": int(s.crash.incarnation),
            "requests": list(s.fingerprints),
            "parts": list(s.parts),
            "answered": list(s.answered),
            "ageMs": round(s.age_s * 1000),
        }
        for s in suspicions
        if isinstance(s, CrashReport)
    ]
    message.cleared = [
        {
            "request": s.fingerprint,
            "servers": [int(crash.incarnation) for crash in s.crashes],
        }
        for s in suspicions
        if isinstance(s, ClearedFingerprint)
    ]
    message.refusedParts = [
        {"parts": list(s.parts)} for s in suspicions if isinstance(s, RefusedParts)
    ]
    message.answeredParts = [
        part for s in suspicions if isinstance(s, AnsweredParts) for part in s.parts
    ]


def _encode_version_ages(message, ages):
    message.versionAges = [
        {
            "model": age.model,
            "version": age.version,
            # Rounded down: no version may become older on its way.
            "ageMs": min(int(age.age_s * 1000), MAX_AGE_MS),
            "witnessed": age.witnessed,
        }
        for age in ages
        if 0 <= age.version <= MAX_VERSION
    ]


def _suspicions(message):
    crashes = (
        CrashReport(
            server_crash(c.server),
            tuple(c.requests),
            tuple(c.parts),
            tuple(c.answered),
            c.ageMs / 1000,
        )
        for c in message.crashes
    )
    cleared = (
        ClearedFingerprint(c.request, tuple(map(server_crash, c.servers)))
        for c in message.cleared
    )
    refused = (RefusedParts(tuple(group.parts)) for group in message.refusedParts)
    answered = tuple(message.answeredParts)
    return (
        *((AnsweredParts(answered),) if answered else ()),
        *crashes,
        *cleared,
        *refused,
    )


def server_crash(key: int) -> Crash:
    """Return the crash of the server with a key, the same on all instances."""
    return Crash("", str(key))


def _state(message):
    return PeerState(
        message.name,
        message.incarnation,
        message.dataCentre,
        message.frontAddress,
        message.peerAddress,
        message.ready,
    )


def encode_snapshot(sections: dict[str, Page], era: int) -> bytes:
    """Return the message of a copy of the store in one of its eras."""
    message = _schema.Snapshot.new_message(
        era=era,
        sections=[
            {
                "prefix": prefix,
                "revision": page.revision,
                "items": [
                    {"key": i.key, "value": i.value, "revision": i.revision}
                    for i in page.items
                ],
            }
            for prefix, page in sections.items()
        ],
    )
    return message.to_bytes_packed()


def decode_snapshot(data: bytes) -> tuple[dict[str, Page], int]:
    """Return a copy of the store, by prefix, and its era.

    Raises `PeerMessageError`.
    """
    try:
        message = _schema.Snapshot.from_bytes_packed(data)
        sections = {
            section.prefix: Page(
                tuple(Item(i.key, bytes(i.value), i.revision) for i in section.items),
                section.revision,
            )
            for section in message.sections
        }
        return sections, message.era
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise PeerMessageError(str(error)) from error

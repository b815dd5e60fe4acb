"""The encoding of messages between instances.

A frame is an HMAC-SHA-256 followed by a packed Cap'n Proto `Envelope`. The
HMAC is outside the envelope, so that a frame is authenticated before any of it
is parsed.
"""

import hashlib
import hmac
from dataclasses import dataclass, field

import capnp

from cassiaford._schemas import load_schema
from cassiaford.policy import (
    Member,
    MembershipMessage,
    MemberState,
    MemberUpdate,
    MessageKind,
)
from cassiaford.timeline import Timestamp

PROTOCOL_MAJOR = 1
PROTOCOL_MINOR = 0
MAC_BYTES = hashlib.sha256().digest_size

schema = load_schema(__file__, "peer.capnp")


class DecodeError(ValueError):
    """A frame or body that is malformed."""


class AuthenticationError(DecodeError):
    """A frame that was not authenticated with the fleet's secret."""


class ProtocolVersionError(DecodeError):
    """A frame of a protocol version that this release does not support."""


@dataclass(frozen=True)
class Envelope:
    """The header and body of a message between instances.

    `receiver` is empty if the sender knows only an address.
    """

    sender: str
    incarnation: int
    receiver: str
    timestamp: Timestamp
    channel: int
    body: bytes = field(repr=False)


@dataclass(frozen=True)
class ConfigurationContent:
    """The encoded configuration that an instance sends in a reply to another.

    It is either a whole `snapshot` or the log `entries` that follow the
    requested revision.
    """

    snapshot: bytes = field(default=b"", repr=False)
    entries: tuple[bytes, ...] = field(default=(), repr=False)


def encode_frame(envelope: Envelope, secret: bytes) -> bytes:
    """Encode and authenticate an envelope."""
    message = schema.Envelope.new_message(
        major=PROTOCOL_MAJOR,
        minor=PROTOCOL_MINOR,
        sender=envelope.sender,
        incarnation=envelope.incarnation,
        receiver=envelope.receiver,
        wallMs=envelope.timestamp.wall_ms,
        counter=envelope.timestamp.counter,
        channel=envelope.channel,
        body=envelope.body,
    )
    payload = message.to_bytes_packed()
    return _mac(payload, secret) + payload


def decode_frame(frame: bytes, secret: bytes) -> Envelope:
    """Check and decode a frame.

    Raises `AuthenticationError`, `ProtocolVersionError` or `DecodeError`.
    """
    mac, payload = frame[:MAC_BYTES], frame[MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac(payload, secret)):
        raise AuthenticationError("wrong message authentication code")
    return _decode(payload, schema.Envelope, _read_envelope)


def encode_membership(message: MembershipMessage) -> bytes:
    """Encode a membership message."""
    builder = schema.MembershipMessage.new_message(
        kind=int(message.kind),
        sequence=message.sequence,
        target=message.target,
        revision=message.revision,
        digest=message.digest,
    )
    updates = builder.init("updates", len(message.updates))
    for slot, update in zip(updates, message.updates, strict=True):
        _write_update(slot, update)
    return builder.to_bytes_packed()


def decode_membership(body: bytes) -> MembershipMessage:
    """Decode a membership message; raises `DecodeError`."""
    return _decode(body, schema.MembershipMessage, _read_membership)


def encode_notice(revision: int) -> bytes:
    """Encode a notice of the revision in force at the sender."""
    return schema.ConfigurationNotice.new_message(revision=revision).to_bytes_packed()


def decode_notice(body: bytes) -> int:
    """Decode a notice to its revision; raises `DecodeError`."""
    return _decode(body, schema.ConfigurationNotice, lambda notice: notice.revision)


def encode_request(after_revision: int) -> bytes:
    """Encode a request for the configuration after a revision."""
    request = schema.ConfigurationRequest.new_message(afterRevision=after_revision)
    return request.to_bytes_packed()


def decode_request(body: bytes) -> int:
    """Decode a request to its revision; raises `DecodeError`."""
    return _decode(body, schema.ConfigurationRequest, lambda r: r.afterRevision)


def encode_content(content: ConfigurationContent) -> bytes:
    """Encode a configuration reply."""
    reply = schema.ConfigurationReply.new_message(
        snapshot=content.snapshot, entries=list(content.entries)
    )
    return reply.to_bytes_packed()


def decode_content(body: bytes) -> ConfigurationContent:
    """Decode a configuration reply; raises `DecodeError`."""
    return _decode(
        body,
        schema.ConfigurationReply,
        lambda reply: ConfigurationContent(
            bytes(reply.snapshot), tuple(bytes(entry) for entry in reply.entries)
        ),
    )


def _mac(payload, secret):
    return hmac.digest(secret, payload, "sha256")


def _decode(body, struct, read):
    try:
        return read(struct.from_bytes_packed(body))
    except DecodeError:
        raise
    except (capnp.KjException, ValueError, OverflowError) as error:
        raise DecodeError(f"malformed {struct.schema.node.displayName}") from error


def _read_envelope(envelope):
    if envelope.major != PROTOCOL_MAJOR:
        raise ProtocolVersionError(f"unsupported protocol version {envelope.major}")
    return Envelope(
        sender=envelope.sender,
        incarnation=envelope.incarnation,
        receiver=envelope.receiver,
        timestamp=Timestamp(envelope.wallMs, envelope.counter),
        channel=envelope.channel,
        body=bytes(envelope.body),
    )


def _write_update(slot, update):
    member = update.member
    slot.instance = member.instance
    slot.incarnation = member.incarnation
    slot.dataCentre = member.data_centre
    slot.httpAddress = member.http_address
    slot.peerAddress = member.peer_address
    slot.leaving = member.leaving
    slot.ready = member.ready
    slot.version = update.version
    slot.state = int(update.state)


def _read_update(slot):
    member = Member(
        instance=slot.instance,
        incarnation=slot.incarnation,
        data_centre=slot.dataCentre,
        http_address=slot.httpAddress,
        peer_address=slot.peerAddress,
        leaving=slot.leaving,
        ready=slot.ready,
    )
    return MemberUpdate(member, slot.version, MemberState(slot.state))


def _read_membership(message):
    return MembershipMessage(
        kind=MessageKind(message.kind),
        sequence=message.sequence,
        updates=tuple(_read_update(slot) for slot in message.updates),
        revision=message.revision,
        digest=message.digest,
        target=message.target,
    )

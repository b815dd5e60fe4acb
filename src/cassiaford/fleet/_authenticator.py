"""Authentication of the frames between instances."""

import collections
import enum
import threading
from dataclasses import dataclass

from cassiaford.fleet._codec import (
    AuthenticationError,
    DecodeError,
    Envelope,
    ProtocolVersionError,
    decode_frame,
    encode_frame,
)
from cassiaford.fleet._transport import Channel, PeerMessage
from cassiaford.timeline import HybridClock

# Limit on remembered incarnations; the least recent sender is dropped first.
MAX_SENDERS = 4096


class DropReason(enum.Enum):
    """Why a frame was dropped."""

    UNAUTHENTICATED = "not authenticated by the fleet's secret"
    PROTOCOL_VERSION = "unknown protocol version"
    MALFORMED = "malformed"
    OTHER_RECEIVER = "meant for another instance"
    OLD_INCARNATION = "sent by an older incarnation"
    OWN_FRAME = "sent by this instance"
    UNKNOWN_CHANNEL = "unknown channel"


class DroppedError(Exception):
    """A frame was dropped for `reason`."""

    def __init__(self, reason: DropReason):
        super().__init__(reason.value)
        self.reason = reason


@dataclass(frozen=True)
class Identity:
    """The identity and secret with which an instance sends messages."""

    instance: str
    incarnation: int
    secret: bytes


class FrameAuthenticator:
    """Creates the frames of one instance and checks received frames."""

    def __init__(self, identity: Identity, clock: HybridClock):
        self.identity = identity
        self.clock = clock
        self.dropped = collections.Counter()
        self._incarnations: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._lock = threading.Lock()

    def create_frame(self, receiver: str, channel: Channel, body: bytes) -> bytes:
        """Return the frame of a message to a member, or to an address.

        `receiver` is empty if only the address is known.
        """
        envelope = Envelope(
            sender=self.identity.instance,
            incarnation=self.identity.incarnation,
            receiver=receiver,
            timestamp=self.clock.now(),
            channel=channel.value,
            body=body,
        )
        return encode_frame(envelope, self.identity.secret)

    def accept(self, frame: bytes) -> PeerMessage:
        """Return the message in a frame.

        Counts the frame as dropped and raises `DroppedError` if it is invalid.
        """
        try:
            return self._accept(frame)
        except DroppedError as error:
            with self._lock:
                self.dropped[error.reason] += 1
            raise

    def _accept(self, frame):
        envelope = self._decode(frame)
        if envelope.sender == self.identity.instance:
            raise DroppedError(DropReason.OWN_FRAME)
        if envelope.receiver not in ("", self.identity.instance):
            raise DroppedError(DropReason.OTHER_RECEIVER)
        self._check_incarnation(envelope)
        self.clock.observe(envelope.timestamp)
        return PeerMessage(
            sender=envelope.sender,
            sender_incarnation=envelope.incarnation,
            channel=_channel(envelope.channel),
            body=envelope.body,
        )

    def _decode(self, frame):
        try:
            return decode_frame(frame, self.identity.secret)
        except AuthenticationError:
            raise DroppedError(DropReason.UNAUTHENTICATED) from None
        except ProtocolVersionError:
            raise DroppedError(DropReason.PROTOCOL_VERSION) from None
        except DecodeError:
            raise DroppedError(DropReason.MALFORMED) from None

    def _check_incarnation(self, envelope):
        with self._lock:
            newest = self._incarnations.get(envelope.sender, 0)
            if envelope.incarnation < newest:
                raise DroppedError(DropReason.OLD_INCARNATION)
            self._incarnations[envelope.sender] = envelope.incarnation
            self._incarnations.move_to_end(envelope.sender)
            if len(self._incarnations) > MAX_SENDERS:
                self._incarnations.popitem(last=False)


def _channel(number):
    try:
        return Channel(number)
    except ValueError:
        raise DroppedError(DropReason.UNKNOWN_CHANNEL) from None

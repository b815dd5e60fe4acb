"""The messages of the membership protocol, and what it asks to be done."""

import enum
from dataclasses import dataclass

from cassiaford.policy._member import MemberUpdate


class MessageKind(enum.IntEnum):
    """The kinds of messages of the membership protocol."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    JOIN = 4
    SYNC = 5


@dataclass(frozen=True)
class MembershipMessage:
    """A message between two instances; `updates` starts with the sender.

    `revision` is the configuration revision in force at the sender, and
    `digest` a hash over the members that it knows.
    """

    kind: MessageKind
    sequence: int
    updates: tuple[MemberUpdate, ...]
    revision: int
    digest: int = 0
    target: str = ""


@dataclass(frozen=True)
class SendMessage:
    """Send a message to a member, or to an address not known to be one."""

    message: MembershipMessage
    instance: str = ""
    address: str = ""


@dataclass(frozen=True)
class MemberChanged:
    """A member was seen in a new state."""

    update: MemberUpdate


@dataclass(frozen=True)
class PeerContact:
    """A peer told which revision it has in force.

    `as_of` is the time at which this was surely still true, which is when the
    probe was sent that the message answers; None if it answers none. A
    message that lay in a buffer while this instance was paused proves nothing
    about the present.
    """

    instance: str
    revision: int
    as_of: float | None


@dataclass(frozen=True)
class Superseded:
    """Another process runs under this instance's name, started later."""

    incarnation: int


Action = SendMessage | MemberChanged | PeerContact | Superseded

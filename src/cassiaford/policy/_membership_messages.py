"""The messages of the membership protocol and the actions that it requests."""

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
    `digest` a hash over its table of members.
    """

    kind: MessageKind
    sequence: int
    updates: tuple[MemberUpdate, ...]
    revision: int
    digest: int = 0
    target: str = ""


@dataclass(frozen=True)
class SendMessage:
    """Send a message to a member, or to an address of no known member."""

    message: MembershipMessage
    instance: str = ""
    address: str = ""


@dataclass(frozen=True)
class MemberChanged:
    """The state of a member changed."""

    update: MemberUpdate


@dataclass(frozen=True)
class PeerContact:
    """A peer reported the revision that it has in force.

    `as_of` is a time at which this was certainly true: when the probe was sent
    to which the message replies, or None if it replies to none. A message that
    was buffered while this instance was paused does not show the present state.
    """

    instance: str
    revision: int
    as_of: float | None


@dataclass(frozen=True)
class Superseded:
    """Another process that started later runs under this instance's name."""

    incarnation: int


Action = SendMessage | MemberChanged | PeerContact | Superseded

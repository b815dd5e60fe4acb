"""What the parts of an instance ask of the connection to its peers."""

import enum
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field


class Channel(enum.Enum):
    """The part of an instance that a message between peers is for."""

    MEMBERSHIP = 1
    CONFIGURATION = 2
    RATES = 3
    SUSPECTS = 4
    LOAD = 5
    CLAIMS = 6


@dataclass(frozen=True)
class Member:
    """An instance of the fleet, as its peers know it.

    A restarted instance has a higher `incarnation`. A `leaving` one takes no
    new requests.
    """

    instance: str
    incarnation: int
    data_centre: str
    http_address: str
    peer_address: str
    leaving: bool = False
    revision: int = 0


@dataclass(frozen=True)
class PeerMessage:
    """An authenticated message from a peer."""

    sender: str
    sender_incarnation: int
    channel: Channel
    body: bytes = field(repr=False)


class PeerTransport(ABC):
    """Carries messages between instances.

    Messages may be lost, doubled, delayed and reordered; each channel must
    cope with that by itself.
    """

    @abstractmethod
    def send(self, instance: str, channel: Channel, body: bytes) -> None:
        """Send a message to a peer; drop it if the peer is not known."""

    @abstractmethod
    def subscribe(
        self, channel: Channel, handler: Callable[[PeerMessage], None]
    ) -> None:
        """Have a handler called, on the peer thread, for each message."""

    @abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Return the live members, this instance among them."""

"""The interface for messages between an instance and its peers."""

import enum
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from cassiaford.policy import Member


class Channel(enum.Enum):
    """The subsystem that a message between peers is for."""

    MEMBERSHIP = 1
    CONFIGURATION = 2
    RATES = 3
    SUSPECTS = 4
    LOAD = 5
    CLAIMS = 6


@dataclass(frozen=True)
class PeerMessage:
    """An authenticated message from a peer."""

    sender: str
    sender_incarnation: int
    channel: Channel
    body: bytes = field(repr=False)


class PeerTransport(ABC):
    """Carries messages between instances.

    Messages may be lost, duplicated, delayed and reordered; the users of each
    channel must handle that.
    """

    @abstractmethod
    def send(self, instance: str, channel: Channel, body: bytes) -> None:
        """Send a message to a peer; drop it if the peer is unknown."""

    @abstractmethod
    def subscribe(
        self, channel: Channel, handler: Callable[[PeerMessage], None]
    ) -> None:
        """Register a handler that the peer thread calls for each message."""

    @abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Return the live members, including this instance."""

    def send_to_peers(self, own_instance: str, channel: Channel, body: bytes) -> None:
        """Send a message to every live member except this instance."""
        for member in self.members():
            if member.instance != own_instance:
                self.send(member.instance, channel, body)


class RequestTransport(PeerTransport):
    """A peer transport that also carries requests with large replies."""

    @abstractmethod
    def handle_requests(
        self, channel: Channel, handler: Callable[[PeerMessage], bytes]
    ) -> None:
        """Register a handler that the peer thread calls for each request."""

    @abstractmethod
    def request(
        self, instance: str, channel: Channel, body: bytes, timeout_s: float
    ) -> PeerMessage:
        """Send a request and return its reply, which may be large.

        Raises `OSError` if no reply came in time.
        """

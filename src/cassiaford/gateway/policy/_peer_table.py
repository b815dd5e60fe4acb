"""Which other instances are live, from the store and from their reports."""

from dataclasses import dataclass

# Reports come several times a second; after this long without one a peer is
# named to callers no more.
LIVE_FOR_S = 1.2
# A peer that is no longer registered may still be there while the store is not.
UNREGISTERED_FOR_S = 20.0


@dataclass(frozen=True)
class PeerState:
    """What an instance says of itself."""

    name: str
    incarnation: int
    data_centre: str
    front_address: str
    peer_address: str
    ready: bool = True


@dataclass
class _Peer:
    state: PeerState
    registered: bool
    heard_at: float | None = None
    seen_at: float = 0.0


class PeerTable:
    """The other instances, by name.

    Examples
    --------
    >>> table = PeerTable()
    >>> peer = PeerState("b", 1, "cluj", "10.0.0.2:80", "10.0.0.2:7600")
    >>> table.register(peer, now=0.0)
    >>> table.live(0.5), table.expected()
    ([], ['b'])
    >>> table.hear(peer, now=0.5)
    >>> [state.name for state in table.live(1.0)]
    ['b']
    """

    def __init__(self):
        self.peers: dict[str, _Peer] = {}

    def register(self, state: PeerState, now: float) -> None:
        """Take in an instance's entry in the store."""
        peer = self.peers.get(state.name)
        if peer is None or state.incarnation > peer.state.incarnation:
            self.peers[state.name] = _Peer(state, True, seen_at=now)
        else:
            peer.registered = True

    def unregister(self, name: str) -> None:
        """Take in that an instance's entry is gone."""
        if name in self.peers:
            self.peers[name].registered = False

    def hear(self, state: PeerState, now: float) -> None:
        """Take in a report; one of an earlier start is passed over."""
        peer = self.peers.get(state.name)
        if peer is None or state.incarnation > peer.state.incarnation:
            registered = peer.registered if peer is not None else False
            self.peers[state.name] = _Peer(state, registered, now, now)
        elif state.incarnation == peer.state.incarnation:
            peer.state = state
            peer.heard_at = peer.seen_at = now

    def expire(self, now: float) -> list[str]:
        """Drop peers that are neither registered nor heard; return their names."""
        gone = [
            name
            for name, peer in self.peers.items()
            if not peer.registered and now - peer.seen_at > _kept_for(peer)
        ]
        for name in gone:
            del self.peers[name]
        return gone

    def live(self, now: float) -> list[PeerState]:
        """Return the peers that have been heard just now."""
        return [
            peer.state
            for peer in self.peers.values()
            if peer.heard_at is not None and now - peer.heard_at <= LIVE_FOR_S
        ]

    def expected(self) -> list[str]:
        """Return the names of all that may be running."""
        return list(self.peers)

    def all(self) -> list[PeerState]:
        """Return every peer to which reports are sent."""
        return [peer.state for peer in self.peers.values()]


def _kept_for(peer):
    return LIVE_FOR_S if peer.heard_at is None else UNREGISTERED_FOR_S

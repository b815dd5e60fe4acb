"""The other instances that are live, from the store and from their reports."""

from dataclasses import dataclass

# Reports come several times a second. After this long without one a peer is no
# longer listed in the directory for callers.
LIVENESS_TIMEOUT_S = 1.2
# A peer whose entry is gone from the store may still run, since entries also
# lapse while the store fails or the peer is cut off from it, and an instance that
# has just started has not heard such a peer.
UNREGISTERED_TTL_S = 20.0


@dataclass(frozen=True)
class PeerState:
    """The state of an instance as it reports it."""

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
    last_report_at: float | None = None
    last_contact_at: float = 0.0


class PeerTable:
    """The other instances, by name.

    Examples
    --------
    >>> table = PeerTable()
    >>> peer = PeerState("b", 1, "cluj", "10.0.0.2:80", "10.0.0.2:7600")
    >>> table.register(peer, now=0.0)
    >>> table.live(0.5), table.expected()
    ([], ['b'])
    >>> table.update_from_peer(peer, now=0.5)
    >>> [state.name for state in table.live(1.0)]
    ['b']
    """

    def __init__(self):
        self.peers: dict[str, _Peer] = {}

    def register(self, state: PeerState, now: float) -> None:
        """Add an instance that has an entry in the store."""
        peer = self.peers.get(state.name)
        if peer is None or state.incarnation > peer.state.incarnation:
            self.peers[state.name] = _Peer(state, True, last_contact_at=now)
        else:
            peer.registered = True

    def unregister(self, name: str) -> None:
        """Record that an instance's entry is gone from the store."""
        if name in self.peers:
            self.peers[name].registered = False

    def is_new(self, state: PeerState) -> bool:
        """Return whether an incarnation has not been heard yet."""
        peer = self.peers.get(state.name)
        if peer is None or peer.last_report_at is None:
            return True
        return state.incarnation > peer.state.incarnation

    def update_from_peer(self, state: PeerState, now: float) -> None:
        """Apply a peer's report, unless it is of an earlier incarnation."""
        peer = self.peers.get(state.name)
        if peer is None or state.incarnation > peer.state.incarnation:
            registered = peer.registered if peer is not None else False
            self.peers[state.name] = _Peer(state, registered, now, now)
        elif state.incarnation == peer.state.incarnation:
            peer.state = state
            peer.last_report_at = peer.last_contact_at = now

    def expire(self, now: float) -> list[str]:
        """Remove peers that neither are registered nor report; return their names."""
        gone = [
            name
            for name, peer in self.peers.items()
            if not peer.registered and now - peer.last_contact_at > UNREGISTERED_TTL_S
        ]
        for name in gone:
            del self.peers[name]
        return gone

    def live(self, now: float) -> list[PeerState]:
        """Return the peers with a recent report."""
        return [
            peer.state
            for peer in self.peers.values()
            if peer.last_report_at is not None
            and now - peer.last_report_at <= LIVENESS_TIMEOUT_S
        ]

    def expected(self) -> list[str]:
        """Return the names of all peers that may be running."""
        return list(self.peers)

    def all(self) -> list[PeerState]:
        """Return every peer to which reports are sent."""
        return [peer.state for peer in self.peers.values()]

"""The instances as a fleet: peers, membership, the spread of configuration."""

from cassiaford.fleet._transport import Channel, Member, PeerMessage, PeerTransport

__all__ = ["Channel", "Member", "PeerMessage", "PeerTransport"]

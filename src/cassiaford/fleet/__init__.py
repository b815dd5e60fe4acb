"""The instances as a fleet: peers, membership, the spread of configuration."""

from cassiaford.fleet._claims import ClaimRegistry, ClaimService, create_claims
from cassiaford.fleet._transport import Channel, Member, PeerMessage, PeerTransport

__all__ = [
    "Channel",
    "ClaimRegistry",
    "ClaimService",
    "Member",
    "PeerMessage",
    "PeerTransport",
    "create_claims",
]

"""The instances as a fleet: peers, membership, the spread of configuration."""

from cassiaford.fleet._claims import (
    ClaimRegistry,
    ClaimService,
    create_claims,
    shard_of,
)
from cassiaford.fleet._rates import Limiter, RateLimiter, create_rate_limiter
from cassiaford.fleet._transport import Channel, Member, PeerMessage, PeerTransport

__all__ = [
    "Channel",
    "ClaimRegistry",
    "ClaimService",
    "Limiter",
    "Member",
    "RateLimiter",
    "create_rate_limiter",
    "PeerMessage",
    "PeerTransport",
    "create_claims",
    "shard_of",
]

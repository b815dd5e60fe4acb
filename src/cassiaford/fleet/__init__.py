"""The instances as a fleet: peers, membership, the spread of configuration."""

from cassiaford.fleet._claims import (
    ClaimRegistry,
    ClaimService,
    create_claims,
    shard_of,
)
from cassiaford.fleet._rates import Limiter, RateLimiter, create_rate_limiter
from cassiaford.fleet._suspects import SuspectRegistry, create_suspects
from cassiaford.fleet._transport import Channel, Member, PeerMessage, PeerTransport

__all__ = [
    "Channel",
    "ClaimRegistry",
    "ClaimService",
    "Limiter",
    "Member",
    "PeerMessage",
    "PeerTransport",
    "RateLimiter",
    "SuspectRegistry",
    "create_claims",
    "create_rate_limiter",
    "create_suspects",
    "shard_of",
]

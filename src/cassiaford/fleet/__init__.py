"""The fleet of instances: peer messages, membership and shared state.

Instances share the configuration, rate shares, claims on requests and crash
reports over the key-value service and peer messages.
"""

from cassiaford.fleet._claims import (
    ClaimRegistry,
    ClaimService,
    create_claim_registry,
    shard_of,
)
from cassiaford.fleet._configuration import (
    ConfigurationStore,
)
from cassiaford.fleet._fleet import (
    Fleet,
    create_fleet,
)
from cassiaford.fleet._log import (
    Author,
    ConfigurationLog,
    LostRaceError,
    UnknownOutcomeError,
)
from cassiaford.fleet._orders import (
    OrderRunner,
    create_order_runner,
)
from cassiaford.fleet._rates import (
    Limiter,
    RateLimiter,
    create_rate_limiter,
)
from cassiaford.fleet._revision_codec import (
    ConfigurationLogError,
    EntryError,
)
from cassiaford.fleet._sent_prompts import (
    MIN_REPORTED_TOKENS,
    SentPromptExchange,
)
from cassiaford.fleet._suspects import (
    SuspectRegistry,
    create_suspect_registry,
)
from cassiaford.fleet._transport import (
    Channel,
    Member,
    PeerMessage,
    PeerTransport,
    RequestTransport,
)

__all__ = [
    "Author",
    "Channel",
    "ClaimRegistry",
    "ClaimService",
    "ConfigurationLog",
    "ConfigurationLogError",
    "ConfigurationStore",
    "EntryError",
    "Fleet",
    "Limiter",
    "LostRaceError",
    "MIN_REPORTED_TOKENS",
    "Member",
    "OrderRunner",
    "PeerMessage",
    "PeerTransport",
    "RateLimiter",
    "RequestTransport",
    "SentPromptExchange",
    "SuspectRegistry",
    "UnknownOutcomeError",
    "create_claim_registry",
    "create_fleet",
    "create_order_runner",
    "create_rate_limiter",
    "create_suspect_registry",
    "shard_of",
]

"""Decisions without clock, socket, thread or global randomness.

Time comes in as seconds on a monotonic clock, randomness as a seeded
`random.Random`; messages go in and actions come out as frozen data classes.
"""

from cassiaford.policy._claim_shard import (
    GROUP_WINDOW_S,
    OUTCOME_WINDOW_S,
    ReadShard,
    Settled,
    ShardBook,
    WriteShard,
    conflict_delay,
)
from cassiaford.policy._claims import (
    Claim,
    ClaimAnswer,
    ClaimRecord,
    ClaimState,
    RecordedOutcome,
    ended_record,
    unavailable,
)
from cassiaford.policy._placement import (
    Placement,
    PlacementPolicy,
    PlacementRequest,
    ServerView,
)
from cassiaford.policy._queue import (
    FifoQueue,
    RequestQueue,
    Ticket,
)
from cassiaford.policy._retries import (
    MAX_ATTEMPTS,
    FailedRequest,
    Failure,
    RetryBudget,
    RetryDecision,
)
from cassiaford.policy._server_health import (
    ServerHealth,
)

__all__ = [
    "Claim",
    "ClaimAnswer",
    "ClaimRecord",
    "ClaimState",
    "FailedRequest",
    "Failure",
    "FifoQueue",
    "GROUP_WINDOW_S",
    "MAX_ATTEMPTS",
    "OUTCOME_WINDOW_S",
    "Placement",
    "PlacementPolicy",
    "PlacementRequest",
    "ReadShard",
    "RecordedOutcome",
    "RequestQueue",
    "RetryBudget",
    "RetryDecision",
    "ServerHealth",
    "ServerView",
    "Settled",
    "ShardBook",
    "Ticket",
    "WriteShard",
    "conflict_delay",
    "ended_record",
    "unavailable",
]

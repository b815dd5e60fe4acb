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

__all__ = [
    "Claim",
    "ClaimAnswer",
    "ClaimRecord",
    "ClaimState",
    "GROUP_WINDOW_S",
    "OUTCOME_WINDOW_S",
    "Placement",
    "PlacementPolicy",
    "PlacementRequest",
    "ReadShard",
    "RecordedOutcome",
    "ServerView",
    "Settled",
    "ShardBook",
    "WriteShard",
    "conflict_delay",
    "ended_record",
    "unavailable",
]

"""Decisions without clock, socket, thread or global randomness.

Time comes in as seconds on a monotonic clock, randomness as a seeded
`random.Random`; messages go in and actions come out as frozen data classes.
"""

from cassiaford.policy._buckets import (
    Bucket,
)
from cassiaford.policy._claim_segments import Sealed, ShardState
from cassiaford.policy._claim_shard import (
    GROUP_WINDOW_S,
    OUTCOME_WINDOW_S,
    START_WITHIN_S,
    ShardBook,
    conflict_delay,
)
from cassiaford.policy._claim_steps import (
    ReadSegment,
    ReadShard,
    Settled,
    WriteSegment,
    WriteShard,
)
from cassiaford.policy._claims import (
    Claim,
    ClaimAnswer,
    ClaimRecord,
    ClaimState,
    RecordedOutcome,
    ended_record,
    released_record,
    unavailable,
)
from cassiaford.policy._owners import Holder, Ledger, OwnerTable, rendezvous_score
from cassiaford.policy._placement import (
    Placement,
    PlacementPolicy,
    PlacementRequest,
    ServerView,
)
from cassiaford.policy._share import (
    Limit,
)
from cassiaford.policy._share_messages import (
    Ask,
    Grant,
    Poll,
    Report,
    Returned,
    Send,
    ShareMessage,
)
from cassiaford.policy._shares import (
    ShareBook,
)
from cassiaford.policy._suspects import (
    Cleared,
    Crash,
    CrashReport,
    SuspectBook,
    SuspectMessage,
    Wanted,
)

__all__ = [
    "Ask",
    "Bucket",
    "Claim",
    "ClaimAnswer",
    "ClaimRecord",
    "ClaimState",
    "Cleared",
    "Crash",
    "CrashReport",
    "GROUP_WINDOW_S",
    "Grant",
    "Holder",
    "Ledger",
    "Limit",
    "OUTCOME_WINDOW_S",
    "OwnerTable",
    "Placement",
    "PlacementPolicy",
    "PlacementRequest",
    "Poll",
    "ReadSegment",
    "ReadShard",
    "RecordedOutcome",
    "Report",
    "Returned",
    "START_WITHIN_S",
    "Sealed",
    "Send",
    "ServerView",
    "Settled",
    "ShardBook",
    "ShardState",
    "ShareBook",
    "ShareMessage",
    "SuspectBook",
    "SuspectMessage",
    "Wanted",
    "WriteSegment",
    "WriteShard",
    "conflict_delay",
    "ended_record",
    "released_record",
    "rendezvous_score",
    "unavailable",
]

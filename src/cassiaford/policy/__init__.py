"""Decision logic without clocks, sockets, threads or global randomness.

Callers pass the time, in seconds on a monotonic clock, and a seeded
`random.Random`. Messages and actions are frozen data classes.
"""

from cassiaford.policy._buckets import (
    Bucket,
)
from cassiaford.policy._claim_segments import (
    SealedSegment,
    ShardState,
)
from cassiaford.policy._claim_shard import (
    CLAIM_BATCH_WINDOW_S,
    MAX_START_DELAY_S,
    OUTCOME_BATCH_WINDOW_S,
    ShardClaims,
    conflict_delay,
)
from cassiaford.policy._claim_steps import (
    ReadSegment,
    ReadShard,
    ResolvedClaim,
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
    unavailable_refusal,
)
from cassiaford.policy._departures import (
    Departure,
    Departures,
)
from cassiaford.policy._fair_queue import (
    FairQueue,
    create_fair_queue,
)
from cassiaford.policy._lookup import (
    ENTRIES_MAX_AGE_S,
    choose_instance,
    rank_entries,
)
from cassiaford.policy._member import (
    Member,
    MemberState,
    MemberUpdate,
)
from cassiaford.policy._membership import (
    Membership,
)
from cassiaford.policy._membership_messages import (
    MemberChanged,
    MembershipMessage,
    MessageKind,
    PeerContact,
    SendMessage,
    Superseded,
)
from cassiaford.policy._orders import (
    DesiredVersion,
    Load,
    LoadTable,
    Orderer,
    OrderLimits,
    SendOrder,
    WriteTable,
)
from cassiaford.policy._owners import (
    Holder,
    Ledger,
    OwnerTable,
    rendezvous_score,
)
from cassiaford.policy._placement import (
    Placement,
    PlacementPolicy,
    PlacementRequest,
    ServerView,
)
from cassiaford.policy._prefix_placement import (
    PrefixPlacement,
    create_placement,
)
from cassiaford.policy._queue import (
    FifoQueue,
    RequestQueue,
    Ticket,
)
from cassiaford.policy._resumption import (
    BrokenStream,
    may_resume,
)
from cassiaford.policy._retries import (
    MAX_ATTEMPTS,
    FailedRequest,
    Failure,
    RetryBudget,
    RetryDecision,
    indicates_crash,
)
from cassiaford.policy._revisions import (
    RevisionChange,
    RevisionPolicy,
    next_configuration,
)
from cassiaford.policy._server_health import (
    ServerHealth,
)
from cassiaford.policy._share import (
    Limit,
)
from cassiaford.policy._share_messages import (
    LedgerPoll,
    LedgerReport,
    LoanGrant,
    LoanRequest,
    ReturnedLoan,
    SendShareMessage,
    ShareMessage,
)
from cassiaford.policy._shares import (
    RateShares,
)

__all__ = [
    "LoanRequest",
    "BrokenStream",
    "Bucket",
    "Claim",
    "ClaimAnswer",
    "ClaimRecord",
    "ClaimState",
    "Departure",
    "Departures",
    "ENTRIES_MAX_AGE_S",
    "FailedRequest",
    "Failure",
    "FairQueue",
    "FifoQueue",
    "CLAIM_BATCH_WINDOW_S",
    "SendOrder",
    "LoanGrant",
    "Holder",
    "Ledger",
    "Limit",
    "Load",
    "LoadTable",
    "MAX_ATTEMPTS",
    "Member",
    "MemberChanged",
    "MemberState",
    "MemberUpdate",
    "Membership",
    "MembershipMessage",
    "MessageKind",
    "OUTCOME_BATCH_WINDOW_S",
    "OrderLimits",
    "Orderer",
    "OwnerTable",
    "PeerContact",
    "Placement",
    "PlacementPolicy",
    "PlacementRequest",
    "LedgerPoll",
    "PrefixPlacement",
    "ReadSegment",
    "ReadShard",
    "RecordedOutcome",
    "LedgerReport",
    "RequestQueue",
    "RetryBudget",
    "RetryDecision",
    "ReturnedLoan",
    "RevisionChange",
    "RevisionPolicy",
    "MAX_START_DELAY_S",
    "SealedSegment",
    "SendShareMessage",
    "SendMessage",
    "ServerHealth",
    "ServerView",
    "ResolvedClaim",
    "ShardClaims",
    "ShardState",
    "RateShares",
    "ShareMessage",
    "Superseded",
    "Ticket",
    "DesiredVersion",
    "WriteSegment",
    "WriteShard",
    "WriteTable",
    "choose_instance",
    "conflict_delay",
    "create_fair_queue",
    "create_placement",
    "ended_record",
    "may_resume",
    "next_configuration",
    "rank_entries",
    "released_record",
    "rendezvous_score",
    "indicates_crash",
    "unavailable_refusal",
]

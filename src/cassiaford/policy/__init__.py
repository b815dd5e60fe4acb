"""Decisions without clock, socket, thread or global randomness.

Time comes in as seconds on a monotonic clock, randomness as a seeded
`random.Random`; messages go in and actions come out as frozen data classes.
"""

from cassiaford.policy._lookup import (
    ENTRIES_MAX_AGE_S,
    choose_instance,
    rank_entries,
)
from cassiaford.policy._member import Member, MemberState, MemberUpdate
from cassiaford.policy._membership import Membership
from cassiaford.policy._membership_messages import (
    MemberChanged,
    MembershipMessage,
    MessageKind,
    PeerHeard,
    SendMessage,
    Superseded,
)
from cassiaford.policy._placement import (
    Placement,
    PlacementPolicy,
    PlacementRequest,
    ServerView,
)
from cassiaford.policy._revisions import (
    RevisionChange,
    RevisionPolicy,
    next_configuration,
)

__all__ = [
    "ENTRIES_MAX_AGE_S",
    "RevisionChange",
    "RevisionPolicy",
    "choose_instance",
    "next_configuration",
    "rank_entries",
    "Member",
    "MemberChanged",
    "MemberState",
    "MemberUpdate",
    "Membership",
    "MembershipMessage",
    "MessageKind",
    "PeerHeard",
    "Placement",
    "PlacementPolicy",
    "PlacementRequest",
    "SendMessage",
    "ServerView",
    "Superseded",
]

"""Decisions without clock, socket, thread or global randomness.

Time comes in as seconds on a monotonic clock, randomness as a seeded
`random.Random`; messages go in and actions come out as frozen data classes.
"""

from cassiaford.policy._fair_queue import FairQueue, create_fair_queue
from cassiaford.policy._placement import (
    Placement,
    PlacementPolicy,
    PlacementRequest,
    ServerView,
)
from cassiaford.policy._prefix_placement import PrefixPlacement, create_placement
from cassiaford.policy._queue import FifoQueue, RequestQueue, Ticket

__all__ = [
    "FairQueue",
    "FifoQueue",
    "Placement",
    "PlacementPolicy",
    "PlacementRequest",
    "PrefixPlacement",
    "RequestQueue",
    "ServerView",
    "Ticket",
    "create_fair_queue",
    "create_placement",
]

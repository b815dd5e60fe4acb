"""Decisions without clock, socket, thread or global randomness.

Time comes in as seconds on a monotonic clock, randomness as a seeded
`random.Random`; messages go in and actions come out as frozen data classes.
"""

from cassiaford.policy._placement import (
    Placement,
    PlacementPolicy,
    PlacementRequest,
    ServerView,
)
from cassiaford.policy._queue import FifoQueue, RequestQueue, Ticket
from cassiaford.policy._resumption import BrokenStream, may_resume
from cassiaford.policy._retries import (
    MAX_ATTEMPTS,
    FailedRequest,
    Failure,
    RetryBudget,
    RetryDecision,
)
from cassiaford.policy._server_health import ServerHealth

__all__ = [
    "MAX_ATTEMPTS",
    "BrokenStream",
    "FailedRequest",
    "Failure",
    "FifoQueue",
    "Placement",
    "PlacementPolicy",
    "PlacementRequest",
    "RequestQueue",
    "RetryBudget",
    "RetryDecision",
    "ServerHealth",
    "ServerView",
    "Ticket",
    "may_resume",
]

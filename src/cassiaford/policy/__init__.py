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

__all__ = ["Placement", "PlacementPolicy", "PlacementRequest", "ServerView"]

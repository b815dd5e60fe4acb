"""Requests that crash the servers that run them: decisions without any I/O.

Both kinds of entry instance use them; they differ in how they learn of crashes
and report them to each other.
"""

from cassiaford.suspects._crash import Crash
from cassiaford.suspects._fingerprint import request_fingerprint
from cassiaford.suspects._parts import PartTracker, distinct_parts, part_fingerprint
from cassiaford.suspects._placement import SuspectPlacement, servers_for_suspects
from cassiaford.suspects._tracker import (
    AnsweredParts,
    ClearedFingerprint,
    CrashReport,
    RefusedParts,
    SuspectMessage,
    SuspectTracker,
    SuspicionRequest,
    Suspicions,
    aged,
)

__all__ = [
    "AnsweredParts",
    "ClearedFingerprint",
    "Crash",
    "CrashReport",
    "PartTracker",
    "RefusedParts",
    "SuspectMessage",
    "SuspectPlacement",
    "SuspectTracker",
    "SuspicionRequest",
    "Suspicions",
    "aged",
    "distinct_parts",
    "part_fingerprint",
    "request_fingerprint",
    "servers_for_suspects",
]

"""Requests that crash the servers that run them: decisions without any I/O.

Both kinds of entry instance use them; they differ in how they learn of crashes
and report them to each other.
"""

from cassiaford.suspects._fingerprint import request_fingerprint
from cassiaford.suspects._placement import SuspectPlacement, servers_for_suspects
from cassiaford.suspects._tracker import (
    ClearedFingerprint,
    Crash,
    CrashReport,
    SuspectMessage,
    SuspectTracker,
    SuspicionRequest,
)

__all__ = [
    "ClearedFingerprint",
    "Crash",
    "CrashReport",
    "SuspectMessage",
    "SuspectPlacement",
    "SuspectTracker",
    "SuspicionRequest",
    "request_fingerprint",
    "servers_for_suspects",
]

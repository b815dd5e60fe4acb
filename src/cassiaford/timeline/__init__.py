"""The time line: events of one process, ordered across all processes."""

from cassiaford.timeline._clock import HybridClock, Timestamp
from cassiaford.timeline._journal import Detail, Journal, Record, Subject

__all__ = ["Detail", "HybridClock", "Journal", "Record", "Subject", "Timestamp"]

"""The time line: the events of all processes in one order."""

from cassiaford.timeline._clock import HybridClock, Timestamp
from cassiaford.timeline._document import (
    GatheredRecord,
    InvalidRecordError,
    merge,
    parse_record,
    record_document,
    to_gathered_record,
)
from cassiaford.timeline._journal import Detail, Journal, Record, Subject
from cassiaford.timeline._log_lines import read_log_lines
from cassiaford.timeline._render import html_page, text_line

__all__ = [
    "InvalidRecordError",
    "Detail",
    "GatheredRecord",
    "HybridClock",
    "Journal",
    "Record",
    "Subject",
    "Timestamp",
    "to_gathered_record",
    "html_page",
    "merge",
    "parse_record",
    "read_log_lines",
    "record_document",
    "text_line",
]

"""Interpretation of a response's status and headers."""

from cassiaford.pipeline._response import ResponseHead
from cassiaford.pipeline._upstream import NOT_STARTED_HEADER
from cassiaford.policy import Failure
from cassiaford.verdict import Verdict

OK = 200
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503
# Statuses by which a server reports that something behind it failed.
UNCERTAIN_STATUSES = frozenset({502, 503, 504})


def response_verdict(head: ResponseHead) -> Verdict:
    """Return whether a request ran, given the response relayed to the caller."""
    if head.status in UNCERTAIN_STATUSES:
        return Verdict.MAY_HAVE_RUN
    return Verdict.RAN


def response_failure(head: ResponseHead, continues_stream: bool) -> Failure | None:
    """Return the failure that a head reports, or None if it can be relayed.

    `continues_stream` says that part of a stream was received before, so that
    the response must be a stream too.
    """
    not_started = head.header(NOT_STARTED_HEADER).lower() == "true"
    if not_started and head.status in (TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE):
        return Failure.NOT_STARTED
    if head.status == SERVICE_UNAVAILABLE:
        return Failure.OVERLOADED
    if continues_stream and not (head.status == OK and head.is_event_stream):
        return Failure.UNKNOWN_STREAM
    return None


def retry_after(head: ResponseHead) -> float | None:
    """Return the seconds in a ``Retry-After`` header, or None if it has none."""
    text = head.header("retry-after")
    return float(text) if text.isdecimal() else None


def is_mismatched(head: ResponseHead, request_id: str) -> bool:
    """Return whether a response carries the id of another request."""
    returned_id = head.header("x-request-id")
    return bool(returned_id) and returned_id != request_id

"""What an answer's status and headers say about its request."""

from cassiaford.pipeline._response import AnswerHead
from cassiaford.pipeline._upstream import NOT_STARTED_HEADER
from cassiaford.policy import Failure
from cassiaford.verdict import Verdict

OK = 200
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503
# Answers by which a server says that something behind it failed.
DOUBTFUL_STATUSES = frozenset({502, 503, 504})


def answer_verdict(head: AnswerHead) -> Verdict:
    """Return whether a request ran, given the answer that the caller gets."""
    if head.status in DOUBTFUL_STATUSES:
        return Verdict.MAY_HAVE_RUN
    return Verdict.RAN


def refused_attempt(head: AnswerHead, continues: bool) -> Failure | None:
    """Return the failure that a head amounts to, or None if it is an answer.

    `continues` says that a part of a stream has arrived already, which only a
    further stream can continue.
    """
    not_started = head.header(NOT_STARTED_HEADER).lower() == "true"
    if not_started and head.status in (TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE):
        return Failure.NOT_STARTED
    if head.status == SERVICE_UNAVAILABLE:
        return Failure.OVERLOADED
    if continues and not (head.status == OK and head.is_event_stream):
        return Failure.UNKNOWN_STREAM
    return None


def retry_after(head: AnswerHead) -> float | None:
    """Return the seconds in a ``Retry-After`` header, if it has them."""
    text = head.header("retry-after")
    return float(text) if text.isdecimal() else None


def wrong_request(head: AnswerHead, request_id: str) -> bool:
    """Return whether an answer names another request than ours."""
    named = head.header("x-request-id")
    return bool(named) and named != request_id

"""Failures of attempts to serve a request with a backend server."""

import enum

from cassiaford.verdict._refusal import RefusalReason
from cassiaford.verdict._verdict import Verdict


class Failure(enum.Enum):
    """How an attempt to serve a request with a backend server failed.

    The value of a member is a description for the caller, the verdict that
    follows from the failure, and the reason for a refusal after it.
    """

    CONNECT_FAILED = (
        "no connection to the backend server",
        Verdict.NOT_RUN,
        RefusalReason.RETRIES_EXHAUSTED,
    )
    SERVER_LEFT = (
        "the backend server left before the request was sent",
        Verdict.NOT_RUN,
        RefusalReason.RETRIES_EXHAUSTED,
    )
    WEIGHTS_REPLACED = (
        "the engine's weights were replaced too long ago to send it the request",
        Verdict.NOT_RUN,
        RefusalReason.RETRIES_EXHAUSTED,
    )
    UNSENDABLE = (
        "the request cannot be written as HTTP",
        Verdict.NOT_RUN,
        RefusalReason.BAD_REQUEST,
    )
    START_DEADLINE_PASSED = (
        "the deadline for starting the request has passed",
        Verdict.NOT_RUN,
        RefusalReason.DEADLINE,
    )
    NOT_STARTED = (
        "the backend server did not start the request",
        Verdict.NOT_RUN,
        RefusalReason.RETRIES_EXHAUSTED,
    )
    WITHDRAWN = (
        "withdrawn unstarted, since newer weights must be in use by now",
        Verdict.MAY_HAVE_RUN,
        RefusalReason.BACKEND_FAILED,
    )
    SEND_FAILED = (
        "the connection broke while the request was sent",
        Verdict.MAY_HAVE_RUN,
        RefusalReason.BACKEND_FAILED,
    )
    RESET_BEFORE_RESPONSE = (
        "the connection broke before the response",
        Verdict.MAY_HAVE_RUN,
        RefusalReason.BACKEND_FAILED,
    )
    RESET_DURING_RESPONSE = (
        "the connection broke during the response",
        Verdict.MAY_HAVE_RUN,
        RefusalReason.BACKEND_FAILED,
    )
    FIRST_BYTE_TIMEOUT = (
        "the backend server did not respond in time",
        Verdict.MAY_HAVE_RUN,
        RefusalReason.BACKEND_TIMEOUT,
    )
    REQUEST_TIMEOUT = (
        "the response exceeded the time limit of a request",
        Verdict.MAY_HAVE_RUN,
        RefusalReason.BACKEND_TIMEOUT,
    )
    IDLE_TIMEOUT = (
        "the connection was idle for too long during the response",
        Verdict.MAY_HAVE_RUN,
        RefusalReason.BACKEND_TIMEOUT,
    )
    OVERLOADED = (
        "the backend server responded with status 503",
        Verdict.MAY_HAVE_RUN,
        RefusalReason.BACKEND_FAILED,
    )
    SERVER_ERROR = (
        "the backend server responded with an error of its own",
        Verdict.MAY_HAVE_RUN,
        RefusalReason.BACKEND_FAILED,
    )
    TRUNCATED_RESPONSE = (
        "the response ended before it was complete",
        Verdict.MAY_HAVE_RUN,
        RefusalReason.BACKEND_FAILED,
    )
    INVALID_RESPONSE = (
        "the response was not valid HTTP",
        Verdict.MAY_HAVE_RUN,
        RefusalReason.BACKEND_FAILED,
    )
    MISMATCHED_RESPONSE = (
        "the response belonged to another request",
        Verdict.MAY_HAVE_RUN,
        RefusalReason.BACKEND_FAILED,
    )
    UNKNOWN_STREAM = (
        "the backend server no longer had the stream",
        Verdict.MAY_HAVE_RUN,
        RefusalReason.BACKEND_FAILED,
    )
    DIVERGED = (
        "the stream could not be continued on another server",
        Verdict.MAY_HAVE_RUN,
        RefusalReason.BACKEND_FAILED,
    )

    @property
    def text(self) -> str:
        """The description for the caller."""
        return self.value[0]

    @property
    def verdict(self) -> Verdict:
        """The verdict that follows from the failure."""
        return self.value[1]

    @property
    def reason(self) -> RefusalReason:
        """The reason for a refusal after this failure."""
        return self.value[2]

    @property
    def is_final(self) -> bool:
        """Whether another attempt cannot succeed."""
        return self in _FINAL_FAILURES

    @property
    def suspects_server(self) -> bool:
        """Whether the server's other connections are suspect too."""
        return self in _SERVER_FAILURES


_FINAL_FAILURES = frozenset(
    {Failure.UNSENDABLE, Failure.START_DEADLINE_PASSED, Failure.REQUEST_TIMEOUT}
)
_SERVER_FAILURES = frozenset(
    {
        Failure.CONNECT_FAILED,
        Failure.SEND_FAILED,
        Failure.RESET_BEFORE_RESPONSE,
        Failure.RESET_DURING_RESPONSE,
        Failure.FIRST_BYTE_TIMEOUT,
        Failure.IDLE_TIMEOUT,
    }
)

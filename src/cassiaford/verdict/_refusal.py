"""Refusals: the final responses to requests that are not served."""

import enum
from dataclasses import dataclass

from cassiaford.verdict._verdict import Verdict


class RefusalReason(enum.Enum):
    """Why a request was refused.

    The value of a member is the error code for callers, the HTTP status, and
    the error type of the OpenAI-compatible interface.
    """

    BAD_REQUEST = ("bad_request", 400, "invalid_request_error")
    MISSING_IDEMPOTENCY_KEY = (
        "missing_idempotency_key",
        400,
        "invalid_request_error",
    )
    MISSING_KEY = ("missing_api_key", 401, "authentication_error")
    INVALID_KEY = ("invalid_api_key", 401, "authentication_error")
    MODEL_NOT_PERMITTED = ("model_not_permitted", 403, "permission_error")
    UNKNOWN_ROUTE = ("unknown_route", 404, "invalid_request_error")
    UNKNOWN_MODEL = ("model_not_found", 404, "invalid_request_error")
    METHOD_NOT_ALLOWED = ("method_not_allowed", 405, "invalid_request_error")
    REQUEST_TIMEOUT = ("request_timeout", 408, "invalid_request_error")
    IN_PROGRESS = ("request_in_progress", 409, "conflict_error")
    OUTCOME_UNKNOWN = ("outcome_unknown", 409, "conflict_error")
    KEY_REUSED = ("idempotency_key_reused", 422, "invalid_request_error")
    BODY_TOO_LARGE = ("body_too_large", 413, "invalid_request_error")
    HEADERS_TOO_LARGE = ("headers_too_large", 431, "invalid_request_error")
    OVER_BURST = ("request_over_burst", 400, "invalid_request_error")
    RATE_LIMITED = ("rate_limit_exceeded", 429, "rate_limit_error")
    QUEUE_FULL = ("queue_full", 503, "overloaded_error")
    DEADLINE = ("deadline_cannot_be_met", 503, "overloaded_error")
    RETRIES_EXHAUSTED = ("retries_exhausted", 503, "overloaded_error")
    NO_BACKEND = ("no_backend_server", 503, "overloaded_error")
    STREAM_ORIGIN_UNKNOWN = ("stream_origin_unknown", 503, "overloaded_error")
    CLAIMS_UNAVAILABLE = ("claims_unavailable", 503, "overloaded_error")
    CONFIGURATION_STALE = ("configuration_stale", 503, "overloaded_error")
    STARTING = ("instance_starting", 503, "overloaded_error")
    STOPPING = ("instance_stopping", 503, "overloaded_error")
    BACKEND_FAILED = ("backend_server_failed", 502, "api_error")
    BACKEND_TIMEOUT = ("backend_server_timeout", 504, "api_error")
    CRASHES_SERVERS = ("request_crashes_servers", 422, "api_error")
    INTERNAL = ("internal_error", 500, "api_error")

    @property
    def code(self) -> str:
        """The code in the error body."""
        return self.value[0]

    @property
    def status(self) -> int:
        """The HTTP status code."""
        return self.value[1]

    @property
    def error_type(self) -> str:
        """The error type in the error body."""
        return self.value[2]


@dataclass(frozen=True)
class Refusal:
    """The final response to a request that is not served.

    `retry_after_s` is the time in seconds after which a retry may succeed, or
    None if a retry cannot help.
    """

    reason: RefusalReason
    verdict: Verdict
    message: str
    retry_after_s: float | None = None


def refuse(
    reason: RefusalReason, message: str, retry_after_s: float | None = None
) -> Refusal:
    """Return the refusal of a request of which no byte has been sent to a server.

    Examples
    --------
    >>> refuse(RefusalReason.RATE_LIMITED, "rate used up", 1.5).verdict
    <Verdict.NOT_RUN: 'not_run'>
    """
    return Refusal(reason, Verdict.NOT_RUN, message, retry_after_s)

"""The platform's HTTP headers."""

import math

from cassiaford.gateway import (
    HOP_BY_HOP,
    Dialect,
    Forwarding,
    Headers,
    HttpRequest,
    MalformedError,
    PromptPart,
    RequestMetadata,
    ResponseMetadata,
)
from cassiaford.verdict import RefusalReason

# Headers that only the gateway may set; those sent by callers are dropped.
_SYSTEM_HEADERS = frozenset(
    {
        "x-key",
        "x-deadline-ms",
        "x-tenant",
        "x-expect-instance",
        "x-expect-version",
        "x-cache-salt",
        "x-kv-fetch",
        "x-kv-save",
        "x-request-urgency",
        "x-pin-ms",
        "x-hold",
        "x-kv-backup",
        "kv-from",
        "content-length",
        "expect",
    }
)
# Headers from backend servers to the gateway, which callers do not get.
_SERVER_HEADERS = frozenset({"x-server-load", "x-instance-id"})
_MAX_URGENCY = 9


class PlatformDialect(Dialect):
    """Reads and writes the platform's headers."""

    def read_request(self, request: HttpRequest) -> RequestMetadata:
        """Return the metadata in a caller's headers."""
        headers = {name.lower(): value for name, value in request.headers}
        attempt_id = headers.get("x-attempt-id", "")
        if not attempt_id:
            raise MalformedError("the request has no X-Attempt-Id")
        prompt, output = _token_count(headers.get("x-token-count"))
        return RequestMetadata(
            attempt_id=attempt_id,
            host=headers.get("host", "").partition(":")[0],
            key=headers.get("x-key"),
            deadline_s=_seconds(headers.get("x-deadline-ms")),
            model=headers.get("x-model"),
            prompt_tokens=prompt,
            output_tokens=output,
            parts=_parts(headers.get("x-prompt-prefix")),
            resume_after=headers.get("last-event-id") or None,
            resumes=headers.get("resumes") or None,
        )

    def forwarded_headers(
        self, request: HttpRequest, forwarding: Forwarding
    ) -> Headers:
        """Return the headers of a request as sent to a backend server."""
        listed_names = _connection_options(request.headers)
        dropped = _SYSTEM_HEADERS | HOP_BY_HOP | listed_names
        if forwarding.resume_after is not None:
            dropped |= {"last-event-id"}
        headers = [(n, v) for n, v in request.headers if n.lower() not in dropped]
        headers.append(("X-Expect-Instance", forwarding.server.server_id))
        if forwarding.time_left_s is not None:
            left_ms = max(1, math.floor(forwarding.time_left_s * 1000))
            headers.append(("X-Deadline-Ms", str(left_ms)))
        if forwarding.customer is not None:
            headers.append(("X-Tenant", forwarding.customer))
        if forwarding.cache_scope is not None:
            headers.append(("X-Cache-Salt", forwarding.cache_scope))
        if forwarding.urgency is not None:
            urgency = min(max(forwarding.urgency, 0), _MAX_URGENCY)
            headers.append(("X-Request-Urgency", str(urgency)))
        if forwarding.expected_version is not None:
            headers.append(("X-Expect-Version", str(forwarding.expected_version)))
        if forwarding.fetch_from is not None:
            headers.append(("X-Kv-Fetch", forwarding.fetch_from))
        if forwarding.save_to is not None:
            headers.append(("X-Kv-Save", forwarding.save_to))
        if forwarding.resume_after is not None:
            headers.append(("Last-Event-Id", forwarding.resume_after))
        return headers

    def read_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return the metadata in a backend server's response headers."""
        fields = {name.lower(): value for name, value in headers}
        misdirected = status == 421
        return ResponseMetadata(
            attempt_id=fields.get("x-attempt-id"),
            signed="x-response-seal" in fields,
            # A 421 by itself states that the request has not run.
            not_run="x-not-executed" in fields or misdirected,
            misdirected=misdirected,
            server_id=fields.get("x-instance-id"),
        )

    def status(self, reason: RefusalReason) -> int:
        """Return the status of a refusal as sent to the caller."""
        # Here a 4xx says that the caller's request violates the protocol.
        if reason is RefusalReason.CRASHES_SERVERS:
            return RefusalReason.BACKEND_FAILED.status
        return super().status(reason)

    def returned_headers(self, headers: Headers) -> Headers:
        """Return the headers of a response as sent to the caller."""
        dropped = HOP_BY_HOP | _SERVER_HEADERS | _connection_options(headers)
        return [(n, v) for n, v in headers if n.lower() not in dropped]


def _connection_options(headers):
    """Return the names that a Connection header makes hop-by-hop."""
    return {
        option.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for option in value.split(",")
    }


def _seconds(value):
    if value is None:
        return None
    try:
        return float(value) / 1000
    except ValueError as error:
        raise MalformedError("X-Deadline-Ms is not a number") from error


def _token_count(value):
    if value is None:
        return 0, 0
    try:
        prompt, _, output = value.partition(",")
        return int(prompt), int(output or 0)
    except ValueError as error:
        raise MalformedError("X-Token-Count is not two numbers") from error


def _parts(value):
    if not value:
        return ()
    parts = []
    for entry in value.split(","):
        part_id, _, tokens = entry.strip().partition(":")
        if not tokens.isdigit():
            raise MalformedError("X-Prompt-Prefix is not a list of parts")
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)

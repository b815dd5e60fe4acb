"""HTTP responses for refusals, in the error format of the OpenAI API."""

import http.client
import json
import math
from collections.abc import Sequence

from cassiaford.pipeline._messages import Header
from cassiaford.verdict import Refusal

VERDICT_HEADER = "X-Cassiaford-Verdict"
REQUEST_ID_HEADER = "X-Request-Id"
JSON_TYPE = "application/json"


def refusal_body(refusal: Refusal, request_id: str) -> bytes:
    """Return the JSON body of a refusal."""
    error = {
        "message": refusal.message,
        "type": refusal.reason.error_type,
        "param": None,
        "code": refusal.reason.code,
        "verdict": refusal.verdict.value,
        "request_id": request_id,
    }
    if refusal.retry_after_s is not None:
        error["retry_after_s"] = round(refusal.retry_after_s, 3)
    return json.dumps({"error": error}).encode()


def refusal_headers(refusal: Refusal, request_id: str) -> tuple[Header, ...]:
    """Return the headers of a refusal; `Retry-After` is in whole seconds."""
    headers = [
        Header("Content-Type", JSON_TYPE),
        Header(VERDICT_HEADER, refusal.verdict.value),
        Header(REQUEST_ID_HEADER, request_id),
    ]
    # The openai client library obeys this header when it decides on a retry.
    should_retry = refusal.retry_after_s is not None
    headers.append(Header("X-Should-Retry", "true" if should_retry else "false"))
    if should_retry:
        seconds = max(1, math.ceil(refusal.retry_after_s))
        headers.append(Header("Retry-After", str(seconds)))
    return tuple(headers)


def http_head(status: int, headers: Sequence[Header]) -> bytes:
    """Return the head of an HTTP/1.1 response.

    Examples
    --------
    >>> http_head(200, [Header("A", "b")])
    b'HTTP/1.1 200 OK\\r\\nA: b\\r\\n\\r\\n'
    """
    reason = http.client.responses.get(status, "Unknown")
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines.extend(f"{header.name}: {header.value}" for header in headers)
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")


def refusal_response(refusal: Refusal, request_id: str) -> bytes:
    """Return a complete HTTP response for a refusal, with `Connection: close`."""
    body = refusal_body(refusal, request_id)
    headers = (
        *refusal_headers(refusal, request_id),
        Header("Content-Length", str(len(body))),
        Header("Connection", "close"),
    )
    return http_head(refusal.reason.status, headers) + body

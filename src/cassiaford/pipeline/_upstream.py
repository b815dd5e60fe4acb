"""The request as it is sent to a backend server.

The caller's key, cookies and hop-by-hop headers are removed; the instance sends
its own credential instead.
"""

import json
from dataclasses import dataclass, field, replace

from cassiaford._hop_by_hop import HOP_BY_HOP
from cassiaford.pipeline._http_responses import JSON_TYPE, REQUEST_ID_HEADER
from cassiaford.pipeline._messages import AdmittedRequest, ServiceClass

PRIORITY_HEADER = "X-Priority"
CACHE_SALT_HEADER = "X-Cache-Salt"
RESUME_HEADER = "X-Resume-Offset"
NOT_STARTED_HEADER = "x-not-started"

SECRET_HEADERS = frozenset(
    {"authorization", "proxy-authorization", "api-key", "x-api-key", "cookie"}
)
# Set for the connection to the backend server, or reserved for cassiaford.
REPLACED_HEADERS = frozenset(
    {
        "content-length",
        "expect",
        "host",
        "x-request-id",
        "x-priority",
        "x-cache-salt",
        "x-resume-offset",
    }
)
# A compressed response could neither be split into events nor parsed for usage.
REPLACED_MODEL_HEADERS = frozenset({"accept-encoding", "content-type"})

# Inserted at the start of a JSON object that has other members.
_USAGE_OPTION = b'"stream_options": {"include_usage": true}, '

_PRIORITIES = {
    ServiceClass.INTERACTIVE: 0,
    ServiceClass.STANDARD: 1,
    ServiceClass.BATCH: 2,
}


@dataclass(frozen=True)
class UpstreamRequest:
    """A request ready to be sent to any suitable backend server.

    `hides_usage` is true if this instance, not the caller, requested the usage
    event.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = field(repr=False)
    body: bytes = field(repr=False)
    streaming: bool = False
    hides_usage: bool = False

    def with_salt(self, salt: str) -> "UpstreamRequest":
        """Return a copy of the request with another cache salt."""
        headers = dict(self.headers) | {CACHE_SALT_HEADER: salt}
        return replace(self, headers=tuple(headers.items()))

    def headers_at(self, offset: int | None) -> dict[str, str]:
        """Return the headers, with the resume offset in events if one is given."""
        headers = dict(self.headers)
        if offset is not None:
            headers[RESUME_HEADER] = str(offset)
        return headers


def upstream_request(request: AdmittedRequest, credential: str = "") -> UpstreamRequest:
    """Return the request to send to a backend server for an admitted request."""
    if request.call is None:
        return _service_request(request, credential)
    return _model_request(request, credential)


def _service_request(request, credential):
    caller = request.authenticated.caller
    headers = _forwarded_headers(caller.headers, frozenset())
    headers.update(_own_headers(request, credential))
    return UpstreamRequest(
        request_id=request.request_id,
        method=caller.method,
        target=caller.target,
        headers=tuple(headers.items()),
        body=caller.body,
    )


def _model_request(request, credential):
    caller, call = request.authenticated.caller, request.call
    headers = _forwarded_headers(caller.headers, REPLACED_MODEL_HEADERS)
    headers.update(_own_headers(request, credential))
    headers["Content-Type"] = JSON_TYPE
    headers["Accept-Encoding"] = "identity"
    headers[PRIORITY_HEADER] = str(_PRIORITIES[request.service_class])
    headers[CACHE_SALT_HEADER] = f"{call.scope:016x}"
    adds_usage = call.streaming and not _asks_for_usage(call.body)
    return UpstreamRequest(
        request_id=request.request_id,
        method="POST",
        target=request.authenticated.model_path,
        headers=tuple(headers.items()),
        body=_with_usage_option(call.body, caller.body) if adds_usage else caller.body,
        streaming=call.streaming,
        hides_usage=adds_usage,
    )


def _own_headers(request, credential):
    headers = {REQUEST_ID_HEADER: request.request_id}
    if credential:
        headers["Authorization"] = f"Bearer {credential}"
    return headers


def _forwarded_headers(headers, replaced):
    """Return the headers to forward, those of one name joined by commas."""
    connection_headers = set()
    for header in headers:
        if header.name.lower() == "connection":
            connection_headers.update(
                name.strip().lower() for name in header.value.split(",")
            )
    dropped = (
        HOP_BY_HOP | SECRET_HEADERS | REPLACED_HEADERS | replaced | connection_headers
    )
    forwarded = {}
    for header in headers:
        name = header.name.lower()
        if name in dropped:
            continue
        earlier = forwarded.get(name)
        forwarded[name] = f"{earlier}, {header.value}" if earlier else header.value
    return forwarded


def _asks_for_usage(body):
    options = body.get("stream_options")
    return isinstance(options, dict) and options.get("include_usage") is True


def _with_usage_option(body, text):
    """Return the body's text with the option that requests usage.

    Where possible the option is inserted into the text, to avoid serializing a
    long prompt again.
    """
    start = text.find(b"{") + 1
    if "stream_options" not in body and text[start : start + 1] != b"\0":
        return text[:start] + _USAGE_OPTION + text[start:]
    options = body.get("stream_options")
    options = dict(options) if isinstance(options, dict) else {}
    options["include_usage"] = True
    return json.dumps({**body, "stream_options": options}).encode()

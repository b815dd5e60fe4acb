"""Receipt: turns a raw HTTP request into a validated one."""

import re
import uuid
from dataclasses import dataclass, field
from urllib.parse import unquote

from cassiaford._hop_by_hop import HOP_BY_HOP
from cassiaford.pipeline._filter import Filter
from cassiaford.pipeline._messages import CallerRequest, Header
from cassiaford.verdict import Refusal, RefusalReason, refuse

# Hop-by-hop headers, and those that no backend server may see.
DROPPED_HEADERS = HOP_BY_HOP | frozenset(
    {
        "authorization",
        "api-key",
        "content-length",
        "cookie",
        "expect",
        "host",
        "x-api-key",
    }
)
# Headers that cassiaford sets itself; a caller must not forge them.
RESERVED_HEADERS = frozenset(
    {"x-cache-salt", "x-not-started", "x-priority", "x-request-id", "x-resume-offset"}
)
BEARER_PREFIX = "bearer "
# A backend server may resolve dot segments or encoded separators to another
# route than the one that the router checked.
_AMBIGUOUS_PATH = re.compile(r"//|/\.{1,2}(/|$)|[\\\x00-\x20\x7f]|%2f|%5c", re.I)
_PRINTABLE_TARGET = re.compile(r"^/[!-~]*$")


@dataclass(frozen=True)
class RawRequest:
    """A request as parsed by the HTTP server.

    `received_at` is in seconds on the monotonic clock; `target` is the path
    with its query, unchanged.
    """

    method: str
    target: str
    headers: tuple[Header, ...]
    received_at: float
    body: bytes = field(repr=False)


class ReceiveFilter(Filter[RawRequest, CallerRequest]):
    """Validates the path, assigns a request id and extracts the API key."""

    def process(self, message: RawRequest) -> CallerRequest | Refusal:
        """Return the request, or a refusal if it is malformed."""
        path = message.target.partition("?")[0]
        if not _is_plain_path(message.target, path):
            return refuse(
                RefusalReason.BAD_REQUEST,
                "the path must be printable ASCII without '.', '..' or empty"
                " segments and without encoded separators",
            )
        return CallerRequest(
            request_id=uuid.uuid4().hex,
            received_at=message.received_at,
            method=message.method,
            target=message.target,
            path=path,
            headers=tuple(h for h in message.headers if _is_forwarded(h.name)),
            body=message.body,
            key=_bearer_key(message.headers),
        )


def _is_plain_path(target, path):
    if not _PRINTABLE_TARGET.match(target):
        return False
    # Decoded twice, since a backend server may decode the path once more.
    candidates = (path, unquote(path), unquote(unquote(path)))
    return not any(_AMBIGUOUS_PATH.search(text) for text in candidates)


def _is_forwarded(name):
    return name not in DROPPED_HEADERS and name not in RESERVED_HEADERS


def _bearer_key(headers):
    for header in headers:
        if header.name == "authorization":
            value = header.value.strip()
            if value.lower().startswith(BEARER_PREFIX):
                return value[len(BEARER_PREFIX) :].strip()
    return ""

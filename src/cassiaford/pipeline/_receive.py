"""Receive: from raw HTTP to a request whose form is known to be sound."""

import re
import uuid
from dataclasses import dataclass, field
from urllib.parse import unquote

from cassiaford._hop_by_hop import HOP_BY_HOP
from cassiaford.pipeline._filter import Filter
from cassiaford.pipeline._messages import CallerRequest, Header
from cassiaford.verdict import Refusal, RefusalReason, refuse

# Headers that end at this hop, or that hold what no backend server may see.
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
# Headers of cassiaford's own that a caller must not forge.
RESERVED_HEADERS = frozenset(
    {"x-cache-salt", "x-not-started", "x-priority", "x-request-id", "x-resume-offset"}
)
BEARER = "bearer "
# A path with dot segments or encoded separators may mean another route to the
# backend server than to the router.
_AMBIGUOUS_PATH = re.compile(r"//|/\.{1,2}(/|$)|[\\\x00-\x20\x7f]|%2f|%5c", re.I)
_PRINTABLE_TARGET = re.compile(r"^/[!-~]*$")


@dataclass(frozen=True)
class RawRequest:
    """A request as the HTTP server read it.

    `received_at` is in seconds on the monotonic clock; `target` is the path
    with its query, as it came.
    """

    method: str
    target: str
    headers: tuple[Header, ...]
    received_at: float
    body: bytes = field(repr=False)


class ReceiveFilter(Filter[RawRequest, CallerRequest]):
    """Checks the form of a request, names it, and sets the key apart."""

    def process(self, message: RawRequest) -> CallerRequest | Refusal:
        """Return the request, or the refusal of one that is malformed."""
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
            headers=tuple(h for h in message.headers if _passes(h.name)),
            body=message.body,
            key=_bearer_key(message.headers),
        )


def _is_plain_path(target, path):
    if not _PRINTABLE_TARGET.match(target):
        return False
    # Decoded twice, since a backend server may decode once more.
    candidates = (path, unquote(path), unquote(unquote(path)))
    return not any(_AMBIGUOUS_PATH.search(text) for text in candidates)


def _passes(name):
    return name not in DROPPED_HEADERS and name not in RESERVED_HEADERS


def _bearer_key(headers):
    for header in headers:
        if header.name == "authorization":
            value = header.value.strip()
            if value.lower().startswith(BEARER):
                return value[len(BEARER) :].strip()
    return ""

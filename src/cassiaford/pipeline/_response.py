"""Incremental parsing of a backend server's response."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import httptools

from cassiaford._hop_by_hop import HOP_BY_HOP
from cassiaford._response_limits import (
    MAX_HEADER_BYTES,
    MAX_OVERHEAD_BYTES,
    OBJECT_BYTES,
)
from cassiaford.pipeline._messages import Header

# Statuses below this belong to interim responses; another response follows.
FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = frozenset({204, 304})


class ResponseTooLongError(httptools.HttpParserError):
    """A response has more bytes outside its body than any that makes sense."""


@dataclass(frozen=True)
class ResponseHead:
    """The status and headers of a response, with header names in lower case."""

    status: int
    headers: tuple[Header, ...]

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        for header in self.headers:
            if header.name == name:
                return header.value
        return ""

    @property
    def is_event_stream(self) -> bool:
        """Whether the body is a stream of server-sent events."""
        return self.header("content-type").startswith("text/event-stream")

    @property
    def length(self) -> int | None:
        """The declared length of the body in bytes, or None."""
        text = self.header("content-length")
        return int(text) if text.isdecimal() else None

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body is delimited by the close of the connection."""
        chunked = "chunked" in self.header("transfer-encoding").lower()
        return self.length is None and not chunked

    def forwarded_headers(self) -> tuple[Header, ...]:
        """Return the headers to forward to the caller."""
        dropped = HOP_BY_HOP | {"content-length", "x-request-id"}
        return tuple(h for h in self.headers if h.name not in dropped)


class ResponseListener(ABC):
    """Receives the parts of a response in order."""

    @abstractmethod
    def on_response_head(self, head: ResponseHead) -> None:
        """Handle the head; called once."""

    @abstractmethod
    def on_response_body(self, data: bytes) -> None:
        """Handle a part of the body."""

    @abstractmethod
    def on_response_end(self) -> None:
        """Handle the end of the response."""


class ResponseParser:
    """Parses a response and passes its parts to a listener.

    The methods whose names begin with ``on_`` are callbacks of the parser.
    """

    def __init__(self, listener: ResponseListener, method: str):
        self.listener = listener
        self.method = method
        self.parser = httptools.HttpResponseParser(self)
        self.headers = []
        self.head = None
        self.complete = False
        self.overhead = 0
        self.header_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse bytes; raise `httptools.HttpParserError` if they are invalid."""
        if self.complete:
            return
        self.overhead += len(data)
        self.parser.feed_data(data)
        if self.overhead > MAX_OVERHEAD_BYTES and not self.complete:
            raise ResponseTooLongError("too many bytes outside a body")

    def feed_eof(self) -> None:
        """Process the end of the connection."""
        if self.head and not self.complete and self.head.ends_with_connection:
            self._end()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header."""
        self.header_bytes += len(name) + len(value) + OBJECT_BYTES
        if self.header_bytes > MAX_HEADER_BYTES:
            raise ResponseTooLongError("the headers are too long")
        text = value.decode("latin-1")
        self.headers.append(Header(name.decode("latin-1").lower(), text))

    def on_headers_complete(self) -> None:
        """Pass the head to the listener unless it is interim."""
        status = self.parser.get_status_code()
        headers, self.headers = tuple(self.headers), []
        if status < FIRST_FINAL_STATUS:
            return
        self.head = ResponseHead(status, headers)
        self.overhead = 0
        self.listener.on_response_head(self.head)
        if self.method == "HEAD" or status in BODILESS_STATUSES:
            self._end()

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body to the listener."""
        self.overhead = 0
        if not self.complete:
            self.listener.on_response_body(data)

    def on_message_complete(self) -> None:
        """Report the end of the response unless it was an interim one."""
        if self.head is not None:
            self._end()

    def _end(self):
        if not self.complete:
            self.complete = True
            self.listener.on_response_end()

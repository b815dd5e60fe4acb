"""Reading a backend server's answer as it arrives."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import httptools

from cassiaford._hop_by_hop import HOP_BY_HOP
from cassiaford.pipeline._messages import Header

# Statuses below this are interim answers; another one follows.
FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = frozenset({204, 304})


@dataclass(frozen=True)
class AnswerHead:
    """The status and headers of an answer, names in lower case."""

    status: int
    headers: tuple[Header, ...]

    def header(self, name: str) -> str:
        """Return the first header of a name, or an empty text."""
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
        """The announced length of the body in bytes, if any."""
        text = self.header("content-length")
        return int(text) if text.isdecimal() else None

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection ends the body."""
        chunked = "chunked" in self.header("transfer-encoding").lower()
        return self.length is None and not chunked

    def passed_headers(self) -> tuple[Header, ...]:
        """Return the headers that concern the caller."""
        stopped = HOP_BY_HOP | {"content-length", "x-request-id"}
        return tuple(h for h in self.headers if h.name not in stopped)


class AnswerListener(ABC):
    """Hears of an answer's parts in their order."""

    @abstractmethod
    def answer_head(self, head: AnswerHead) -> None:
        """Take the head; it comes once."""

    @abstractmethod
    def answer_body(self, data: bytes) -> None:
        """Take a part of the body."""

    @abstractmethod
    def answer_end(self) -> None:
        """Take note that the answer is complete."""


class AnswerReader:
    """Parses an answer and tells a listener of its parts.

    The methods whose names begin with ``on_`` are called by the parser.
    """

    def __init__(self, listener: AnswerListener, method: str):
        self.listener = listener
        self.method = method
        self.parser = httptools.HttpResponseParser(self)
        self.headers = []
        self.head = None
        self.complete = False

    def feed(self, data: bytes) -> None:
        """Parse bytes; raises `httptools.HttpParserError` if they are invalid."""
        if not self.complete:
            self.parser.feed_data(data)

    def end_of_connection(self) -> None:
        """Take note that no more bytes come."""
        if self.head and not self.complete and self.head.ends_with_connection:
            self._end()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep one header."""
        text = value.decode("latin-1")
        self.headers.append(Header(name.decode("latin-1").lower(), text))

    def on_headers_complete(self) -> None:
        """Pass the head on unless it is interim."""
        status = self.parser.get_status_code()
        headers, self.headers = tuple(self.headers), []
        if status < FIRST_FINAL_STATUS:
            return
        self.head = AnswerHead(status, headers)
        self.listener.answer_head(self.head)
        if self.method == "HEAD" or status in BODILESS_STATUSES:
            self._end()

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        if not self.complete:
            self.listener.answer_body(data)

    def on_message_complete(self) -> None:
        """Pass the end on unless only an interim answer has ended."""
        if self.head is not None:
            self._end()

    def _end(self):
        if not self.complete:
            self.complete = True
            self.listener.answer_end()

"""The connection on which a backend server answers one attempt."""

import asyncio
from abc import abstractmethod
from collections.abc import Callable

import httptools

from cassiaford.pipeline._response import AnswerHead, AnswerListener, AnswerReader
from cassiaford.policy import Failure


class AttemptListener(AnswerListener):
    """Hears of one attempt's answer and of its failure."""

    @abstractmethod
    def parse_failed(self, error: httptools.HttpParserError) -> None:
        """Take note of why an answer could not be read."""

    @abstractmethod
    def attempt_failed(
        self, failure: Failure, retry_after_s: float | None = None
    ) -> None:
        """Take note that no more comes from this attempt."""


class AnswerConnection(asyncio.Protocol, AnswerListener):
    """Reads one answer; once closed, it tells its listener nothing more."""

    def __init__(
        self, listener: AttemptListener, method: str, clock: Callable[[], float]
    ):
        self.listener = listener
        self.reader = AnswerReader(self, method)
        self.clock = clock
        self.transport = None
        self.closed = False
        self.paused = False
        self.has_body = False
        self.sent_at = clock()
        self.last_byte_at = self.sent_at
        self.longest_gap_s = 0.0

    @property
    def head(self) -> AnswerHead | None:
        """The answer's head, once it is there."""
        return self.reader.head

    def close(self) -> None:
        """Close at once; whatever is still to come is dropped."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def pause(self, paused: bool) -> None:
        """Stop or resume reading."""
        if self.closed or self.transport is None or paused == self.paused:
            return
        self.paused = paused
        if paused:
            self.transport.pause_reading()
        else:
            self.last_byte_at = self.clock()
            self.transport.resume_reading()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, unless nobody wants the answer any more."""
        self.transport = transport
        if self.closed:
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        if self.closed:
            return
        now = self.clock()
        if self.reader.head is not None:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_byte_at)
        self.last_byte_at = now
        try:
            self.reader.feed(data)
        except httptools.HttpParserError as error:
            self.listener.parse_failed(error)
            self._fail(Failure.INVALID_RESPONSE)

    def eof_received(self) -> None:
        """Close; `connection_lost` follows."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Judge an answer whose connection has ended."""
        if self.closed:
            return
        self.reader.end_of_connection()
        if self.head is None:
            self._fail(Failure.RESET_BEFORE_RESPONSE)
        elif exc is not None:
            self._fail(Failure.RESET_DURING_RESPONSE)
        else:
            self._fail(Failure.TRUNCATED_RESPONSE)

    def answer_head(self, head: AnswerHead) -> None:
        """Pass the head on."""
        if not self.closed:
            self.listener.answer_head(head)

    def answer_body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        if not self.closed:
            self.has_body = True
            self.listener.answer_body(data)

    def answer_end(self) -> None:
        """Pass the end on."""
        if not self.closed:
            self.listener.answer_end()

    def _fail(self, failure):
        if not self.closed:
            self.listener.attempt_failed(failure)

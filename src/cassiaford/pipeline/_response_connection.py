"""The connection on which a backend server responds to one attempt."""

import asyncio
from abc import abstractmethod
from collections.abc import Callable

import httptools

from cassiaford.pipeline._response import ResponseHead, ResponseListener, ResponseParser
from cassiaford.policy import Failure


class AttemptListener(ResponseListener):
    """Receives the response to one attempt, or its failure."""

    @abstractmethod
    def on_parse_error(self, error: httptools.HttpParserError) -> None:
        """Handle a response that could not be parsed."""

    @abstractmethod
    def attempt_failed(
        self, failure: Failure, retry_after_s: float | None = None
    ) -> None:
        """Handle the failure of the attempt; no more data follows."""


class ResponseConnection(asyncio.Protocol, ResponseListener):
    """Reads one response; no longer calls its listener once it is closed."""

    def __init__(
        self, listener: AttemptListener, method: str, clock: Callable[[], float]
    ):
        self.listener = listener
        self.parser = ResponseParser(self, method)
        self.clock = clock
        self.transport = None
        self.closed = False
        self.paused = False
        self.has_body = False
        self.sent_at = clock()
        self.last_byte_at = self.sent_at
        self.longest_gap_s = 0.0

    @property
    def head(self) -> ResponseHead | None:
        """The head of the response; None until it has been received."""
        return self.parser.head

    def close(self) -> None:
        """Close immediately and drop any further data."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def pause(self, paused: bool) -> None:
        """Pause or resume reading."""
        if self.closed or self.transport is None or paused == self.paused:
            return
        self.paused = paused
        if paused:
            self.transport.pause_reading()
        else:
            self.last_byte_at = self.clock()
            self.transport.resume_reading()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; abort it if this connection was closed already."""
        self.transport = transport
        if self.closed:
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.closed:
            return
        now = self.clock()
        if self.parser.head is not None:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_byte_at)
        self.last_byte_at = now
        try:
            self.parser.feed(data)
        except httptools.HttpParserError as error:
            self.listener.on_parse_error(error)
            self._fail(Failure.INVALID_RESPONSE)

    def eof_received(self) -> None:
        """Let the transport close; `connection_lost` follows."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete the response, or report the loss as a failure."""
        if self.closed:
            return
        self.parser.feed_eof()
        if self.head is None:
            self._fail(Failure.RESET_BEFORE_RESPONSE)
        elif exc is not None:
            self._fail(Failure.RESET_DURING_RESPONSE)
        else:
            self._fail(Failure.TRUNCATED_RESPONSE)

    def on_response_head(self, head: ResponseHead) -> None:
        """Pass the head to the listener."""
        if not self.closed:
            self.listener.on_response_head(head)

    def on_response_body(self, data: bytes) -> None:
        """Pass a part of the body to the listener."""
        if not self.closed:
            self.has_body = True
            self.listener.on_response_body(data)

    def on_response_end(self) -> None:
        """Notify the listener that the response is complete."""
        if not self.closed:
            self.listener.on_response_end()

    def _fail(self, failure):
        if not self.closed:
            self.listener.attempt_failed(failure)

"""One attempt to have a request served by one backend server."""

import asyncio
import re
from dataclasses import dataclass, field

from cassiaford._event_splitter import EventSplitter, EventStreamError
from cassiaford.gateway._dialect import Dialect
from cassiaford.gateway._messages import (
    Forwarding,
    Headers,
    HttpRequest,
    ResponseMetadata,
)
from cassiaford.gateway._server_connection import (
    ConnectionPool,
    ExchangeError,
    ResponseHead,
    ServerConnection,
    request_bytes,
)
from cassiaford.verdict import Failure

# Answers up to this size are held until they are whole, so that a broken one
# can still be replaced by a failure or another server's answer.
MAX_HELD_BYTES = 262_144
# Statuses that tell a caller its request has not run, which only the server
# itself can say.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

_EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


@dataclass(frozen=True)
class Answer:
    """A response whose head is judged; its body may still be on the way."""

    head: ResponseHead
    facts: ResponseMetadata
    connection: ServerConnection = field(repr=False)

    @property
    def succeeded(self) -> bool:
        """Whether the server says that it served the request."""
        return 200 <= self.head.status < 300

    @property
    def is_stream(self) -> bool:
        """Whether the body is a stream of events."""
        kind = self.head.header("content-type") or ""
        return kind.startswith("text/event-stream")


class Attempt:
    """Sends a request to one server and judges the answer.

    `sent` is whether any byte of the request was handed to the connection,
    `answered` whether the server has begun an answer to pass on, `replaced`
    whether another server answered at its address.
    """

    def __init__(self, dialect: Dialect, pool: ConnectionPool, forwarding: Forwarding):
        self.dialect = dialect
        self.pool = pool
        self.forwarding = forwarding
        self.connection: ServerConnection | None = None
        self.sent = False
        self.answered = False
        self.replaced = False
        self.done = False

    @property
    def address(self) -> str:
        """The server's address."""
        return self.forwarding.server.address

    async def send(
        self, request: HttpRequest, attempt_id: str, *, only_run: bool
    ) -> Answer:
        """Send the request and return the judged head of the answer.

        A request that may not run again, an `only_run`, goes over a connection
        that carried none before. Raises `ExchangeError` if there is no answer
        to be passed on.
        """
        connect = self.pool.unused if only_run else self.pool.connection
        self.connection = await connect(self.address)
        headers = self.dialect.forwarded_headers(request, self.forwarding)
        data = request_bytes(request.method, request.target, headers, request.body)
        self.sent = True
        self.connection.start(data, lambda head: self._is_ours(head, attempt_id))
        head = await self.connection.head()
        facts = self.dialect.read_response(head.status, head.headers)
        self._judge(head, facts)
        self.answered = True
        return Answer(head, facts, self.connection)

    async def body(self, answer: Answer) -> bytes | None:
        """Return the whole body, or None if it is too long to hold."""
        length = answer.head.length
        if length is not None and length > MAX_HELD_BYTES:
            return None
        return await answer.connection.body()

    def finish(self) -> None:
        """Keep the connection after a whole answer."""
        self.done = True
        self.pool.give_back(self.address, self.connection)

    def cancel(self) -> None:
        """Close the connection, which cancels the request."""
        if self.connection is not None and not self.done:
            self.done = True
            self.connection.close()

    def _is_ours(self, head, attempt_id):
        facts = self.dialect.read_response(head.status, head.headers)
        if facts.attempt_id is None:
            return not 200 <= head.status < 300
        return facts.attempt_id == attempt_id

    def _judge(self, head, facts):
        if facts.misdirected:
            self._misdirected(facts)
        if facts.not_run and head.status in NOT_RUN_STATUSES:
            raise ExchangeError(Failure.NOT_STARTED, f"status {head.status}")
        if head.status in NOT_RUN_STATUSES:
            detail = f"status {head.status} without word that it has not run"
            raise ExchangeError(Failure.OVERLOADED, detail)
        if 200 <= head.status < 300 and not facts.signed:
            raise ExchangeError(Failure.INVALID_RESPONSE, "success without signature")

    def _misdirected(self, facts):
        if facts.server_id == self.forwarding.server.server_id:
            raise ExchangeError(Failure.NOT_STARTED, "the engine has other weights")
        self.replaced = True
        raise ExchangeError(Failure.NOT_STARTED, "another server has the address")


class EventReader:
    """Reads whole events of an answer; a part of one is never passed on."""

    def __init__(self, answer: Answer):
        self.connection = answer.connection
        self.splitter = EventSplitter()

    async def next(self, time_out_s: float | None) -> bytes:
        """Return the next whole events, or ``b""`` at the stream's end.

        Raises `ExchangeError` if the stream breaks off or falls silent.
        """
        while True:
            try:
                async with asyncio.timeout(time_out_s):
                    data = await self.connection.chunk()
            except TimeoutError as error:
                raise ExchangeError(Failure.IDLE_TIMEOUT) from error
            if not data:
                if self.splitter.partial:
                    raise ExchangeError(
                        Failure.TRUNCATED_RESPONSE, "ended within an event"
                    )
                return b""
            try:
                events = self.splitter.feed(data)
            except EventStreamError as error:
                raise ExchangeError(Failure.INVALID_RESPONSE, str(error)) from error
            if events:
                return b"".join(events)


def last_event_id(events: bytes) -> str | None:
    """Return the identifier of the last event that has one."""
    found = _EVENT_ID.findall(events)
    return found[-1].decode("latin-1") if found else None


def without_framing(headers: Headers) -> Headers:
    """Return headers without those that frame a body."""
    return [(n, v) for n, v in headers if n.lower() != "content-length"]

"""One attempt to serve a request with one backend server."""

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass, field, replace

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

# Responses up to this size are buffered until complete, so that a broken one can
# still be replaced by a failure or by another server's response.
MAX_BUFFERED_BYTES = 262_144
# Statuses that tell a caller that its request has not run. Only the server can
# know that, so they are relayed only if it says so.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

_EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


@dataclass(frozen=True)
class ServerResponse:
    """A response with a validated head, whose body may still be arriving."""

    head: ResponseHead
    metadata: ResponseMetadata
    connection: ServerConnection = field(repr=False)

    @property
    def succeeded(self) -> bool:
        """Whether the status is a success."""
        return 200 <= self.head.status < 300

    @property
    def is_stream(self) -> bool:
        """Whether the body is a stream of server-sent events."""
        kind = self.head.header("content-type") or ""
        return kind.startswith("text/event-stream")


class Attempt:
    """Sends a request to one server and validates the response.

    `deadline` is that of the request on the event loop's clock.
    `sent` is whether any byte of the request was written to the connection,
    `has_response` whether a valid response head has arrived, and
    `server_replaced` whether another server responded at the address.
    """

    def __init__(
        self,
        dialect: Dialect,
        pool: ConnectionPool,
        forwarding: Forwarding,
        deadline: float,
    ):
        self.deadline = deadline
        self.dialect = dialect
        self.pool = pool
        self.forwarding = forwarding
        self.connection: ServerConnection | None = None
        self.sent = False
        self.has_response = False
        self.server_replaced = False
        self.done = False

    @property
    def address(self) -> str:
        """The server's address."""
        return self.forwarding.server.address

    async def send(
        self,
        request: HttpRequest,
        attempt_id: str,
        *,
        single_run: bool,
        unusable: Callable[[], Failure | None],
    ) -> ServerResponse:
        """Send the request and return the response with its validated head.

        With `single_run`, which stands for a request that may not run again, the
        connection is a new one. `unusable` returns why the server may not get the
        request any more once there is a connection, or None. Raises
        `ExchangeError` if there is no response to relay.
        """
        connect = self.pool.acquire_new if single_run else self.pool.acquire
        self.connection = await connect(self.address)
        if (failure := unusable()) is not None:
            raise ExchangeError(failure)
        # Connecting may have taken a part of the time.
        time_left_s = self.deadline - asyncio.get_running_loop().time()
        forwarding = replace(self.forwarding, time_left_s=time_left_s)
        headers = self.dialect.forwarded_headers(request, forwarding)
        data = request_bytes(request.method, request.target, headers, request.body)
        self.sent = True
        self.connection.start(
            data, lambda head: self._belongs_to_attempt(head, attempt_id)
        )
        head = await self.connection.head()
        metadata = self.dialect.read_response(head.status, head.headers)
        self._validate(head, metadata)
        self.has_response = True
        return ServerResponse(head, metadata, self.connection)

    async def read_start(self, response: ServerResponse) -> tuple[bytes, bool]:
        """Return the first bytes of the body, and whether they are all of it.

        A body that is too long to buffer is not waited for.
        """
        length = response.head.length
        if length is not None and length > MAX_BUFFERED_BYTES:
            return b"", False
        return await response.connection.body(MAX_BUFFERED_BYTES)

    def finish(self) -> None:
        """Release the connection to the pool after a complete response."""
        self.done = True
        self.pool.release(self.address, self.connection)

    def cancel(self) -> None:
        """Close the connection, which cancels a request in progress."""
        if self.connection is not None and not self.done:
            self.done = True
            self.connection.close()

    def _belongs_to_attempt(self, head, attempt_id):
        metadata = self.dialect.read_response(head.status, head.headers)
        if metadata.attempt_id is None:
            return not 200 <= head.status < 300
        return metadata.attempt_id == attempt_id

    def _validate(self, head, metadata):
        if metadata.misdirected:
            self._raise_misdirected(metadata)
        if metadata.not_run and head.status in NOT_RUN_STATUSES:
            raise ExchangeError(Failure.NOT_STARTED, f"status {head.status}")
        if head.status in NOT_RUN_STATUSES:
            detail = f"status {head.status} without a statement that it has not run"
            raise ExchangeError(Failure.OVERLOADED, detail)
        if 200 <= head.status < 300 and not metadata.signed:
            raise ExchangeError(Failure.INVALID_RESPONSE, "success without a signature")

    def _raise_misdirected(self, metadata):
        if metadata.server_id == self.forwarding.server.server_id:
            raise ExchangeError(
                Failure.NOT_STARTED, "the engine has another version of the weights"
            )
        self.server_replaced = True
        raise ExchangeError(Failure.NOT_STARTED, "another server has this address")


class EventReader:
    """Reads complete events of a streamed response, never a partial one."""

    def __init__(self, response: ServerResponse):
        self.connection = response.connection
        self.splitter = EventSplitter()

    async def next(self, timeout_s: float | None) -> bytes:
        """Return the next complete events, or ``b""`` at the stream's end.

        Raises `ExchangeError` if the stream breaks off or stays idle too long.
        """
        while True:
            try:
                async with asyncio.timeout(timeout_s):
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


def without_content_length(headers: Headers) -> Headers:
    """Return headers without Content-Length."""
    return [(n, v) for n, v in headers if n.lower() != "content-length"]

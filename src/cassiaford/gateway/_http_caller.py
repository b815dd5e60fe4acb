"""A client for short HTTP calls to the store, engines and peers."""

import asyncio
from dataclasses import dataclass, field

from cassiaford.gateway._messages import Headers
from cassiaford.gateway._server_connection import (
    ConnectionPool,
    ExchangeError,
    request_bytes,
)
from cassiaford.verdict import Failure

# Pages of the store have about a megabyte, copies of it several.
MAX_BODY_BYTES = 16_777_216
_DISCONNECTIONS = frozenset({Failure.RESET_BEFORE_RESPONSE, Failure.TRUNCATED_RESPONSE})


@dataclass(frozen=True)
class Reply:
    """The complete response to a call."""

    status: int
    body: bytes = field(repr=False)
    headers: Headers = ()


class CallFailedError(Exception):
    """A call got no response.

    `sent` is whether it may have been sent, and `disconnected` whether its
    connection broke while the response was awaited.
    """

    def __init__(self, detail: str, sent: bool, disconnected: bool = False):
        super().__init__(detail)
        self.sent = sent
        self.disconnected = disconnected


class HttpClient:
    """Makes calls over pooled connections; longer bodies are no response."""

    def __init__(self, pool: ConnectionPool, max_body_bytes: int = MAX_BODY_BYTES):
        self.pool = pool
        self.max_body_bytes = max_body_bytes

    async def call(
        self,
        method: str,
        address: str,
        target: str,
        timeout_s: float,
        headers: Headers = (),
        data: bytes = b"",
    ) -> Reply:
        """Return the response to a call; raise `CallFailedError`."""
        connection = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self.pool.acquire(address)
                lines = [("Host", address), *headers]
                connection.start(request_bytes(method, target, lines, data))
                head = await connection.head()
                body, complete = await connection.body(self.max_body_bytes)
                if not complete:
                    raise ExchangeError(Failure.INVALID_RESPONSE, "body too long")
                reply = Reply(head.status, body, head.headers)
        except ExchangeError as error:
            self._drop(connection)
            disconnected = error.failure in _DISCONNECTIONS
            sent = connection is not None
            raise CallFailedError(str(error), sent, disconnected) from error
        except TimeoutError as error:
            self._drop(connection)
            detail = f"no response within {timeout_s:g} s"
            raise CallFailedError(detail, connection is not None) from error
        except BaseException:
            self._drop(connection)
            raise
        self.pool.release(address, connection)
        return reply

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address, so that calls open new ones."""
        self.pool.close_idle(address)

    def _drop(self, connection):
        if connection is not None:
            connection.close()

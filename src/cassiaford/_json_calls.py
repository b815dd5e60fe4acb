"""A client for JSON calls over HTTP whose errors say if a call may have arrived.

The clients of the key-value service and of the engines share this module, so that
one place distinguishes a call that was not sent from a lost response.
"""

import json
from dataclasses import dataclass, field
from http.client import HTTPException, HTTPResponse

import urllib3
from urllib3 import HTTPConnectionPool
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

# Each address has a pool; beyond this number the least recently used is closed.
MAX_POOLS = 1024
MAX_IDLE_CONNECTIONS_PER_POOL = 16
# The longest responses are values of the key-value service.
MAX_RESPONSE_BYTES = 16_777_216


class CallError(Exception):
    """A call failed; `sent` is whether the server may have received it."""

    sent = True


class NotSentError(CallError):
    """No connection could be opened, so the server received nothing."""

    sent = False


class ResponseLostError(CallError):
    """The call was sent, at least in part, and no complete response arrived."""


@dataclass(frozen=True)
class JsonResponse:
    """An HTTP response with its body still encoded."""

    status: int
    body: bytes = field(repr=False)

    def json(self) -> object:
        """Return the decoded body; raise `ResponseLostError` if it is broken."""
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise ResponseLostError(f"the response is not JSON: {error}") from None


class _LimitedReader:
    """A socket's file that fails once more than a number of bytes were read."""

    def __init__(self, file, max_bytes):
        self._file = file
        self._bytes_left = max_bytes

    def read(self, size=-1):
        limit = self._bytes_left + 1
        return self._count(self._file.read(limit if size is None or size < 0 else size))

    def read1(self, size=-1):
        return self._count(self._file.read1(size))

    def readline(self, size=-1):
        return self._count(self._file.readline(size))

    def readinto(self, buffer):
        size = self._file.readinto(buffer)
        self._take(size or 0)
        return size

    def __getattr__(self, name):
        return getattr(self._file, name)

    def _count(self, data):
        self._take(len(data))
        return data

    def _take(self, size):
        self._bytes_left -= size
        if self._bytes_left < 0:
            raise HTTPException("the response is too long")


def _limited_pool(max_bytes):
    """Return a class of connection pools that limits the bytes of a response."""

    class LimitedResponse(HTTPResponse):
        def __init__(self, *arguments, **options):
            super().__init__(*arguments, **options)
            self.fp = _LimitedReader(self.fp, max_bytes)

    class LimitedConnection(HTTPConnection):
        response_class = LimitedResponse

    class LimitedPool(HTTPConnectionPool):
        ConnectionCls = LimitedConnection

    return LimitedPool


class JsonClient:
    """Sends JSON calls over pooled connections; thread-safe.

    It never retries, because only the code that makes a call knows whether the
    call may be repeated. A response of more than `max_bytes`, with its head, interim
    responses and trailers, is lost.
    """

    def __init__(self, timeout_s: float, max_bytes: int = MAX_RESPONSE_BYTES):
        self.timeout_s = timeout_s
        self.pools = urllib3.PoolManager(
            num_pools=MAX_POOLS, maxsize=MAX_IDLE_CONNECTIONS_PER_POOL, retries=False
        )
        self.pools.pool_classes_by_scheme = {"http": _limited_pool(max_bytes)}

    def call(
        self,
        method: str,
        address: str,
        target: str,
        body: object = None,
        wait_s: float = 0.0,
    ) -> JsonResponse:
        """Send one call and return its response, whatever its status.

        `wait_s` is added to the timeout, for calls that wait at the server.
        Raises `NotSentError` or `ResponseLostError`.
        """
        try:
            response = self.pools.request(
                method,
                f"http://{address}{target}",
                json=body,
                timeout=self._timeout(wait_s),
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise NotSentError(f"{address}: {error}") from error
        except HTTPError as error:
            raise ResponseLostError(f"{address}: {error}") from error
        return JsonResponse(response.status, response.data)

    def close(self) -> None:
        """Close the connections that are not in use."""
        self.pools.clear()

    def _timeout(self, wait_s):
        return urllib3.Timeout(connect=self.timeout_s, read=self.timeout_s + wait_s)

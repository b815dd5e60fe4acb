"""JSON calls over HTTP whose failures say whether the call may have arrived.

The key-value service and the engines' control calls share this module, so
that the line between *not sent* and *answer lost* is drawn in one place.
"""

import json
from dataclasses import dataclass, field

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

# One pool for each address; the least recently used beyond these is closed.
MAX_POOLS = 1024
POOL_SIZE = 16


class CallError(Exception):
    """A call failed; `sent` says whether the other side may have got it."""

    sent = True


class NotSentError(CallError):
    """No connection came about, so that the other side got nothing."""

    sent = False


class ResponseLostError(CallError):
    """The call was sent, wholly or in part, and no whole answer arrived."""


@dataclass(frozen=True)
class Answer:
    """An HTTP answer with its body still encoded."""

    status: int
    body: bytes = field(repr=False)

    def json(self) -> object:
        """Return the decoded body; raise `AnswerLostError` if it is broken."""
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise ResponseLostError(f"the answer is not JSON: {error}") from None


class JsonClient:
    """Sends JSON calls over kept connections; safe for use by many threads.

    Nothing is repeated here: whether a call may be sent again is for its
    caller to decide.
    """

    def __init__(self, timeout_s: float):
        self.timeout_s = timeout_s
        self.pools = urllib3.PoolManager(
            num_pools=MAX_POOLS, maxsize=POOL_SIZE, retries=False
        )

    def call(
        self,
        method: str,
        address: str,
        target: str,
        body: object = None,
        wait_s: float = 0.0,
    ) -> Answer:
        """Send one call and return its answer, whatever its status.

        `wait_s` is the time in seconds that the other side may take beyond
        the usual. Raises `NotSentError` or `AnswerLostError`.
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
        return Answer(response.status, response.data)

    def close(self) -> None:
        """Close the connections that are not in use."""
        self.pools.clear()

    def _timeout(self, wait_s):
        return urllib3.Timeout(connect=self.timeout_s, read=self.timeout_s + wait_s)

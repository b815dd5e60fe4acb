"""The load and the failures of backend servers, as observed by an instance."""

from collections.abc import Sequence

from cassiaford.config import BackendServer
from cassiaford.policy._placement import ServerView

# A server is tried again this long after its latest failure.
SUSPICION_S = 2.0
# A server that asks for no new requests gets none for at most this long.
MAX_BACKOFF_S = 10.0


class ServerHealth:
    """Tracks requests in flight, failures and backoff times of servers.

    Examples
    --------
    >>> health = ServerHealth()
    >>> health.record_start("engine-1")
    >>> health.in_flight["engine-1"]
    1
    """

    def __init__(self):
        self.in_flight = {}
        self.suspected_until = {}
        self.backoff_until = {}

    def record_start(self, server: str) -> None:
        """Record that a request was sent to a server."""
        self.in_flight[server] = self.in_flight.get(server, 0) + 1

    def record_end(self, server: str) -> None:
        """Record that a request has ended on a server."""
        remaining = self.in_flight.get(server, 0) - 1
        if remaining > 0:
            self.in_flight[server] = remaining
        else:
            self.in_flight.pop(server, None)

    def record_failure(self, server: str, now: float) -> None:
        """Record that a connection to a server failed, and suspect the server."""
        self.suspected_until[server] = now + SUSPICION_S

    def record_response(self, server: str) -> None:
        """Record a complete response of a server, and end its suspicion."""
        self.suspected_until.pop(server, None)

    def back_off(self, server: str, wait_s: float, now: float) -> None:
        """Send a server no new requests for the time it asked for."""
        self.backoff_until[server] = now + min(wait_s, MAX_BACKOFF_S)

    def suspected(self, server: str, now: float) -> bool:
        """Return whether a server's latest calls failed."""
        return self.suspected_until.get(server, now) > now

    def remove_server(self, server: str) -> None:
        """Remove a server that left; its requests in flight still count."""
        self.suspected_until.pop(server, None)
        self.backoff_until.pop(server, None)

    def min_backoff_remaining_s(
        self, servers: Sequence[BackendServer], now: float
    ) -> float:
        """Return the seconds until the first of the servers takes requests again."""
        return min(
            (max(0.0, self.backoff_until.get(s.name, now) - now) for s in servers),
            default=0.0,
        )

    def max_backoff_remaining_s(self, servers: Sequence[str], now: float) -> float:
        """Return the seconds until the last of the servers takes requests again."""
        return max(
            (max(0.0, self.backoff_until.get(name, now) - now) for name in servers),
            default=0.0,
        )

    def views(
        self, servers: Sequence[BackendServer], now: float
    ) -> tuple[ServerView, ...]:
        """Return the placement views of the servers that take new requests."""
        return tuple(
            ServerView(
                name=server.name,
                slots=server.slots,
                in_flight=self.in_flight.get(server.name, 0),
                suspected=self.suspected(server.name, now),
            )
            for server in servers
            if self.backoff_until.get(server.name, now) <= now
        )

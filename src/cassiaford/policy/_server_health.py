"""What an instance has seen of its backend servers: load and failures."""

from collections.abc import Sequence

from cassiaford.config import BackendServer
from cassiaford.policy._placement import ServerView

# A server is tried again this long after its newest failure.
SUSPICION_S = 2.0
# A server's wish to be left alone is followed for at most this long.
MAX_HOLD_S = 10.0


class ServerHealth:
    """Counts requests in flight and remembers failures and holds.

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
        """Take note that a request was given to a server."""
        self.in_flight[server] = self.in_flight.get(server, 0) + 1

    def record_end(self, server: str) -> None:
        """Take note that a request has ended there."""
        left = self.in_flight.get(server, 0) - 1
        if left > 0:
            self.in_flight[server] = left
        else:
            self.in_flight.pop(server, None)

    def record_failure(self, server: str, now: float) -> None:
        """Suspect a server whose connection failed."""
        self.suspected_until[server] = now + SUSPICION_S

    def record_response(self, server: str) -> None:
        """Clear a server that answered in full."""
        self.suspected_until.pop(server, None)

    def back_off(self, server: str, wait_s: float, now: float) -> None:
        """Give a server no new work for the time it asked for."""
        self.backoff_until[server] = now + min(wait_s, MAX_HOLD_S)

    def suspected(self, server: str, now: float) -> bool:
        """Return whether a server's newest calls failed."""
        return self.suspected_until.get(server, now) > now

    def remove_server(self, server: str) -> None:
        """Drop what was seen of a server that left; its requests still end."""
        self.suspected_until.pop(server, None)
        self.backoff_until.pop(server, None)

    def min_backoff_remaining_s(
        self, servers: Sequence[BackendServer], now: float
    ) -> float:
        """Return the seconds until one of the servers takes new work again."""
        return min(
            (max(0.0, self.backoff_until.get(s.name, now) - now) for s in servers),
            default=0.0,
        )

    def max_backoff_remaining_s(self, servers: Sequence[str], now: float) -> float:
        """Return the seconds for which the last of the servers is held."""
        return max(
            (max(0.0, self.backoff_until.get(name, now) - now) for name in servers),
            default=0.0,
        )

    def views(
        self, servers: Sequence[BackendServer], now: float
    ) -> tuple[ServerView, ...]:
        """Return the servers that take new work, as placement sees them."""
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

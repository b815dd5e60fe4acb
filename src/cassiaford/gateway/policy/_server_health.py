"""Backoff and costs of backend servers that fail or reject requests."""

from collections.abc import Hashable
from dataclasses import dataclass

# Backoff after the first failed connection, doubled after each further one.
FIRST_BACKOFF_S = 0.4
MAX_BACKOFF_S = 4.0
# A response newer than this contradicts a peer's report that a server is
# unreachable, since such a report is older.
RECENT_SUCCESS_S = 0.2
# Backoff after a rejected request, for each rejection in a row.
REJECTION_BACKOFF_S = 0.15
MAX_REJECTION_BACKOFF_S = 1.2
# Weight of the newest exchange in a server's failure rate.
NEWEST_WEIGHT = 0.12
# Cost of a server that always fails, in seconds of waiting.
FAILURE_COST_S = 1.5
# Without exchanges, the failure rate halves in this time.
FAILURE_HALF_LIFE_S = 3.0


@dataclass
class _Record:
    failures: int = 0
    rejections: int = 0
    backoff_until: float = 0.0
    failure_rate: float = 0.0
    updated_at: float = 0.0
    succeeded_at: float | None = None


class ServerHealth:
    """Tracks the failures of backend servers, by incarnation.

    Examples
    --------
    >>> health = ServerHealth()
    >>> health.record_unreachable("engine-1", 0.0)
    >>> health.is_backing_off("engine-1", 0.1), health.is_backing_off("engine-1", 0.5)
    (True, False)
    """

    def __init__(self):
        self.records: dict[Hashable, _Record] = {}
        self.unreachable_servers: set[Hashable] = set()

    def record_success(self, server: Hashable, now: float) -> None:
        """Record a complete response."""
        record = self._record(server, now)
        record.succeeded_at = now
        self.record_reachable(server)
        self._update_rate(record, 0.0, now)

    def record_reachable(self, server: Hashable) -> None:
        """Record that a server can be reached, and end its backoff."""
        self.unreachable_servers.discard(server)
        record = self.records.get(server)
        if record is not None:
            record.failures = 0
            record.rejections = 0
            record.backoff_until = 0.0

    def succeeded_recently(self, server: Hashable, now: float) -> bool:
        """Return whether a response is newer than a peer's report of a failure."""
        record = self.records.get(server)
        if record is None or record.succeeded_at is None:
            return False
        return now - record.succeeded_at < RECENT_SUCCESS_S

    def record_unreachable(self, server: Hashable, now: float) -> None:
        """Record a connection that failed or fell silent, and back off."""
        record = self._record(server, now)
        self.unreachable_servers.add(server)
        backoff = FIRST_BACKOFF_S * 2 ** min(record.failures, 8)
        record.failures += 1
        record.backoff_until = now + min(backoff, MAX_BACKOFF_S)
        self._update_rate(record, 1.0, now)

    def record_failure(self, server: Hashable, now: float) -> None:
        """Record a response that broke off or reports a failure."""
        self._update_rate(self._record(server, now), 1.0, now)

    def record_rejection(self, server: Hashable, now: float) -> None:
        """Record a request that the server rejected, and back off."""
        record = self._record(server, now)
        record.rejections += 1
        backoff = min(REJECTION_BACKOFF_S * record.rejections, MAX_REJECTION_BACKOFF_S)
        record.backoff_until = max(record.backoff_until, now + backoff)
        self._update_rate(record, 1.0, now)

    def is_backing_off(self, server: Hashable, now: float) -> bool:
        """Return whether a server gets no requests for now."""
        record = self.records.get(server)
        return record is not None and now < record.backoff_until

    def backoff_remaining_s(self, server: Hashable, now: float) -> float:
        """Return the seconds until a server gets requests again."""
        record = self.records.get(server)
        return max(0.0, record.backoff_until - now) if record is not None else 0.0

    def cost_s(self, server: Hashable, now: float) -> float:
        """Return the expected cost of a server's failures, in seconds."""
        record = self.records.get(server)
        if record is None:
            return 0.0
        age = now - record.updated_at
        return FAILURE_COST_S * record.failure_rate * 0.5 ** (age / FAILURE_HALF_LIFE_S)

    def retain(self, servers: set[Hashable]) -> None:
        """Remove all servers but these."""
        for server in set(self.records) - servers:
            del self.records[server]
        self.unreachable_servers &= servers

    def _record(self, server, now):
        return self.records.setdefault(server, _Record(updated_at=now))

    def _update_rate(self, record, failure, now):
        age = now - record.updated_at
        record.failure_rate *= 0.5 ** (age / FAILURE_HALF_LIFE_S)
        record.failure_rate += NEWEST_WEIGHT * (failure - record.failure_rate)
        record.updated_at = now

"""What failures and refusals of backend servers mean for new requests."""

from collections.abc import Hashable
from dataclasses import dataclass

# After its first failed connection a server is left alone for this long, and
# twice as long after each further one.
FIRST_BACKOFF_S = 0.4
MAX_BACKOFF_S = 4.0
# A peer's word that a server is gone is older than this.
ANSWERED_LATELY_S = 0.2
# A server that turns a request away gets no other one for this long.
SHED_HOLD_S = 0.15
MAX_SHED_HOLD_S = 1.2
# The weight of the newest exchange in the share of failures.
NEWEST_WEIGHT = 0.12
# What a server that always fails is held to cost, in seconds of waiting.
FAILURE_COST_S = 1.5
# The share of failures is halved in this time without exchanges.
FORGET_HALF_LIFE_S = 3.0


@dataclass
class _Record:
    failures: int = 0
    sheds: int = 0
    away_until: float = 0.0
    failing: float = 0.0
    updated_at: float = 0.0
    answered_at: float | None = None


class ServerHealth:
    """Remembers failures of backend servers, by incarnation.

    Examples
    --------
    >>> trust = ServerHealth()
    >>> trust.unreachable("engine-1", 0.0)
    >>> trust.away("engine-1", 0.1), trust.away("engine-1", 0.5)
    (True, False)
    """

    def __init__(self):
        self.records: dict[Hashable, _Record] = {}
        self.unreachable_servers: set[Hashable] = set()

    def record_success(self, server: Hashable, now: float) -> None:
        """Take note of a complete answer."""
        record = self._record(server, now)
        record.answered_at = now
        self.reachable(server)
        self._count(record, 0.0, now)

    def reachable(self, server: Hashable) -> None:
        """Take note that a server can be reached again."""
        self.unreachable_servers.discard(server)
        record = self.records.get(server)
        if record is not None:
            record.failures = 0
            record.sheds = 0
            record.away_until = 0.0

    def answered_lately(self, server: Hashable, now: float) -> bool:
        """Return whether a server's answer is newer than a peer's doubt."""
        record = self.records.get(server)
        if record is None or record.answered_at is None:
            return False
        return now - record.answered_at < ANSWERED_LATELY_S

    def unreachable(self, server: Hashable, now: float) -> None:
        """Take note of a connection that failed or fell silent."""
        record = self._record(server, now)
        self.unreachable_servers.add(server)
        backoff = FIRST_BACKOFF_S * 2 ** min(record.failures, 8)
        record.failures += 1
        record.away_until = now + min(backoff, MAX_BACKOFF_S)
        self._count(record, 1.0, now)

    def record_failure(self, server: Hashable, now: float) -> None:
        """Take note of an answer that was broken off or says a failure."""
        self._count(self._record(server, now), 1.0, now)

    def shed(self, server: Hashable, now: float) -> None:
        """Take note of a request that the server turned away."""
        record = self._record(server, now)
        record.sheds += 1
        hold = min(SHED_HOLD_S * record.sheds, MAX_SHED_HOLD_S)
        record.away_until = max(record.away_until, now + hold)
        self._count(record, 1.0, now)

    def away(self, server: Hashable, now: float) -> bool:
        """Return whether a server is left alone."""
        record = self.records.get(server)
        return record is not None and now < record.away_until

    def back_in(self, server: Hashable, now: float) -> float:
        """Return the seconds until a server is tried again."""
        record = self.records.get(server)
        return max(0.0, record.away_until - now) if record is not None else 0.0

    def cost_s(self, server: Hashable, now: float) -> float:
        """Return what its share of failures is held to cost, in seconds."""
        record = self.records.get(server)
        if record is None:
            return 0.0
        age = now - record.updated_at
        return FAILURE_COST_S * record.failing * 0.5 ** (age / FORGET_HALF_LIFE_S)

    def retain(self, servers: set[Hashable]) -> None:
        """Forget all servers but these."""
        for server in set(self.records) - servers:
            del self.records[server]
        self.unreachable_servers &= servers

    def _record(self, server, now):
        return self.records.setdefault(server, _Record(updated_at=now))

    def _count(self, record, failure, now):
        age = now - record.updated_at
        record.failing *= 0.5 ** (age / FORGET_HALF_LIFE_S)
        record.failing += NEWEST_WEIGHT * (failure - record.failing)
        record.updated_at = now

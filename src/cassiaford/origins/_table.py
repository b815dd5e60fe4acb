"""What an instance knows about where streams began, by the attempt's digest."""

from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from cassiaford.origins._origin import StreamOrigin

# Callers take a stream up within the deadline of their request.
ORIGIN_TTL_S = 600.0
# Those that were not used for longest are dropped first.
MAX_ORIGINS = 20_000


def attempt_digest(attempt_id: str) -> int:
    """Return the number that represents an attempt between instances."""
    return xxhash.xxh3_64_intdigest(attempt_id.encode())


def origin_digest(origin: StreamOrigin) -> int:
    """Return the number that represents an origin between instances."""
    service, version = origin.service, origin.software_version
    return xxhash.xxh3_64_intdigest(f"{len(service)} {service} {version}".encode())


@dataclass(frozen=True, slots=True)
class OriginRecord:
    """Where the stream of an attempt began, both as digests.

    None stands for an ambiguous origin.
    """

    attempt: int
    origin: int | None


@dataclass(slots=True)
class _Entry:
    record: OriginRecord
    used_at: float
    attempt_id: str | None


class OriginTable:
    """The origins of streams, bounded in number and in time without use.

    A stream begins once, so two origins of one attempt, or two attempts with one
    digest, are contradictions: the entry is ambiguous from then on, in whichever
    order they came. Times are in seconds.

    Examples
    --------
    >>> table = OriginTable()
    >>> began = StreamOrigin("chat", "v1")
    >>> _ = table.record("attempt-1", began, now=0.0)
    >>> table.find("attempt-1", now=1.0).origin == origin_digest(began)
    True
    >>> table.record("attempt-1", StreamOrigin("chat", "v2"), now=1.0).origin
    >>> table.find("attempt-2", now=1.0)
    """

    def __init__(
        self,
        max_origins: int = MAX_ORIGINS,
        ttl_s: float = ORIGIN_TTL_S,
        digest: Callable[[str], int] = attempt_digest,
    ):
        self.max_origins = max_origins
        self.ttl_s = ttl_s
        self.digest = digest
        self._entries: dict[int, _Entry] = {}

    def __len__(self):
        return len(self._entries)

    def record(
        self, attempt_id: str, origin: StreamOrigin | None, now: float
    ) -> OriginRecord:
        """Record where an attempt's stream began; return what is known by now."""
        began = None if origin is None else origin_digest(origin)
        return self._add(OriginRecord(self.digest(attempt_id), began), now, attempt_id)

    def learn(self, record: OriginRecord, now: float) -> OriginRecord:
        """Add what a peer knows; return what is known by now."""
        return self._add(record, now, None)

    def find(self, attempt_id: str, now: float) -> OriginRecord | None:
        """Return the record of an attempt, or None if there is none."""
        attempt = self.digest(attempt_id)
        entry = self._entries.get(attempt)
        if entry is not None and _differ(entry.attempt_id, attempt_id):
            return OriginRecord(attempt, None)
        return self.get(attempt, now)

    def get(self, attempt: int, now: float) -> OriginRecord | None:
        """Return the record of a digest, which stays for longer by that."""
        self._expire(now)
        entry = self._entries.pop(attempt, None)
        if entry is None:
            return None
        entry.used_at = now
        self._entries[attempt] = entry
        return entry.record

    def _add(self, record, now, attempt_id):
        self._expire(now)
        # Removed first, so that the entries stay in the order of their times.
        entry = self._entries.pop(record.attempt, None)
        if entry is None:
            entry = _Entry(record, now, attempt_id)
        elif entry.record != record or _differ(entry.attempt_id, attempt_id):
            entry.record = OriginRecord(record.attempt, None)
        entry.used_at = now
        entry.attempt_id = entry.attempt_id or attempt_id
        self._entries[record.attempt] = entry
        self._expire(now)
        return entry.record

    def _expire(self, now):
        while self._entries:
            attempt, entry = next(iter(self._entries.items()))
            fresh = now - entry.used_at <= self.ttl_s
            if fresh and len(self._entries) <= self.max_origins:
                return
            del self._entries[attempt]


def _differ(known, attempt_id):
    return known is not None and attempt_id is not None and known != attempt_id

"""Origins of streams, told to a few peers before callers see their first event."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable

from cassiaford.gateway._peer_codec import OriginMessage, encode_origin_message
from cassiaford.gateway._stream_origins import StreamOrigins
from cassiaford.gateway.policy import PeerTable
from cassiaford.origins import (
    OriginRecord,
    OriginTable,
    StreamOrigin,
    origin_digest,
    owners,
)

# Peers that are told where a stream began. Both of them and the instance of the
# stream must fail before it is forgotten.
TOLD_PEERS = 2
# Peers that are asked. More than are told, since memberships differ and the
# instance of the stream was not among those to choose from.
ASKED_PEERS = 6
LOOKUP_TIMEOUT_S = 0.08
# Attempts that nobody knows must not become a flood of calls. Also bounds the
# lookups at a time.
MAX_LOOKUPS_PER_S = 100
# Services and software versions that are remembered after their servers have left,
# so that a refusal can name them.
MAX_KNOWN_ORIGINS = 1000


class _Lookup:
    """A question to peers; `unanswered` are the addresses of those."""

    def __init__(self, unanswered: set[str], future: asyncio.Future):
        self.unanswered = unanswered
        self.future = future

    def finish(self, record: OriginRecord | None) -> None:
        """Resolve the lookup, unless it is resolved already."""
        if not self.future.done():
            self.future.set_result(record)


class SharedStreamOrigins(StreamOrigins):
    """The origins of streams that this instance or a peer of `table` began.

    `send` sends a datagram to the address of a peer.
    """

    def __init__(self, table: PeerTable, origins: OriginTable | None = None):
        self.table = table
        self.origins = origins if origins is not None else OriginTable()
        self.send: Callable[[bytes, str], None] = lambda data, address: None
        self.lookup_count = 0
        self.found_count = 0
        self.dropped_count = 0
        self._known: dict[int, StreamOrigin] = {}
        self._lookups: dict[int, _Lookup] = {}
        self._started_at: deque[float] = deque()
        self._loop = asyncio.get_running_loop()

    def remember(self, origins: Iterable[StreamOrigin]) -> None:
        """Remember origins, which peers name by digest."""
        for origin in origins:
            digest = origin_digest(origin)
            self._known.pop(digest, None)
            self._known[digest] = origin
        while len(self._known) > MAX_KNOWN_ORIGINS:
            del self._known[next(iter(self._known))]

    def record(self, attempt_id: str, origin: StreamOrigin | None) -> None:
        """Record where a stream began, and tell it to a few peers at once."""
        record = self.origins.record(attempt_id, origin, self._loop.time())
        if origin is not None:
            self.remember((origin,))
            message = OriginMessage(told=(record,))
            self._send(message, self._first_peers(record.attempt, TOLD_PEERS))

    def doubt(self, attempt_id: str) -> None:
        """Make a stream's origin ambiguous, also at those who may be asked for it."""
        record = self.origins.record(attempt_id, None, self._loop.time())
        message = OriginMessage(told=(record,))
        self._send(message, self._first_peers(record.attempt, ASKED_PEERS))

    def is_ambiguous(self, attempt_id: str) -> bool:
        """Return whether what is known here of a stream's origin is contradictory."""
        record = self.origins.find(attempt_id, self._loop.time())
        return record is not None and record.origin is None

    async def find(self, attempt_id: str) -> StreamOrigin | None:
        """Return where a stream began, from this instance or from its peers."""
        record = self.origins.find(attempt_id, self._loop.time())
        if record is None:
            record = await self._ask_peers(self.origins.digest(attempt_id))
        if record is None or record.origin is None:
            return None
        return self._known.get(record.origin)

    def receive(self, message: OriginMessage, sender: str) -> None:
        """Process a message from the peer at an address."""
        now = self._loop.time()
        for record in message.told:
            known = self.origins.learn(record, now)
            if record.attempt in self._lookups:
                self._lookups[record.attempt].finish(known)
        if message.asked:
            self._answer(message.asked, sender, now)
        for attempt in message.unknown:
            self._record_unknown(attempt, sender)

    def _answer(self, attempts, sender, now):
        records = {attempt: self.origins.get(attempt, now) for attempt in attempts}
        told = tuple(record for record in records.values() if record is not None)
        unknown = tuple(a for a, record in records.items() if record is None)
        self._send(OriginMessage(told=told, unknown=unknown), [sender])

    def _record_unknown(self, attempt, sender):
        lookup = self._lookups.get(attempt)
        if lookup is not None:
            lookup.unanswered.discard(sender)
            if not lookup.unanswered:
                lookup.finish(None)

    async def _ask_peers(self, attempt):
        lookup = self._lookups.get(attempt) or self._start_lookup(attempt)
        if lookup is None:
            return None
        # Several requests may wait for it, and each of them may be cancelled.
        return await asyncio.shield(lookup.future)

    def _start_lookup(self, attempt):
        if not self._may_start():
            self.dropped_count += 1
            return None
        peers = self._first_peers(attempt, ASKED_PEERS)
        if not peers:
            return None
        self.lookup_count += 1
        lookup = _Lookup(set(peers), self._loop.create_future())
        self._lookups[attempt] = lookup
        timer = self._loop.call_later(LOOKUP_TIMEOUT_S, lookup.finish, None)
        lookup.future.add_done_callback(
            lambda future: self._end_lookup(attempt, future, timer)
        )
        self._send(OriginMessage(asked=(attempt,)), peers)
        return lookup

    def _end_lookup(self, attempt, future, timer):
        timer.cancel()
        del self._lookups[attempt]
        if not future.cancelled() and future.result() is not None:
            self.found_count += 1

    def _may_start(self):
        now = self._loop.time()
        while self._started_at and now - self._started_at[0] > 1.0:
            self._started_at.popleft()
        if len(self._started_at) >= MAX_LOOKUPS_PER_S:
            return False
        self._started_at.append(now)
        return True

    def _first_peers(self, attempt, count):
        """Return the addresses of the first peers for an attempt, live ones first."""
        live = {peer.name: peer for peer in self.table.live(self._loop.time())}
        names = owners(attempt, live, count)
        if len(names) < count:
            silent = {p.name: p for p in self.table.all() if p.name not in live}
            names += owners(attempt, silent, count - len(names))
            live |= silent
        return [live[name].peer_address for name in names]

    def _send(self, message, addresses):
        data = encode_origin_message(message)
        for address in addresses:
            self.send(data, address)

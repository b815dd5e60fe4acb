"""Claims on requests that run at most once, over the key-value service."""

import hashlib
import secrets
import threading
import time
from abc import ABC, abstractmethod
from collections.abc import Callable

from cassiaford.fleet._claim_forwarding import ClaimForwarder, ClaimHost
from cassiaford.fleet._claim_shards import OUTAGE_RETRY_S, Outage, ShardWorker
from cassiaford.fleet._transport import PeerTransport
from cassiaford.keyvalue import KeyValueService
from cassiaford.logs import Event
from cassiaford.pipeline._messages import Outcome
from cassiaford.policy import (
    Claim,
    ClaimRecord,
    RecordedOutcome,
    ShardClaims,
    ended_record,
    unavailable_refusal,
)
from cassiaford.timeline import Journal, Subject
from cassiaford.verdict import Refusal, RefusalReason

SHARDS = 4


class ClaimService(ABC):
    """Decides whether a request that may not be repeated may run."""

    @abstractmethod
    def claim(
        self, customer: str, idempotency_key: str, fingerprint: str, request_id: str
    ) -> Claim | RecordedOutcome | Refusal:
        """Claim a request; block until the answer is certain."""

    @abstractmethod
    def record(self, claim: Claim, outcome: Outcome) -> None:
        """Record how a claimed request ended; does not block."""

    @abstractmethod
    def mark_gone(self, instance: str, incarnation: int) -> None:
        """Take note that an incarnation of an instance runs no more."""


class ClaimRegistry(ClaimService):
    """Claims requests by grouped writes, one thread for each shard in use.

    With a transport, the claims of all instances go to one for each shard, so
    that a write carries those of the whole fleet.
    """

    def __init__(
        self,
        key_value: KeyValueService,
        journal: Journal,
        instance: str,
        incarnation: int,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        transport: PeerTransport | None = None,
    ):
        self.key_value = key_value
        self.journal = journal
        self.instance = instance
        self.incarnation = incarnation
        self.clock = clock
        self.wall_clock = wall_clock
        self.outage = Outage()
        self._gone = {}
        self._shards = {}
        self._lock = threading.Lock()
        self._stopped = False
        self.forwarder = None
        if transport is not None:
            host = _Host(self)
            self.forwarder = ClaimForwarder(transport, host, instance, clock)

    def claim(
        self, customer: str, idempotency_key: str, fingerprint: str, request_id: str
    ) -> Claim | RecordedOutcome | Refusal:
        """Claim a request; block until the answer is certain.

        The answer takes one write to the service, a few milliseconds. A
        `Claim` must be given to `record` in the end.
        """
        record = ClaimRecord(
            key=_digest(customer, idempotency_key),
            fingerprint=fingerprint,
            nonce=secrets.token_hex(8),
            request_id=request_id,
            instance=self.instance,
            incarnation=self.incarnation,
            written_at=self.wall_clock(),
        )
        if self._stopped:
            return unavailable_refusal(OUTAGE_RETRY_S)
        name = shard_of(customer)
        home = self._home(name)
        answer = self.forwarder.claim(home, name, record) if home else None
        if answer is None:
            return self._shard(name).claim(record, forwarded=home is not None)
        if _is_unavailable(answer):
            # The write that failed there may take effect all the same.
            self._shard(name).release(record)
        return answer

    def record(self, claim: Claim, outcome: Outcome) -> None:
        """Record how a claimed request ended; does not block.

        With the verdict *not run* the claim is released, so that the caller
        may send the request again.
        """
        record = ended_record(
            claim,
            outcome.verdict,
            outcome.status,
            outcome.content_type,
            outcome.body,
            self.wall_clock(),
        )
        home = self._home(claim.shard)
        if home is not None:
            self.forwarder.end(home, claim.shard, record)
            self._shard(claim.shard).forget(record.nonce)
        else:
            self._end(claim.shard, record)

    def _home(self, shard):
        return self.forwarder.home(shard) if self.forwarder else None

    def _end(self, name, record):
        if not self._shard(name).end(record):
            subject = Subject(request_id=record.request_id)
            self.journal.record(Event.CLAIM_OUTCOME_LOST, subject)

    def mark_gone(self, instance: str, incarnation: int) -> None:
        """Take note that an incarnation of an instance runs no more."""
        with self._lock:
            self._gone[instance] = max(incarnation, self._gone.get(instance, 0))
            shards = list(self._shards.values())
        for shard in shards:
            shard.mark_gone(instance, incarnation)

    def stop(self, timeout_s: float) -> bool:
        """Write the outcomes that wait and end; return whether all was written."""
        deadline = time.monotonic() + timeout_s
        if self.forwarder is not None:
            self.forwarder.stop()
        with self._lock:
            self._stopped = True
            shards = list(self._shards.values())
        for shard in shards:
            shard.request_stop()
        finished = [shard.join(deadline - time.monotonic()) for shard in shards]
        return all(finished)

    def _shard(self, name):
        with self._lock:
            shard = self._shards.get(name)
            if shard is None:
                book = ShardClaims(name, self.instance, self.incarnation)
                shard = ShardWorker(
                    book,
                    self.key_value,
                    self.journal,
                    self.outage,
                    self.clock,
                    self.wall_clock,
                )
                for instance, incarnation in self._gone.items():
                    shard.mark_gone(instance, incarnation)
                shard.thread.start()
                self._shards[name] = shard
            return shard


class _Host(ClaimHost):
    """Gives the forwarder the shards of a registry."""

    def __init__(self, registry):
        self.registry = registry

    def submit(self, shard, record, reply):
        self.registry._shard(shard).submit(record, reply)

    def end(self, shard, record):
        return self.registry._shard(shard).end(record)

    def disown(self, nonce):
        for shard in list(self.registry._shards.values()):
            shard.disown(nonce)

    def mark_gone(self, instance, incarnation):
        self.registry.mark_gone(instance, incarnation)


def create_claim_registry(
    key_value: KeyValueService,
    journal: Journal,
    instance: str,
    incarnation: int,
    clock: Callable[[], float] = time.monotonic,
    wall_clock: Callable[[], float] = time.time,
    transport: PeerTransport | None = None,
) -> ClaimRegistry:
    """Return the claims of an instance; `clock` is in monotonic seconds."""
    return ClaimRegistry(
        key_value, journal, instance, incarnation, clock, wall_clock, transport
    )


def shard_of(customer: str) -> str:
    """Return the name of the shard that holds a customer's claims."""
    digest = hashlib.sha256(customer.encode()).digest()
    return f"{digest[0] % SHARDS:02x}"


def _is_unavailable(answer):
    unclaimed = RefusalReason.CLAIMS_UNAVAILABLE
    return isinstance(answer, Refusal) and answer.reason is unclaimed


def _digest(customer, idempotency_key):
    text = f"{len(customer)}:{customer}:{idempotency_key}"
    return hashlib.sha256(text.encode("utf-8", "surrogateescape")).hexdigest()[:32]

"""Claims that make a request run at most once, in the key-value service."""

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
    """Decides whether a non-repeatable request may run."""

    @abstractmethod
    def claim(
        self, customer: str, idempotency_key: str, fingerprint: str, request_id: str
    ) -> Claim | RecordedOutcome | Refusal:
        """Claim a request; block until the answer is known."""

    @abstractmethod
    def record_outcome(self, claim: Claim, outcome: Outcome) -> None:
        """Record the outcome of a claimed request without blocking."""

    @abstractmethod
    def mark_gone(self, instance: str, incarnation: int) -> None:
        """Record that an incarnation and all earlier ones have ended."""


class ClaimRegistry(ClaimService):
    """Claims requests in batched writes, with one thread for each shard in use.

    With a transport, one instance writes the claims of the whole fleet for a
    shard, so that one write carries claims of many instances.
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
        self._gone_incarnations = {}
        self._workers = {}
        self._lock = threading.Lock()
        self._stopped = False
        self.forwarder = None
        if transport is not None:
            host = _RegistryClaimHost(self)
            self.forwarder = ClaimForwarder(transport, host, instance, clock)

    def claim(
        self, customer: str, idempotency_key: str, fingerprint: str, request_id: str
    ) -> Claim | RecordedOutcome | Refusal:
        """Claim a request; block until the answer is known.

        This takes one write to the service, a few milliseconds. Pass a returned
        `Claim` to `record_outcome` when the request has ended.
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
            return self._worker(name).claim(record, forwarded=home is not None)
        if _is_unavailable(answer):
            # The write that failed at the home may still take effect.
            self._worker(name).release(record)
        return answer

    def record_outcome(self, claim: Claim, outcome: Outcome) -> None:
        """Record the outcome of a claimed request without blocking.

        The verdict *not run* releases the claim, so that the caller can send
        the request again.
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
            self.forwarder.forward_outcome(home, claim.shard, record)
            self._worker(claim.shard).discard_active(record.nonce)
        else:
            self._record_locally(claim.shard, record)

    def _home(self, shard):
        return self.forwarder.home(shard) if self.forwarder else None

    def _record_locally(self, name, record):
        if not self._worker(name).record_outcome(record):
            subject = Subject(request_id=record.request_id)
            self.journal.record(Event.CLAIM_OUTCOME_LOST, subject)

    def mark_gone(self, instance: str, incarnation: int) -> None:
        """Record that an incarnation and all earlier ones have ended."""
        with self._lock:
            self._gone_incarnations[instance] = max(
                incarnation, self._gone_incarnations.get(instance, 0)
            )
            workers = list(self._workers.values())
        for worker in workers:
            worker.mark_gone(instance, incarnation)

    def stop(self, timeout_s: float) -> bool:
        """Write the queued outcomes and stop; return whether all were written."""
        deadline = time.monotonic() + timeout_s
        if self.forwarder is not None:
            self.forwarder.stop()
        with self._lock:
            self._stopped = True
            workers = list(self._workers.values())
        for worker in workers:
            worker.request_stop()
        finished = [worker.join(deadline - time.monotonic()) for worker in workers]
        return all(finished)

    def _worker(self, name):
        with self._lock:
            worker = self._workers.get(name)
            if worker is None:
                claims = ShardClaims(name, self.instance, self.incarnation)
                worker = ShardWorker(
                    claims,
                    self.key_value,
                    self.journal,
                    self.outage,
                    self.clock,
                    self.wall_clock,
                )
                for instance, incarnation in self._gone_incarnations.items():
                    worker.mark_gone(instance, incarnation)
                worker.thread.start()
                self._workers[name] = worker
            return worker


class _RegistryClaimHost(ClaimHost):
    """Gives the forwarder access to the shards of a registry."""

    def __init__(self, registry):
        self.registry = registry

    def submit(self, shard, record, reply):
        self.registry._worker(shard).submit(record, reply)

    def record_outcome(self, shard, record):
        return self.registry._worker(shard).record_outcome(record)

    def reject_ownership(self, nonce):
        for worker in list(self.registry._workers.values()):
            worker.reject_ownership(nonce)

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
    """Return the claim registry of an instance.

    `clock` returns monotonic seconds, `wall_clock` seconds since the epoch.
    """
    return ClaimRegistry(
        key_value, journal, instance, incarnation, clock, wall_clock, transport
    )


def shard_of(customer: str) -> str:
    """Return the name of the shard that holds a customer's claims."""
    digest = hashlib.sha256(customer.encode()).digest()
    return f"{digest[0] % SHARDS:02x}"


def _is_unavailable(answer):
    unavailable = RefusalReason.CLAIMS_UNAVAILABLE
    return isinstance(answer, Refusal) and answer.reason is unavailable


def _digest(customer, idempotency_key):
    text = f"{len(customer)}:{customer}:{idempotency_key}"
    return hashlib.sha256(text.encode("utf-8", "surrogateescape")).hexdigest()[:32]

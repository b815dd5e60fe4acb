"""Claims on requests that run at most once, over the key-value service."""

import hashlib
import random
import secrets
import threading
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from cassiaford.fleet._claims_codec import (
    decode_segment,
    decode_shard,
    encode_segment,
    encode_shard,
)
from cassiaford.keyvalue import KeyValueError, KeyValueService, OutcomeUnknownError
from cassiaford.logs import Event
from cassiaford.pipeline._messages import Outcome
from cassiaford.policy import (
    GROUP_WINDOW_S,
    OUTCOME_WINDOW_S,
    Claim,
    ClaimAnswer,
    ClaimRecord,
    ReadSegment,
    ReadShard,
    RecordedOutcome,
    ShardBook,
    WriteSegment,
    WriteShard,
    conflict_delay,
    ended_record,
    unavailable,
)
from cassiaford.timeline import Journal, Subject
from cassiaford.verdict import Refusal

SHARDS = 16
SHARD_PREFIX = "claims/"
SEGMENT_PREFIX = "sealed-claims/"
# The longest time that a caller waits for the answer to its claim.
CLAIM_TIMEOUT_S = 2.0
# After a failed call, claims are refused without a call for this long.
OUTAGE_RETRY_S = 0.5


class MissingSegmentError(Exception):
    """A sealed segment that a shard names is not in the key-value service."""


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
    """Claims requests by grouped writes, one thread for each shard in use."""

    def __init__(
        self,
        key_value: KeyValueService,
        journal: Journal,
        instance: str,
        incarnation: int,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ):
        self.key_value = key_value
        self.journal = journal
        self.instance = instance
        self.incarnation = incarnation
        self.clock = clock
        self.wall_clock = wall_clock
        self.outage = _Outage()
        self._gone = {}
        self._shards = {}
        self._lock = threading.Lock()
        self._stopped = False

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
            return unavailable(OUTAGE_RETRY_S)
        return self._shard(shard_of(customer)).claim(record)

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
        if not self._shard(claim.shard).end(record):
            subject = Subject(request_id=claim.record.request_id)
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
                shard = _Shard(name, self)
                for instance, incarnation in self._gone.items():
                    shard.mark_gone(instance, incarnation)
                shard.thread.start()
                self._shards[name] = shard
            return shard


@dataclass
class _Outage:
    """Until when the service is taken to be down; shared by the shards."""

    until: float = 0.0

    def remaining(self, now):
        return self.until - now


@dataclass
class _Waiter:
    """A caller that waits for the answer to its claim."""

    done: threading.Event = field(default_factory=threading.Event)
    answer: ClaimAnswer | None = None


class _Shard:
    """The thread that reads and writes one shard, and those that wait for it."""

    def __init__(self, name, registry):
        self.name = name
        self.registry = registry
        self.book = ShardBook(name, registry.instance, registry.incarnation)
        self.waiters = {}
        self.condition = threading.Condition()
        self.stopping = False
        self.conflicts = 0
        self.unknown_in_a_row = 0
        self.rng = random.Random(f"{registry.instance}/{name}")
        self.thread = threading.Thread(
            target=self._run, name=f"claims-{name}", daemon=True
        )

    def claim(self, record):
        waiter = _Waiter()
        with self.condition:
            down_s = self.registry.outage.remaining(self.registry.clock())
            settled = self.book.submit(record, self.registry.clock())
            if settled is not None:
                return settled.answer
            self.waiters[record.nonce] = waiter
            if down_s > 0:
                self._answer((self.book.refuse(record.nonce, down_s),))
            self.condition.notify_all()
        waiter.done.wait(CLAIM_TIMEOUT_S)
        with self.condition:
            self.waiters.pop(record.nonce, None)
            if waiter.answer is None:
                self.book.abandon(record.nonce)
                waiter.answer = unavailable(OUTAGE_RETRY_S)
        return waiter.answer

    def end(self, record):
        with self.condition:
            queued = self.book.end(record)
            self.condition.notify_all()
        return queued and self.thread.is_alive()

    def mark_gone(self, instance, incarnation):
        with self.condition:
            self.book.mark_gone(instance, incarnation)

    def request_stop(self):
        with self.condition:
            self.stopping = True
            self.condition.notify_all()

    def join(self, timeout_s):
        self.thread.join(max(0.0, timeout_s))
        return not self.thread.is_alive()

    def _run(self):
        while self._wait_for_work():
            try:
                self._take_step()
            except OutcomeUnknownError:
                self._on_unknown()
            except KeyValueError:
                self._on_outage()
            except Exception as error:
                # A value that cannot be read must not end the thread.
                self.registry.journal.record(Event.THREAD_FAILED, error=repr(error))
                self._refuse_all()

    def _take_step(self):
        with self.condition:
            step = self.book.next_step(self.registry.wall_clock())
        lost = step is not None and self._perform(step)
        self.unknown_in_a_row = 0
        self.conflicts = self.conflicts + 1 if lost else 0
        if lost:
            time.sleep(conflict_delay(self.conflicts, self.rng))

    def _wait_for_work(self):
        """Wait for claims or outcomes, then for others to join them."""
        with self.condition:
            while not (self.book.pending or self.book.changes):
                if self.stopping:
                    return False
                self.condition.wait()
            if not self.book.pending and not self.stopping:
                self.condition.wait_for(self._is_urgent, OUTCOME_WINDOW_S)
        time.sleep(GROUP_WINDOW_S)
        return True

    def _is_urgent(self):
        return bool(self.book.pending) or self.stopping

    def _perform(self, step):
        """Make one call; return whether a write lost to another instance's."""
        match step:
            case ReadShard():
                self._on_entry(self.registry.key_value.get(_key_of(self.name)))
            case WriteShard():
                return self._write(step)
            case ReadSegment(name=name):
                self._read_segment(name)
            case WriteSegment():
                self._write_segment(step)
        return False

    def _write(self, step):
        value = encode_shard(step.state)
        key = _key_of(self.name)
        result = self.registry.key_value.compare_and_swap(key, value, step.version)
        if not result.swapped:
            self._on_entry(result.entry)
            return True
        with self.condition:
            self._answer(self.book.on_written(result.entry.version))
        return False

    def _on_entry(self, entry):
        state = decode_shard(entry.value)
        with self.condition:
            wall = self.registry.wall_clock()
            self._answer(self.book.on_read(state, entry.version, wall))

    def _read_segment(self, name):
        entry = self.registry.key_value.get(f"{SEGMENT_PREFIX}{name}")
        if entry.value is None:
            raise MissingSegmentError(name)
        records = decode_segment(entry.value)
        with self.condition:
            self._answer(self.book.on_segment_read(name, records))

    def _write_segment(self, step):
        value = encode_segment(step.records)
        lease = self.registry.key_value.grant_lease(step.ttl_s)
        key = f"{SEGMENT_PREFIX}{step.name}"
        self.registry.key_value.compare_and_swap(key, value, 0, lease)
        with self.condition:
            self.book.on_segment_written()

    def _on_unknown(self):
        """Try the write again; the second time, take the service to be down."""
        self.unknown_in_a_row += 1
        with self.condition:
            self.book.on_unknown()
        if self.unknown_in_a_row > 1:
            self._on_outage()

    def _on_outage(self):
        self.registry.outage.until = self.registry.clock() + OUTAGE_RETRY_S
        self._refuse_all()

    def _refuse_all(self):
        with self.condition:
            self.book.on_not_written()
            self._answer(self.book.refuse_all(OUTAGE_RETRY_S))
        time.sleep(OUTAGE_RETRY_S)

    def _answer(self, settled):
        for item in settled:
            waiter = self.waiters.pop(item.nonce, None)
            if waiter is not None:
                waiter.answer = item.answer
                waiter.done.set()


def create_claims(
    key_value: KeyValueService,
    journal: Journal,
    instance: str,
    incarnation: int,
    clock: Callable[[], float] = time.monotonic,
    wall_clock: Callable[[], float] = time.time,
) -> ClaimRegistry:
    """Return the claims of an instance; `clock` is in monotonic seconds."""
    return ClaimRegistry(key_value, journal, instance, incarnation, clock, wall_clock)


def shard_of(customer: str) -> str:
    """Return the name of the shard that holds a customer's claims."""
    digest = hashlib.sha256(customer.encode()).digest()
    return f"{digest[0] % SHARDS:02x}"


def _key_of(shard):
    return f"{SHARD_PREFIX}{shard}"


def _digest(customer, idempotency_key):
    text = f"{len(customer)}:{customer}:{idempotency_key}"
    return hashlib.sha256(text.encode("utf-8", "surrogateescape")).hexdigest()[:32]

"""The worker thread that reads and writes one shard of claims."""

import random
import threading
import time
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
from cassiaford.policy import (
    CLAIM_BATCH_WINDOW_S,
    OUTCOME_BATCH_WINDOW_S,
    ClaimAnswer,
    ClaimRecord,
    ReadSegment,
    ReadShard,
    ShardClaims,
    WriteSegment,
    WriteShard,
    conflict_delay,
    unavailable_refusal,
)
from cassiaford.timeline import Journal

SHARD_PREFIX = "claims/"
SEGMENT_PREFIX = "sealed-claims/"
# A request waits at most this long for the answer to its claim.
CLAIM_TIMEOUT_S = 2.0
# After a failed call to the service, claims are refused immediately for this long.
OUTAGE_RETRY_S = 0.5


class MissingSegmentError(Exception):
    """A sealed segment that a shard refers to is missing."""


@dataclass
class Outage:
    """The time until which the service is assumed down; shared by the shards."""

    until: float = 0.0

    def remaining(self, now: float) -> float:
        """Return for how much longer the service is assumed to be down."""
        return self.until - now


@dataclass
class _Waiter:
    """A thread that waits for the answer to its claim."""

    done: threading.Event = field(default_factory=threading.Event)
    answer: ClaimAnswer | None = None

    def set_answer(self, answer: ClaimAnswer) -> None:
        """Store the answer and wake the waiting thread."""
        self.answer = answer
        self.done.set()


class ShardWorker:
    """Reads and writes one shard on a thread, and replies to its claims."""

    def __init__(
        self,
        claims: ShardClaims,
        key_value: KeyValueService,
        journal: Journal,
        outage: Outage,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ):
        self.name = claims.name
        self.claims = claims
        self.key_value = key_value
        self.journal = journal
        self.outage = outage
        self.clock = clock
        self.wall_clock = wall_clock
        self.waiters = {}
        self.condition = threading.Condition()
        self.stopping = False
        self.consecutive_conflicts = 0
        self.consecutive_unknown_outcomes = 0
        self.rng = random.Random(f"{claims.author}/{claims.name}")
        self.thread = threading.Thread(
            target=self._run, name=f"claims-{claims.name}", daemon=True
        )

    def claim(self, record: ClaimRecord, forwarded: bool = False) -> ClaimAnswer:
        """Claim for the own instance and wait for the answer."""
        waiter = _Waiter()
        self.submit(record, waiter.set_answer, forwarded)
        waiter.done.wait(CLAIM_TIMEOUT_S)
        with self.condition:
            self.waiters.pop(record.nonce, None)
            if waiter.answer is None:
                self.claims.abandon(record.nonce)
                waiter.answer = unavailable_refusal(OUTAGE_RETRY_S)
        return waiter.answer

    def submit(
        self,
        record: ClaimRecord,
        reply: Callable[[ClaimAnswer], None],
        forwarded: bool = False,
    ) -> None:
        """Queue a claim; `reply` is called with the answer."""
        with self.condition:
            outage_s = self.outage.remaining(self.clock())
            self.waiters[record.nonce] = reply
            resolved = self.claims.submit(record, self.clock(), forwarded)
            if resolved is not None:
                self._deliver((resolved,))
            elif outage_s > 0:
                self._deliver((self.claims.refuse(record.nonce, outage_s),))
            self.condition.notify_all()

    def discard_active(self, nonce: str) -> None:
        """Stop tracking an own claim whose outcome another instance records."""
        with self.condition:
            self.claims.active.discard(nonce)

    def record_outcome(self, record: ClaimRecord) -> bool:
        """Queue an outcome; return whether it will be written."""
        with self.condition:
            queued = self.claims.record_outcome(record)
            self.condition.notify_all()
        return queued and self.thread.is_alive()

    def release(self, record: ClaimRecord) -> None:
        """Release an own claim under which no request runs or ran."""
        with self.condition:
            self.claims.release(record)
            self.condition.notify_all()

    def reject_ownership(self, nonce: str) -> None:
        """Release an own claim that another instance granted too late."""
        with self.condition:
            self.claims.reject_ownership(nonce)
            self.condition.notify_all()

    def mark_gone(self, instance: str, incarnation: int) -> None:
        """Record that an incarnation and all earlier ones have ended."""
        with self.condition:
            self.claims.mark_gone(instance, incarnation)

    def request_stop(self) -> None:
        """Let the thread end once all claims and outcomes are written."""
        with self.condition:
            self.stopping = True
            self.condition.notify_all()

    def join(self, timeout_s: float) -> bool:
        """Wait for the thread to end; return whether it did."""
        self.thread.join(max(0.0, timeout_s))
        return not self.thread.is_alive()

    def _run(self):
        while self._wait_for_work():
            try:
                self._perform_next_step()
            except OutcomeUnknownError:
                self._on_unknown_outcome()
            except KeyValueError:
                self._on_outage()
            except Exception as error:
                # An undecodable value must not end the thread.
                self.journal.record(Event.BACKGROUND_TASK_FAILED, error=repr(error))
                self._refuse_all()

    def _perform_next_step(self):
        with self.condition:
            step = self.claims.next_step(self.wall_clock())
        conflict = step is not None and self._perform(step)
        self.consecutive_unknown_outcomes = 0
        self.consecutive_conflicts = self.consecutive_conflicts + 1 if conflict else 0
        if conflict:
            time.sleep(conflict_delay(self.consecutive_conflicts, self.rng))

    def _wait_for_work(self):
        """Wait for claims or outcomes, then for a batch of them to gather.

        Return False if the worker is stopping and everything is written.
        """
        with self.condition:
            while not (self.claims.pending or self.claims.changes):
                if self.stopping:
                    return False
                self.condition.wait()
            if not self.claims.pending and not self.stopping:
                self.condition.wait_for(self._is_urgent, OUTCOME_BATCH_WINDOW_S)
        time.sleep(CLAIM_BATCH_WINDOW_S)
        return True

    def _is_urgent(self):
        return bool(self.claims.pending) or self.stopping

    def _perform(self, step):
        """Perform one step; return whether another instance wrote the shard first."""
        match step:
            case ReadShard():
                self._on_shard_entry(self.key_value.get(_shard_key(self.name)))
            case WriteShard():
                return self._write(step)
            case ReadSegment(name=name):
                self._read_segment(name)
            case WriteSegment():
                self._write_segment(step)
        return False

    def _write(self, step):
        value = encode_shard(step.state)
        key = _shard_key(self.name)
        result = self.key_value.compare_and_swap(key, value, step.version)
        if not result.swapped:
            self._on_shard_entry(result.entry)
            return True
        with self.condition:
            self._deliver(self.claims.on_shard_written(result.entry.version))
        return False

    def _on_shard_entry(self, entry):
        state = decode_shard(entry.value)
        with self.condition:
            wall = self.wall_clock()
            self._deliver(self.claims.on_shard_read(state, entry.version, wall))

    def _read_segment(self, name):
        entry = self.key_value.get(f"{SEGMENT_PREFIX}{name}")
        if entry.value is None:
            raise MissingSegmentError(name)
        records = decode_segment(entry.value)
        with self.condition:
            self._deliver(self.claims.on_segment_read(name, records))

    def _write_segment(self, step):
        value = encode_segment(step.records)
        lease = self.key_value.grant_lease(step.ttl_s)
        key = f"{SEGMENT_PREFIX}{step.name}"
        self.key_value.compare_and_swap(key, value, 0, lease)
        with self.condition:
            self.claims.on_segment_written()

    def _on_unknown_outcome(self):
        """Retry the write; after a second unknown outcome, assume an outage."""
        self.consecutive_unknown_outcomes += 1
        with self.condition:
            self.claims.on_unknown_outcome()
        if self.consecutive_unknown_outcomes > 1:
            self._on_outage()

    def _on_outage(self):
        self.outage.until = self.clock() + OUTAGE_RETRY_S
        self._refuse_all()

    def _refuse_all(self):
        with self.condition:
            self.claims.on_not_written()
            self._deliver(self.claims.refuse_all(OUTAGE_RETRY_S))
        time.sleep(OUTAGE_RETRY_S)

    def _deliver(self, resolved):
        for item in resolved:
            reply = self.waiters.pop(item.nonce, None)
            if reply is not None:
                reply(item.answer)


def _shard_key(shard):
    return f"{SHARD_PREFIX}{shard}"

"""The thread that reads and writes one shard of claims."""

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
# The longest time that a caller waits for the answer to its claim.
CLAIM_TIMEOUT_S = 2.0
# After a failed call, claims are refused without a call for this long.
OUTAGE_RETRY_S = 0.5


class MissingSegmentError(Exception):
    """A sealed segment that a shard names is not in the key-value service."""


@dataclass
class Outage:
    """Until when the service is taken to be down; shared by the shards."""

    until: float = 0.0

    def remaining(self, now: float) -> float:
        """Return for how much longer the service is taken to be down."""
        return self.until - now


@dataclass
class _Waiter:
    """A caller that waits for the answer to its claim."""

    done: threading.Event = field(default_factory=threading.Event)
    answer: ClaimAnswer | None = None

    def take(self, answer: ClaimAnswer) -> None:
        """Take the answer and wake the caller."""
        self.answer = answer
        self.done.set()


class ShardWorker:
    """The thread that reads and writes one shard, and those that wait for it."""

    def __init__(
        self,
        book: ShardClaims,
        key_value: KeyValueService,
        journal: Journal,
        outage: Outage,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ):
        self.name = book.name
        self.book = book
        self.key_value = key_value
        self.journal = journal
        self.outage = outage
        self.clock = clock
        self.wall_clock = wall_clock
        self.waiters = {}
        self.condition = threading.Condition()
        self.stopping = False
        self.conflicts = 0
        self.unknown_in_a_row = 0
        self.rng = random.Random(f"{book.author}/{book.name}")
        self.thread = threading.Thread(
            target=self._run, name=f"claims-{book.name}", daemon=True
        )

    def claim(self, record: ClaimRecord, forwarded: bool = False) -> ClaimAnswer:
        """Claim for the own instance; wait for the answer."""
        waiter = _Waiter()
        self.submit(record, waiter.take, forwarded)
        waiter.done.wait(CLAIM_TIMEOUT_S)
        with self.condition:
            self.waiters.pop(record.nonce, None)
            if waiter.answer is None:
                self.book.abandon(record.nonce)
                waiter.answer = unavailable_refusal(OUTAGE_RETRY_S)
        return waiter.answer

    def submit(
        self,
        record: ClaimRecord,
        reply: Callable[[ClaimAnswer], None],
        forwarded: bool = False,
    ) -> None:
        """Claim, and have the answer given to `reply`."""
        with self.condition:
            down_s = self.outage.remaining(self.clock())
            self.waiters[record.nonce] = reply
            settled = self.book.submit(record, self.clock(), forwarded)
            if settled is not None:
                self._answer((settled,))
            elif down_s > 0:
                self._answer((self.book.refuse(record.nonce, down_s),))
            self.condition.notify_all()

    def forget(self, nonce: str) -> None:
        """Leave the outcome of an own claim to another instance."""
        with self.condition:
            self.book.active.discard(nonce)

    def end(self, record: ClaimRecord) -> bool:
        """Queue an outcome; return whether it will be written."""
        with self.condition:
            queued = self.book.record_outcome(record)
            self.condition.notify_all()
        return queued and self.thread.is_alive()

    def release(self, record: ClaimRecord) -> None:
        """Release an own claim under which nothing runs or ran."""
        with self.condition:
            self.book.release(record)
            self.condition.notify_all()

    def disown(self, nonce: str) -> None:
        """Release an own claim that another instance was granted too late."""
        with self.condition:
            self.book.reject_ownership(nonce)
            self.condition.notify_all()

    def mark_gone(self, instance: str, incarnation: int) -> None:
        """Take note that an incarnation of an instance runs no more."""
        with self.condition:
            self.book.mark_gone(instance, incarnation)

    def request_stop(self) -> None:
        """Have the thread end once nothing waits to be written."""
        with self.condition:
            self.stopping = True
            self.condition.notify_all()

    def join(self, timeout_s: float) -> bool:
        """Wait for the thread; return whether it has ended."""
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
                self.journal.record(Event.BACKGROUND_TASK_FAILED, error=repr(error))
                self._refuse_all()

    def _take_step(self):
        with self.condition:
            step = self.book.next_step(self.wall_clock())
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
                self.condition.wait_for(self._is_urgent, OUTCOME_BATCH_WINDOW_S)
        time.sleep(CLAIM_BATCH_WINDOW_S)
        return True

    def _is_urgent(self):
        return bool(self.book.pending) or self.stopping

    def _perform(self, step):
        """Make one call; return whether a write lost to another instance's."""
        match step:
            case ReadShard():
                self._on_entry(self.key_value.get(_key_of(self.name)))
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
        result = self.key_value.compare_and_swap(key, value, step.version)
        if not result.swapped:
            self._on_entry(result.entry)
            return True
        with self.condition:
            self._answer(self.book.on_shard_written(result.entry.version))
        return False

    def _on_entry(self, entry):
        state = decode_shard(entry.value)
        with self.condition:
            wall = self.wall_clock()
            self._answer(self.book.on_shard_read(state, entry.version, wall))

    def _read_segment(self, name):
        entry = self.key_value.get(f"{SEGMENT_PREFIX}{name}")
        if entry.value is None:
            raise MissingSegmentError(name)
        records = decode_segment(entry.value)
        with self.condition:
            self._answer(self.book.on_segment_read(name, records))

    def _write_segment(self, step):
        value = encode_segment(step.records)
        lease = self.key_value.grant_lease(step.ttl_s)
        key = f"{SEGMENT_PREFIX}{step.name}"
        self.key_value.compare_and_swap(key, value, 0, lease)
        with self.condition:
            self.book.on_segment_written()

    def _on_unknown(self):
        """Try the write again; the second time, take the service to be down."""
        self.unknown_in_a_row += 1
        with self.condition:
            self.book.on_unknown_outcome()
        if self.unknown_in_a_row > 1:
            self._on_outage()

    def _on_outage(self):
        self.outage.until = self.clock() + OUTAGE_RETRY_S
        self._refuse_all()

    def _refuse_all(self):
        with self.condition:
            self.book.on_not_written()
            self._answer(self.book.refuse_all(OUTAGE_RETRY_S))
        time.sleep(OUTAGE_RETRY_S)

    def _answer(self, settled):
        for item in settled:
            reply = self.waiters.pop(item.nonce, None)
            if reply is not None:
                reply(item.answer)


def _key_of(shard):
    return f"{SHARD_PREFIX}{shard}"

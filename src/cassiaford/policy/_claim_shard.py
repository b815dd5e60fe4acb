"""The state machine of one claim shard: what to write and how to answer claims."""

import collections
import random
from collections.abc import Mapping

from cassiaford.policy._claim_changes import ChangeQueue
from cassiaford.policy._claim_segments import SealedSegment, SegmentIndex, ShardState
from cassiaford.policy._claim_steps import (
    ReadSegment,
    ReadShard,
    Resolved,
    ResolvedClaim,
    Step,
    WriteSegment,
    WriteShard,
    repeat_answer,
)
from cassiaford.policy._claims import (
    CLOCK_SKEW_S,
    RETENTION_S,
    Claim,
    ClaimRecord,
    ClaimState,
    released_record,
    unavailable_refusal,
)
from cassiaford.verdict import Verdict

# The first byte must be sent within this time of the submission of the claim.
MAX_START_DELAY_S = 60.0
# A shard above this size takes no more claims, so that outcomes still fit into
# the megabyte that a value may have.
MAX_CLAIM_VALUE_BYTES = 800_000
# How long claims and outcomes wait so that several share one write.
CLAIM_BATCH_WINDOW_S = 0.005
OUTCOME_BATCH_WINDOW_S = 0.1
# Bounds of the random delay before a write that lost a conflict is repeated.
BASE_CONFLICT_DELAY_S = 0.004
MAX_CONFLICT_DELAY_S = 0.064
# The limit of forwarded claims that can still be released after a late grant.
MAX_FORWARDED = 1000
# Ended claims are sealed in a segment once they have this total size.
SEAL_THRESHOLD_BYTES = 48_000
# For this long after a lost write, the shard is read before each write, unless
# the last read is more recent than `MAX_READ_AGE_S`.
CONTENTION_TTL_S = 10.0
MAX_READ_AGE_S = 0.01


class ShardClaims:
    """The claims of one shard, as one instance sees and changes them.

    The caller calls `next_step`, performs the call to the key-value service that
    it returns, and reports the result with an `on_...` method. Most of these
    return the claims that the result resolves.
    """

    def __init__(
        self,
        name: str,
        instance: str,
        incarnation: int,
        seal_bytes: int = SEAL_THRESHOLD_BYTES,
    ):
        self.name = name
        self.instance = instance
        self.author = f"{instance}.{incarnation}"
        self.seal_bytes = seal_bytes
        self.version = -1
        self.records = {}
        self.segments = SegmentIndex()
        self.pending = {}
        self.changes = ChangeQueue()
        self.active = set()
        self.gone = {instance: incarnation - 1}
        self._step = None
        self._new_segment = None
        self._segment_count = 0
        self._uncertain = set()
        self._forwarded = collections.OrderedDict()
        self._must_write = False
        self._uncertain_version = None
        self._read_at = 0.0
        self._contended_until = 0.0

    def submit(
        self, record: ClaimRecord, now: float, forwarded: bool = False
    ) -> ResolvedClaim | None:
        """Add a claim; return its answer if it needs no call.

        Another instance may write a claim that was `forwarded` to it before.
        """
        if forwarded:
            self._remember_forwarded(record)
        existing = self._latest_record(record)
        claim = Claim(self.name, record, now + MAX_START_DELAY_S)
        if existing is not None and _is_granted(existing, record):
            self._forwarded.pop(record.nonce, None)
            return ResolvedClaim(record.nonce, claim)
        if existing is not None and self._is_final(existing):
            return ResolvedClaim(record.nonce, self._repeat_answer(existing, record))
        self.pending[record.nonce] = claim
        return None

    def abandon(self, nonce: str) -> None:
        """Abandon a pending claim.

        If a write may have created the claim, or still may, a later write
        releases it. A claim of another instance is released by that instance
        alone, since it may have been granted there.
        """
        claim = self.pending.pop(nonce, None)
        if claim is None or claim.record.instance != self.instance:
            return
        if nonce in self._forwarded or self._may_be_written(claim.record):
            self.release(claim.record)

    def release(self, record: ClaimRecord) -> None:
        """Release a claim of this instance under which nothing runs or ran.

        A write that creates the claim may be in progress here or elsewhere, so
        another write must follow to make it fail.
        """
        self.changes.add(released_record(record))
        self._must_write = True

    def reject_ownership(self, nonce: str) -> None:
        """Release a forwarded claim that another instance was granted too late."""
        if nonce in self._forwarded and nonce not in self.pending:
            self.release(self._forwarded.pop(nonce))

    def record_outcome(self, record: ClaimRecord) -> bool:
        """Queue the outcome of a claim; the verdict *not run* releases it.

        Returns whether it was queued. The queue fills up in a long outage; the
        claim then remains, and its outcome is reported as unknown.
        """
        self.active.discard(record.nonce)
        if record.verdict is Verdict.NOT_RUN:
            # Another instance may still write a forwarded copy.
            self._remember_forwarded(record)
        if self.changes.full:
            return False
        self.changes.add(record)
        return True

    def next_step(self, wall: float) -> Step | None:
        """Return the next call for the waiting claims and outcomes, if any."""
        self.changes.call_number += 1
        self._step = self._choose_step(wall)
        return self._step

    def on_shard_read(self, state: ShardState, version: int, wall: float) -> Resolved:
        """Apply the shard as read, or as returned by a write that lost."""
        if isinstance(self._step, WriteShard):
            self._contended_until = wall + CONTENTION_TTL_S
        self._read_at = wall
        self._apply(state, version)
        return self._resolve_existing() + self._refuse_unclaimable(wall)

    def on_shard_written(self, version: int) -> Resolved:
        """Record that the last write took effect."""
        state = self._step.state
        self._apply(state, version)
        return self._resolve_existing()

    def on_segment_read(
        self, name: str, records: Mapping[str, ClaimRecord]
    ) -> Resolved:
        """Apply a sealed segment."""
        self._step = None
        self.segments.load(name, records)
        return self._resolve_existing()

    def on_segment_written(self) -> None:
        """Record that the segment was created; the next write refers to it."""
        step = self._step
        self._step = None
        self.segments.load(step.name, step.records)
        newest = max(record.written_at for record in step.records.values())
        self._new_segment = (SealedSegment(step.name, newest), step.records)

    def on_unknown_outcome(self) -> None:
        """Record that the last write may have taken effect, or still may."""
        if isinstance(self._step, WriteShard):
            self._uncertain_version = self.version
            self._uncertain.update(self.pending)
        self._step = None

    def on_not_written(self) -> None:
        """Record that the last call failed and had no effect."""
        self._step = None

    def refuse_all(self, retry_after_s: float) -> Resolved:
        """Refuse all pending claims: the service is down and nothing was sent."""
        return tuple(self.refuse(nonce, retry_after_s) for nonce in list(self.pending))

    def refuse(self, nonce: str, retry_after_s: float) -> ResolvedClaim:
        """Refuse one pending claim, considering what is known of its key."""
        record = self.pending[nonce].record
        # Another instance releases its claim only on the answer "unavailable", so
        # it gets that one if a write of unknown result may have stored its claim.
        foreign = record.instance != self.instance
        uncertain = foreign and self._may_be_written(record)
        self.abandon(nonce)
        existing = self._latest_record(record)
        if existing is None or existing.nonce == nonce or uncertain:
            return ResolvedClaim(nonce, unavailable_refusal(retry_after_s))
        return ResolvedClaim(nonce, self._repeat_answer(existing, record))

    def mark_gone(self, instance: str, incarnation: int) -> None:
        """Record that an incarnation and all earlier ones have ended."""
        self.gone[instance] = max(incarnation, self.gone.get(instance, 0))

    def _remember_forwarded(self, record):
        self._forwarded[record.nonce] = record
        while len(self._forwarded) > MAX_FORWARDED:
            self._forwarded.popitem(last=False)

    def _choose_step(self, wall):
        if not self.pending and not self.changes:
            return None
        if self.version < 0 or self._read_is_due(wall):
            return ReadShard()
        segment_name = self._segment_to_read()
        if segment_name is not None:
            return ReadSegment(segment_name)
        segment = self._segment_to_write()
        if segment is not None:
            return segment
        state = self._desired_state(wall)
        # A write whose result is unknown may still take effect. It fails for
        # certain only once the shard has a later version.
        writes_known = self._uncertain_version != self.version and not self._must_write
        if state == self._state() and writes_known:
            # Another instance may have written the claim of a queued change since
            # the last read.
            return ReadShard()
        return WriteShard(state, self.version)

    def _read_is_due(self, wall):
        """Return whether to read before writing, as the write would probably lose.

        Reads cost the service less than lost writes.
        """
        return wall < self._contended_until and wall > self._read_at + MAX_READ_AGE_S

    def _segment_to_read(self):
        for claim in self.pending.values():
            if claim.record.key not in self.records:
                name = self.segments.segment_to_read(claim.record.key)
                if name is not None:
                    return name
        return None

    def _segment_to_write(self):
        """Return the segment to create, if the ended claims are large enough."""
        if self._new_segment is not None:
            return None
        ended = {
            key: record
            for key, record in self.records.items()
            if record.state is ClaimState.ENDED
        }
        if sum(record.size for record in ended.values()) < self.seal_bytes:
            return None
        self._segment_count += 1
        return WriteSegment(f"{self.name}/{self.author}.{self._segment_count}", ended)

    def _state(self):
        return ShardState(self.records, self.segments.sealed)

    def _apply(self, state, version):
        if isinstance(self._step, WriteShard) and state is self._step.state:
            self._new_segment = None
            self._must_write = False
        self._step = None
        self.records = dict(state.records)
        self.segments.replace(state.sealed)
        if version != self._uncertain_version:
            self._uncertain_version = None
            self._uncertain.clear()
        self.version = version
        writes_known = self._uncertain_version is None and not self._must_write
        self.changes.discard_applied(self.records, writes_known)

    def _latest_record(self, record):
        return self.changes.outcome_of(record.key) or self._existing_record(record)

    def _existing_record(self, record):
        """Return the stored record of a claim's key, unless it has expired."""
        existing = self.records.get(record.key) or self.segments.find(record.key)
        if existing is not None and existing.expired(record.written_at):
            return None
        return existing

    def _is_final(self, existing):
        return existing.state is ClaimState.ENDED or existing.nonce in self.active

    def _may_be_written(self, record):
        existing = self.records.get(record.key)
        if existing is not None and existing.nonce == record.nonce:
            return True
        write_in_progress = isinstance(self._step, WriteShard)
        return record.nonce in self._uncertain or write_in_progress

    def _desired_state(self, wall):
        """Return the shard's state with all changes and claims that it can take."""
        records = {
            key: record
            for key, record in self.records.items()
            if not record.expired(wall)
        }
        sealed = tuple(s for s in self.segments.sealed if not s.expired(wall))
        if self._new_segment is not None:
            sealed = self._move_to_segment(records, sealed)
        size = sum(record.size for record in records.values())
        size = self.changes.apply(records, size)
        for claim in self.pending.values():
            if size < MAX_CLAIM_VALUE_BYTES and self._is_free(claim.record, records):
                records[claim.record.key] = claim.record
                size += claim.record.size
        return ShardState(records, sealed)

    def _move_to_segment(self, records, sealed):
        """Move the records of a new segment out of the shard."""
        segment, moved = self._new_segment
        existing = [key for key, record in moved.items() if records.get(key) == record]
        for key in existing:
            del records[key]
        if not existing:
            # Another instance has sealed them; this segment is left to expire.
            self._new_segment = None
            return sealed
        return (*sealed, segment)

    def _is_free(self, record, records):
        if (
            record.key in records
            or self.segments.segment_to_read(record.key) is not None
        ):
            return False
        sealed = self.segments.find(record.key)
        return sealed is None or sealed.expired(record.written_at)

    def _resolve_existing(self):
        """Resolve the pending claims whose key has a record in the shard."""
        resolved = []
        for nonce, claim in list(self.pending.items()):
            existing = self._existing_record(claim.record)
            if existing is None or existing.nonce in self.changes:
                continue
            del self.pending[nonce]
            if _is_granted(existing, claim.record):
                self._forwarded.pop(nonce, None)
                if existing.instance == self.instance:
                    self.active.add(nonce)
                resolved.append(ResolvedClaim(nonce, claim))
            else:
                answer = self._repeat_answer(existing, claim.record)
                resolved.append(ResolvedClaim(nonce, answer))
                if nonce in self._forwarded:
                    self.release(claim.record)
        return tuple(resolved)

    def _refuse_unclaimable(self, wall):
        """Refuse the pending claims for which the shard has no room."""
        claimable = self._desired_state(wall).records
        nonces = [
            nonce
            for nonce, claim in self.pending.items()
            if claim.record.key not in claimable
            and self.segments.segment_to_read(claim.record.key) is None
        ]
        for nonce in nonces:
            self.abandon(nonce)
        refusal = unavailable_refusal(self._next_expiry(wall))
        return tuple(ResolvedClaim(nonce, refusal) for nonce in nonces)

    def _next_expiry(self, wall):
        oldest = min((r.written_at for r in self.records.values()), default=wall)
        return max(1.0, oldest + RETENTION_S + CLOCK_SKEW_S - wall)

    def _repeat_answer(self, existing, record):
        gone = existing.incarnation <= self.gone.get(existing.instance, -1)
        return repeat_answer(existing, record, gone)


def conflict_delay(conflicts: int, rng: random.Random) -> float:
    """Return the seconds to wait after a number of consecutive lost writes."""
    bound = min(MAX_CONFLICT_DELAY_S, BASE_CONFLICT_DELAY_S * 2 ** (conflicts - 1))
    return rng.uniform(0.0, bound)


def _is_granted(existing, record):
    return existing.nonce == record.nonce and existing.state is ClaimState.RUNNING

"""One shard of claims: what to write, and what each arrival is told."""

import collections
import random
from collections.abc import Mapping

from cassiaford.policy._claim_changes import ChangeQueue
from cassiaford.policy._claim_segments import SealedSegment, SegmentIndex, ShardState
from cassiaford.policy._claim_steps import (
    Answers,
    ReadSegment,
    ReadShard,
    ResolvedClaim,
    Step,
    WriteSegment,
    WriteShard,
    second_arrival,
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

# The first byte must leave within this time of the claim's first write.
MAX_START_DELAY_S = 60.0
# Above this size in bytes a shard takes no more claims; outcomes then still fit
# under the megabyte that a value may have.
CLAIM_VALUE_BYTES = 800_000
# Claims wait this long for others to share their write, outcomes longer.
CLAIM_BATCH_WINDOW_S = 0.005
OUTCOME_BATCH_WINDOW_S = 0.1
# Bounds the random delay before a write that lost to another is made again.
CONFLICT_DELAY_S = 0.004
MAX_CONFLICT_DELAY_S = 0.064
# Forwarded claims without an answer of which a late grant is still undone.
MAX_ELSEWHERE = 1000
# Ended claims of this size together are sealed in a segment.
SEAL_BYTES = 48_000
# After a write that lost to another instance's, the shard is read before each
# write for a while, unless it was read this short a time ago.
CONTENTION_MEMORY_S = 10.0
FRESH_S = 0.01


class ShardClaims:
    """The claims of one shard, as one instance sees and changes them.

    The shell calls `next_step`, performs the call that it returns, and reports
    what came of it. Most reports return the claims they settled.
    """

    def __init__(
        self,
        name: str,
        instance: str,
        incarnation: int,
        seal_bytes: int = SEAL_BYTES,
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
        self._seal = None
        self._seals = 0
        self._unsure = set()
        self._elsewhere = collections.OrderedDict()
        self._must_write = False
        self._unsure_version = None
        self._known_at = 0.0
        self._contended_until = 0.0

    def submit(
        self, record: ClaimRecord, now: float, forwarded: bool = False
    ) -> ResolvedClaim | None:
        """Add a claim; return its answer if no call is needed for it.

        One that was `forwarded` before may be written by another instance.
        """
        if forwarded:
            self._note_elsewhere(record)
        standing = self._local_view(record)
        claim = Claim(self.name, record, now + MAX_START_DELAY_S)
        if standing is not None and _is_granted(standing, record):
            self._elsewhere.pop(record.nonce, None)
            return ResolvedClaim(record.nonce, claim)
        if standing is not None and self._is_final(standing):
            return ResolvedClaim(record.nonce, self._second_arrival(standing, record))
        self.pending[record.nonce] = claim
        return None

    def abandon(self, nonce: str) -> None:
        """Give up a pending claim.

        If a write with it may have taken effect, or may yet, it is released
        by a later write; that of another instance by that one alone, since it
        may have been granted there.
        """
        claim = self.pending.pop(nonce, None)
        if claim is None or claim.record.instance != self.instance:
            return
        if nonce in self._elsewhere or self._may_be_written(claim.record):
            self.release(claim.record)

    def release(self, record: ClaimRecord) -> None:
        """Release an own claim under which nothing runs or ran.

        A write by which it is claimed may be under way, here or elsewhere, so
        a write must follow that makes it void.
        """
        self.changes.add(released_record(record))
        self._must_write = True

    def reject_ownership(self, nonce: str) -> None:
        """Release an own claim that another instance was granted too late."""
        if nonce in self._elsewhere and nonce not in self.pending:
            self.release(self._elsewhere.pop(nonce))

    def record_outcome(self, record: ClaimRecord) -> bool:
        """Queue the outcome of a claim; verdict *not run* releases it.

        Returns whether it was queued. In a long outage the queue is full in
        the end; then the claim stands, and its outcome is told as unknown.
        """
        self.active.discard(record.nonce)
        if record.verdict is Verdict.NOT_RUN:
            # A copy that was forwarded may still be written elsewhere.
            self._note_elsewhere(record)
        if self.changes.full:
            return False
        self.changes.add(record)
        return True

    def next_step(self, wall: float) -> Step | None:
        """Return what to do for the claims and outcomes that wait, if any."""
        self.changes.step += 1
        self._step = self._choose_step(wall)
        return self._step

    def on_shard_read(self, state: ShardState, version: int, wall: float) -> Answers:
        """Take in the shard as read, or as told by a write that lost."""
        if isinstance(self._step, WriteShard):
            self._contended_until = wall + CONTENTION_MEMORY_S
        self._known_at = wall
        self._take(state, version)
        return self._settle_standing() + self._settle_unclaimable(wall)

    def on_shard_written(self, version: int) -> Answers:
        """Take note that the last write took effect."""
        state = self._step.state
        self._take(state, version)
        return self._settle_standing()

    def on_segment_read(self, name: str, records: Mapping[str, ClaimRecord]) -> Answers:
        """Take in a sealed segment."""
        self._step = None
        self.segments.load(name, records)
        return self._settle_standing()

    def on_segment_written(self) -> None:
        """Take note that the segment was created; the shard names it next."""
        step = self._step
        self._step = None
        self.segments.load(step.name, step.records)
        newest = max(record.written_at for record in step.records.values())
        self._seal = (SealedSegment(step.name, newest), step.records)

    def on_unknown_outcome(self) -> None:
        """Take note that the last write may have taken effect, or may yet."""
        if isinstance(self._step, WriteShard):
            self._unsure_version = self.version
            self._unsure.update(self.pending)
        self._step = None

    def on_not_written(self) -> None:
        """Take note that the last call failed and had no effect."""
        self._step = None

    def refuse_all(self, retry_after_s: float) -> Answers:
        """Refuse what waits: the service is down, and nothing has been sent."""
        return tuple(self.refuse(nonce, retry_after_s) for nonce in list(self.pending))

    def refuse(self, nonce: str, retry_after_s: float) -> ResolvedClaim:
        """Refuse one pending claim, with all that is known of its key."""
        record = self.pending[nonce].record
        # Another instance releases its claim only if told that it is not known
        # to stand: a lost write may have put it in the place of what stood.
        foreign = record.instance != self.instance
        unsure = foreign and self._may_be_written(record)
        self.abandon(nonce)
        standing = self._local_view(record)
        if standing is None or standing.nonce == nonce or unsure:
            return ResolvedClaim(nonce, unavailable_refusal(retry_after_s))
        return ResolvedClaim(nonce, self._second_arrival(standing, record))

    def mark_gone(self, instance: str, incarnation: int) -> None:
        """Take note that an incarnation, and any before it, runs no more."""
        self.gone[instance] = max(incarnation, self.gone.get(instance, 0))

    def _note_elsewhere(self, record):
        self._elsewhere[record.nonce] = record
        while len(self._elsewhere) > MAX_ELSEWHERE:
            self._elsewhere.popitem(last=False)

    def _choose_step(self, wall):
        if not self.pending and not self.changes:
            return None
        if self.version < 0 or self._is_outdated(wall):
            return ReadShard()
        to_read = self._segment_to_read()
        if to_read is not None:
            return ReadSegment(to_read)
        segment = self._segment_to_write()
        if segment is not None:
            return segment
        state = self._wanted(wall)
        # A write with an unknown result may be under way still: only a later
        # version makes it void.
        void = self._unsure_version != self.version and not self._must_write
        if state == self._state() and void:
            # A change that fits nothing known may fit what another has written.
            return ReadShard()
        return WriteShard(state, self.version)

    def _is_outdated(self, wall):
        """Return whether a read is due, as a write would probably lose.

        Reads cost the service less than lost writes do.
        """
        return wall < self._contended_until and wall > self._known_at + FRESH_S

    def _segment_to_read(self):
        for claim in self.pending.values():
            if claim.record.key not in self.records:
                name = self.segments.to_read(claim.record.key)
                if name is not None:
                    return name
        return None

    def _segment_to_write(self):
        """Return the segment to create, if the ended claims are many."""
        if self._seal is not None:
            return None
        ended = {
            key: record
            for key, record in self.records.items()
            if record.state is ClaimState.ENDED
        }
        if sum(record.size for record in ended.values()) < self.seal_bytes:
            return None
        self._seals += 1
        return WriteSegment(f"{self.name}/{self.author}.{self._seals}", ended)

    def _state(self):
        return ShardState(self.records, self.segments.sealed)

    def _take(self, state, version):
        if isinstance(self._step, WriteShard) and state is self._step.state:
            self._seal = None
            self._must_write = False
        self._step = None
        self.records = dict(state.records)
        self.segments.replace(state.sealed)
        if version != self._unsure_version:
            self._unsure_version = None
            self._unsure.clear()
        self.version = version
        void = self._unsure_version is None and not self._must_write
        self.changes.drop_applied(self.records, void)

    def _local_view(self, record):
        return self.changes.outcome_of(record.key) or self._standing(record)

    def _standing(self, record):
        """Return what is known to stand under a claim's key, unless expired."""
        standing = self.records.get(record.key) or self.segments.find(record.key)
        if standing is not None and standing.expired(record.written_at):
            return None
        return standing

    def _is_final(self, standing):
        return standing.state is ClaimState.ENDED or standing.nonce in self.active

    def _may_be_written(self, record):
        standing = self.records.get(record.key)
        if standing is not None and standing.nonce == record.nonce:
            return True
        under_way = isinstance(self._step, WriteShard)
        return record.nonce in self._unsure or under_way

    def _wanted(self, wall):
        """Return the shard's state with every change that it admits."""
        records = {
            key: record
            for key, record in self.records.items()
            if not record.expired(wall)
        }
        sealed = tuple(s for s in self.segments.sealed if not s.expired(wall))
        if self._seal is not None:
            sealed = self._without_sealed(records, sealed)
        size = sum(record.size for record in records.values())
        size = self.changes.apply(records, size)
        for claim in self.pending.values():
            if size < CLAIM_VALUE_BYTES and self._is_free(claim.record, records):
                records[claim.record.key] = claim.record
                size += claim.record.size
        return ShardState(records, sealed)

    def _without_sealed(self, records, sealed):
        """Move the records of a new segment out of the shard."""
        segment, moved = self._seal
        standing = [key for key, record in moved.items() if records.get(key) == record]
        for key in standing:
            del records[key]
        if not standing:
            # Another instance has sealed them; this segment is left to lapse.
            self._seal = None
            return sealed
        return (*sealed, segment)

    def _is_free(self, record, records):
        if record.key in records or self.segments.to_read(record.key) is not None:
            return False
        sealed = self.segments.find(record.key)
        return sealed is None or sealed.expired(record.written_at)

    def _settle_standing(self):
        """Answer the pending claims whose key stands in the shard."""
        settled = []
        for nonce, claim in list(self.pending.items()):
            standing = self._standing(claim.record)
            if standing is None or standing.nonce in self.changes:
                continue
            del self.pending[nonce]
            if _is_granted(standing, claim.record):
                self._elsewhere.pop(nonce, None)
                if standing.instance == self.instance:
                    self.active.add(nonce)
                settled.append(ResolvedClaim(nonce, claim))
            else:
                answer = self._second_arrival(standing, claim.record)
                settled.append(ResolvedClaim(nonce, answer))
                if nonce in self._elsewhere:
                    self.release(claim.record)
        return tuple(settled)

    def _settle_unclaimable(self, wall):
        """Refuse the pending claims for which the shard has no room."""
        claimable = self._wanted(wall).records
        nonces = [
            nonce
            for nonce, claim in self.pending.items()
            if claim.record.key not in claimable
            and self.segments.to_read(claim.record.key) is None
        ]
        for nonce in nonces:
            self.abandon(nonce)
        refusal = unavailable_refusal(self._next_expiry(wall))
        return tuple(ResolvedClaim(nonce, refusal) for nonce in nonces)

    def _next_expiry(self, wall):
        oldest = min((r.written_at for r in self.records.values()), default=wall)
        return max(1.0, oldest + RETENTION_S + CLOCK_SKEW_S - wall)

    def _second_arrival(self, standing, record):
        gone = standing.incarnation <= self.gone.get(standing.instance, -1)
        return second_arrival(standing, record, gone)


def conflict_delay(conflicts: int, rng: random.Random) -> float:
    """Return the seconds to wait after so many lost writes in a row."""
    bound = min(MAX_CONFLICT_DELAY_S, CONFLICT_DELAY_S * 2 ** (conflicts - 1))
    return rng.uniform(0.0, bound)


def _is_granted(standing, record):
    return standing.nonce == record.nonce and standing.state is ClaimState.RUNNING

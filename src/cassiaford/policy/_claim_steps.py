"""The calls that a claim shard requests, and the answers that it returns."""

from collections.abc import Mapping
from dataclasses import dataclass

from cassiaford.policy._claim_segments import ShardState
from cassiaford.policy._claims import (
    CLOCK_SKEW_S,
    RETENTION_S,
    ClaimAnswer,
    ClaimRecord,
    ClaimState,
    RecordedOutcome,
)
from cassiaford.verdict import Refusal, RefusalReason, Verdict, refuse

# A run whose outcome is not recorded within this time is considered lost.
MAX_RUN_S = 660.0
IN_PROGRESS_RETRY_S = 1.0
# The service deletes a segment once its records have expired everywhere.
SEGMENT_TTL_S = RETENTION_S + 3 * CLOCK_SKEW_S


@dataclass(frozen=True)
class ResolvedClaim:
    """The answer to one pending claim, named by its nonce."""

    nonce: str
    answer: ClaimAnswer


Resolved = tuple[ResolvedClaim, ...]


@dataclass(frozen=True)
class ReadShard:
    """A request to the caller to read the shard."""


@dataclass(frozen=True)
class WriteShard:
    """A request to the caller to write the shard by compare-and-swap."""

    state: ShardState
    version: int


@dataclass(frozen=True)
class ReadSegment:
    """A request to the caller to read a sealed segment."""

    name: str


@dataclass(frozen=True)
class WriteSegment:
    """A request to the caller to create a segment, to be deleted after `ttl_s`."""

    name: str
    records: Mapping[str, ClaimRecord]
    ttl_s: float = SEGMENT_TTL_S


Step = ReadShard | WriteShard | ReadSegment | WriteSegment


def repeat_answer(
    existing: ClaimRecord, record: ClaimRecord, holder_gone: bool
) -> RecordedOutcome | Refusal:
    """Return the answer to an arrival whose key another arrival has claimed."""
    if existing.fingerprint != record.fingerprint:
        return refuse(
            RefusalReason.KEY_REUSED,
            "the idempotency key was used with another request",
        )
    if existing.state is ClaimState.ENDED:
        return _recorded_answer(existing)
    # If the claiming process is gone, nothing will record the outcome any more.
    if holder_gone or record.written_at > existing.written_at + MAX_RUN_S:
        return _unknown_outcome()
    return Refusal(
        RefusalReason.IN_PROGRESS,
        Verdict.MAY_HAVE_RUN,
        "a request with this idempotency key is running",
        IN_PROGRESS_RETRY_S,
    )


def _recorded_answer(existing):
    if existing.verdict is not Verdict.RAN:
        return _unknown_outcome()
    return RecordedOutcome(
        existing.request_id,
        existing.status,
        existing.content_type,
        existing.body,
        existing.body_kept,
    )


def _unknown_outcome():
    return Refusal(
        RefusalReason.OUTCOME_UNKNOWN,
        Verdict.MAY_HAVE_RUN,
        "a request with this idempotency key was started; whether it ran is unknown",
    )

"""The calls that a shard of claims asks for, and the answers it gives."""

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

# After this time a run that has not been recorded is taken for lost.
MAX_RUN_S = 660.0
IN_PROGRESS_RETRY_S = 1.0
# The service deletes a segment once its records have expired everywhere.
SEGMENT_TTL_S = RETENTION_S + 3 * CLOCK_SKEW_S


@dataclass(frozen=True)
class ResolvedClaim:
    """The answer to one pending claim, named by its nonce."""

    nonce: str
    answer: ClaimAnswer


Answers = tuple[ResolvedClaim, ...]


@dataclass(frozen=True)
class ReadShard:
    """Asks the shell to read the shard."""


@dataclass(frozen=True)
class WriteShard:
    """Asks the shell to write the shard by compare-and-swap."""

    state: ShardState
    version: int


@dataclass(frozen=True)
class ReadSegment:
    """Asks the shell to read a sealed segment."""

    name: str


@dataclass(frozen=True)
class WriteSegment:
    """Asks the shell to create a segment, to be deleted after `ttl_s`."""

    name: str
    records: Mapping[str, ClaimRecord]
    ttl_s: float = SEGMENT_TTL_S


Step = ReadShard | WriteShard | ReadSegment | WriteSegment


def second_arrival(
    standing: ClaimRecord, record: ClaimRecord, holder_gone: bool
) -> RecordedOutcome | Refusal:
    """Return what an arrival is told whose key another one has claimed."""
    if standing.fingerprint != record.fingerprint:
        return refuse(
            RefusalReason.KEY_REUSED,
            "the idempotency key was used with another request",
        )
    if standing.state is ClaimState.ENDED:
        return _recorded(standing)
    # Nobody is left to record how the work of a lost claim ended.
    if holder_gone or record.written_at > standing.written_at + MAX_RUN_S:
        return _unknown()
    return Refusal(
        RefusalReason.IN_PROGRESS,
        Verdict.MAY_HAVE_RUN,
        "a request with this idempotency key is running",
        IN_PROGRESS_RETRY_S,
    )


def _recorded(standing):
    if standing.verdict is not Verdict.RAN:
        return _unknown()
    return RecordedOutcome(
        standing.request_id,
        standing.status,
        standing.content_type,
        standing.body,
        standing.body_kept,
    )


def _unknown():
    return Refusal(
        RefusalReason.OUTCOME_UNKNOWN,
        Verdict.MAY_HAVE_RUN,
        "a request with this idempotency key was started; whether it ran is unknown",
    )

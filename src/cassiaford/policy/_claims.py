"""Claims, by which requests run at most once.

A request that must not be repeated is claimed by compare-and-swap before its
first byte is sent to a backend server. The claims of a customer are stored in
one value (its shard) of the key-value service, and one write carries all the
claims and outcomes that arrived during the previous write.

A claim carries a nonce. A write whose response was lost is repeated with the
same nonce: an instance that then finds its own nonce holds the claim, whether
the first or the second write took effect. A record with another nonce is never
taken over.

The verdict of a refusal covers every arrival of the request (identified by key
and fingerprint) that this instance can know of. One exception is stated in its
message: while the service is down, *not run* covers this arrival only, and the
caller should retry with the same key.
"""

import enum
from dataclasses import dataclass, field, replace

from cassiaford.verdict import Refusal, RefusalReason, Verdict, refuse

# A claim or outcome is kept at least this long after its last write, provided
# that the instances' clocks differ by less than CLOCK_SKEW_S.
RETENTION_S = 900.0
CLOCK_SKEW_S = 60.0
MAX_BODY_BYTES = 4096


class ClaimState(enum.Enum):
    """The recorded progress of a claimed request."""

    RUNNING = "running"
    ENDED = "ended"


@dataclass(frozen=True)
class ClaimRecord:
    """One claim as stored in a shard.

    `key` is a digest over customer and idempotency key. `written_at` is in
    seconds since the epoch. `body_kept` is false if the response was too large
    to store.
    """

    key: str
    fingerprint: str
    nonce: str
    request_id: str
    instance: str
    incarnation: int
    written_at: float
    state: ClaimState = ClaimState.RUNNING
    verdict: Verdict = Verdict.MAY_HAVE_RUN
    status: int = 0
    content_type: str = ""
    body: bytes = field(default=b"", repr=False)
    body_kept: bool = True

    def expired(self, wall: float) -> bool:
        """Return whether the record has outlived its retention."""
        return wall > self.written_at + RETENTION_S + CLOCK_SKEW_S

    @property
    def size(self) -> int:
        """An upper bound of the encoded size in bytes."""
        texts = len(self.request_id) + len(self.instance) + len(self.content_type)
        return 220 + texts + (len(self.body) * 4 + 2) // 3


@dataclass(frozen=True)
class Claim:
    """The right to run a request once.

    `start_by` is the latest time at which the first byte may be sent, in
    seconds on the claiming instance's monotonic clock. Without it, a process
    that was paused for longer than the retention could repeat a request that
    another instance has run.
    """

    shard: str
    record: ClaimRecord
    start_by: float

    def may_start(self, now: float) -> bool:
        """Return whether the first byte may still be sent."""
        return now <= self.start_by


@dataclass(frozen=True)
class RecordedOutcome:
    """The outcome of an earlier arrival of the same request, which has run.

    If `body_kept` is false, the response was too large to store and only its
    status is known.
    """

    request_id: str
    status: int
    content_type: str = ""
    body: bytes = field(default=b"", repr=False)
    body_kept: bool = True


ClaimAnswer = Claim | RecordedOutcome | Refusal


def unavailable_refusal(retry_after_s: float) -> Refusal:
    """Return the refusal of a request that could not be claimed."""
    return refuse(
        RefusalReason.CLAIMS_UNAVAILABLE,
        "this arrival could not be claimed and was not run; if an earlier one"
        " had the same idempotency key, keep the key and ask again",
        retry_after_s,
    )


def released_record(record: ClaimRecord) -> ClaimRecord:
    """Return the record that releases a claim, so that it counts as not run."""
    return replace(record, state=ClaimState.ENDED, verdict=Verdict.NOT_RUN)


def ended_record(
    claim: Claim,
    verdict: Verdict,
    status: int,
    content_type: str,
    body: bytes,
    wall: float,
) -> ClaimRecord:
    """Return the record of a claimed request's outcome."""
    fits = len(body) <= MAX_BODY_BYTES
    return replace(
        claim.record,
        state=ClaimState.ENDED,
        verdict=verdict,
        status=status,
        content_type=content_type,
        body=body if fits else b"",
        body_kept=fits,
        written_at=wall,
    )

"""Claims on requests that run at most once.

A request that may not be repeated is claimed by compare-and-swap before its
first byte leaves for a backend server. The claims of a customer stand in one
value (its shard) of the key-value service, and one write carries every claim
and outcome that arrived while the previous one was under way.

A claim carries a nonce. A write of which the answer was lost is made again
with the same nonce: whoever then finds its own nonce holds the claim, whether
the first write took effect or the second. A record of which the nonce is not
its own is never taken over.

A refusal's verdict speaks of the request that key and fingerprint name, over
all its arrivals that this instance can know of. The one exception is stated in
its message: while the service is down, *not run* speaks of this arrival alone,
and the caller is to ask again with the same key.
"""

import enum
from dataclasses import dataclass, field, replace

from cassiaford.verdict import Refusal, RefusalReason, Verdict, refuse

# A claim or outcome is kept at least this long after it was last written, as
# long as the clocks of the instances differ by less than CLOCK_SKEW_S.
RETENTION_S = 900.0
CLOCK_SKEW_S = 60.0
MAX_BODY_BYTES = 4096


class ClaimState(enum.Enum):
    """How far the work of a claim has come, as far as it is recorded."""

    RUNNING = "running"
    ENDED = "ended"


@dataclass(frozen=True)
class ClaimRecord:
    """One claim as it stands in a shard.

    `key` is a digest over customer and idempotency key. `written_at` is in
    seconds since the epoch. `body_kept` is false if the answer was too large
    to keep.
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
    """The right to run a request, once.

    `start_by` is in seconds on the monotonic clock of the claiming instance:
    the first byte may not leave later, since a process that was paused for
    longer than the retention could otherwise run what another has run.
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

    If `body_kept` is false, the answer was too large and only its status is
    known.
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
    """Return the record that releases a claim, which then counts as not run."""
    return replace(record, state=ClaimState.ENDED, verdict=Verdict.NOT_RUN)


def ended_record(
    claim: Claim,
    verdict: Verdict,
    status: int,
    content_type: str,
    body: bytes,
    wall: float,
) -> ClaimRecord:
    """Return the record of how the work of a claim ended."""
    keep = len(body) <= MAX_BODY_BYTES
    return replace(
        claim.record,
        state=ClaimState.ENDED,
        verdict=verdict,
        status=status,
        content_type=content_type,
        body=body if keep else b"",
        body_kept=keep,
        written_at=wall,
    )

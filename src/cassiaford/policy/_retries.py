"""Which failed attempts are made again, and how many in all."""

import enum
from dataclasses import dataclass

from cassiaford.verdict import Failure, Verdict

MAX_ATTEMPTS = 4

# Retries may be this share of the first tries, plus a floor that lets a quiet
# instance retry at all.
RETRY_SHARE = 0.1
RETRY_FLOOR_PER_S = 1.0
# As many as a backend server runs at once by default, so that a server's crash
# loses no request that may be repeated, also on an instance that just started.
CRASH_RESERVE = 32.0


_CRASH_FAILURES = frozenset(
    {
        Failure.RESET_BEFORE_RESPONSE,
        Failure.RESET_DURING_RESPONSE,
        Failure.TRUNCATED_RESPONSE,
    }
)


def indicates_crash(failure: Failure, resuming: bool, has_events: bool) -> bool:
    """Return whether a failed attempt looks like the crash of its server.

    A stream that has brought events is first resumed; only if its server is
    gone by then, or no longer knows the stream, did it crash.
    """
    if resuming:
        return failure in (Failure.CONNECT_FAILED, Failure.UNKNOWN_STREAM)
    return failure in _CRASH_FAILURES and not has_events


class RetryDecision(enum.Enum):
    """Whether an attempt is made again, or why not."""

    RETRY = "retry"
    MAY_HAVE_RUN = "may_have_run"
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    TOO_LATE = "too_late"
    BUDGET_USED_UP = "budget_used_up"


@dataclass(frozen=True)
class FailedRequest:
    """A request after a failed attempt.

    `verdict` combines all attempts so far; `give_up_at` is the time after
    which no attempt is made any more.
    """

    verdict: Verdict
    repeatable: bool
    attempts: int
    deadline: float


class RetryBudget:
    """Allows retries as a share of recent first tries, plus a small floor.

    A reserve, there from the start, covers the requests that a crashed server
    was running. In the long run failures add at most that share to the load,
    however many there are: a retry storm needs retries that grow with
    failures. The idea is that of the retry budgets in Finagle.

    Examples
    --------
    >>> budget = RetryBudget(now=0.0)
    >>> budget.available
    32.0
    """

    def __init__(
        self,
        now: float,
        share: float = RETRY_SHARE,
        floor_per_s: float = RETRY_FLOOR_PER_S,
        reserve: float = CRASH_RESERVE,
    ):
        self.share = share
        self.floor_per_s = floor_per_s
        self.capacity = reserve
        self.available = reserve
        self.updated_at = now

    def record_first_attempt(self, now: float) -> None:
        """Take note that a request was sent for the first time."""
        self._refill(now)
        self.available = min(self.capacity, self.available + self.share)

    def decide(self, request: FailedRequest, now: float) -> RetryDecision:
        """Decide on one more attempt; a retry is taken from the budget."""
        if not request.verdict.may_retry(request.repeatable):
            return RetryDecision.MAY_HAVE_RUN
        if request.attempts >= MAX_ATTEMPTS:
            return RetryDecision.TOO_MANY_ATTEMPTS
        if now >= request.deadline:
            return RetryDecision.TOO_LATE
        self._refill(now)
        if self.available < 1.0:
            return RetryDecision.BUDGET_USED_UP
        self.available -= 1.0
        return RetryDecision.RETRY

    def _refill(self, now):
        earned = max(0.0, now - self.updated_at) * self.floor_per_s
        self.available = min(self.capacity, self.available + earned)
        self.updated_at = max(now, self.updated_at)

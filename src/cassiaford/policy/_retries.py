"""The decision whether to repeat a failed attempt, and the retry budget."""

import enum
from dataclasses import dataclass

from cassiaford.verdict import Failure, Verdict

MAX_ATTEMPTS = 4

# Retries may be this fraction of the first attempts, plus a rate that allows
# retries on an instance with little traffic.
RETRY_FRACTION = 0.1
RETRY_FLOOR_PER_S = 1.0
# The default number of slots of a backend server. With it, a server's crash loses
# no request that may be repeated, even on an instance that has just started.
CRASH_RESERVE_RETRIES = 32.0


_CRASH_FAILURES = frozenset(
    {
        Failure.RESET_BEFORE_RESPONSE,
        Failure.RESET_DURING_RESPONSE,
        Failure.TRUNCATED_RESPONSE,
    }
)


def indicates_crash(failure: Failure, resuming: bool, has_events: bool) -> bool:
    """Return whether a failed attempt indicates that its server crashed.

    A stream that has delivered events is resumed first. The server has crashed
    if it is then unreachable or no longer knows the stream.
    """
    if resuming:
        return failure in (Failure.CONNECT_FAILED, Failure.UNKNOWN_STREAM)
    return failure in _CRASH_FAILURES and not has_events


class RetryDecision(enum.Enum):
    """Whether to make another attempt, or why not."""

    RETRY = "retry"
    MAY_HAVE_RUN = "may_have_run"
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    TOO_LATE = "too_late"
    BUDGET_USED_UP = "budget_used_up"


@dataclass(frozen=True)
class FailedRequest:
    """A request after a failed attempt.

    `verdict` combines all attempts so far; no further attempt is made after
    `deadline`.
    """

    verdict: Verdict
    repeatable: bool
    attempts: int
    deadline: float


class RetryBudget:
    """Allows retries as a fraction of recent first attempts, plus a small rate.

    A reserve, available from the start, covers the requests that a crashed
    server was running. In the long run, retries add at most that fraction to
    the load, however many attempts fail; this prevents retry storms. The design
    follows the retry budgets of Finagle.

    Examples
    --------
    >>> budget = RetryBudget(now=0.0)
    >>> budget.available
    32.0
    """

    def __init__(
        self,
        now: float,
        fraction: float = RETRY_FRACTION,
        floor_per_s: float = RETRY_FLOOR_PER_S,
        reserve: float = CRASH_RESERVE_RETRIES,
    ):
        self.fraction = fraction
        self.floor_per_s = floor_per_s
        self.capacity = reserve
        self.available = reserve
        self.updated_at = now

    def record_first_attempt(self, now: float) -> None:
        """Record that a request was sent for the first time."""
        self._refill(now)
        self.available = min(self.capacity, self.available + self.fraction)

    def decide(self, request: FailedRequest, now: float) -> RetryDecision:
        """Decide on another attempt; a retry uses up one unit of the budget."""
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

"""The limit on how often requests are sent to another backend server."""

import collections

# Fraction of its part that an instance uses, since traffic is uneven.
SAFETY_FACTOR = 0.8


class RetryBudget:
    """Limits a service's retries to a fraction of its recent requests.

    The fleet may retry `ratio` times the requests of a window, and `slack`
    more. An instance takes the part for its own requests and, from `slack_from`
    on, an even part of the slack. An instance that has restarted does not know
    what it spent before, so it must not use the slack for a whole window.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.0, slack=5.0, window_s=10.0)
    >>> [budget.take(0.0, instances=2) for _ in range(3)]
    [True, True, False]
    """

    def __init__(
        self, ratio: float, slack: float, window_s: float, slack_from: float = 0.0
    ):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.slack_from = slack_from
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def set_limits(self, ratio: float, slack: float, window_s: float) -> None:
        """Change the limits; what was spent stays spent."""
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s

    def record_request(self, now: float) -> None:
        """Record a request for the service."""
        self._expire(now)
        self.requests.append(now)

    def remaining(self, now: float, instances: int | None) -> float:
        """Return how many more retries are within the budget.

        There is no part of the slack in a fleet of unknown size.
        """
        self._expire(now)
        earned = self.ratio * len(self.requests)
        if instances is not None and now >= self.slack_from:
            earned += self.slack / max(1, instances)
        return SAFETY_FACTOR * earned - len(self.retries)

    def allows(self, now: float, instances: int | None) -> bool:
        """Return whether one more retry is within the budget."""
        return self.remaining(now, instances) >= 1

    def take(self, now: float, instances: int | None) -> bool:
        """Take one retry from the budget; return whether there was one."""
        allowed = self.allows(now, instances)
        if allowed:
            self.retries.append(now)
        return allowed

    def _expire(self, now):
        for times in (self.requests, self.retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()

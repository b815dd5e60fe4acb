"""How often requests may be sent to one more backend server."""

import collections

# An instance uses this part of its share, since instances see uneven traffic.
CAUTION = 0.8


class RetryBudget:
    """Allows resends as a share of recent requests, for one service.

    The fleet may resend `ratio` times the requests of a window, and `slack`
    more. An instance takes its own requests' share, and an even part of the
    slack.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.0, slack=5.0, window_s=10.0)
    >>> [budget.take(0.0, instances=2) for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, ratio: float, slack: float, window_s: float):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.requests: collections.deque[float] = collections.deque()
        self.resends: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Take note of a request for the service."""
        self._expire(now)
        self.requests.append(now)

    def left(self, now: float, instances: int) -> float:
        """Return how many more resends are within the budget."""
        self._expire(now)
        earned = self.ratio * len(self.requests) + self.slack / max(1, instances)
        return CAUTION * earned - len(self.resends)

    def allows(self, now: float, instances: int) -> bool:
        """Return whether one more resend is within the budget."""
        return self.left(now, instances) >= 1

    def take(self, now: float, instances: int) -> bool:
        """Take one resend from the budget; return whether there was one."""
        allowed = self.allows(now, instances)
        if allowed:
            self.resends.append(now)
        return allowed

    def _expire(self, now):
        for times in (self.requests, self.resends):
            while times and times[0] <= now - self.window_s:
                times.popleft()

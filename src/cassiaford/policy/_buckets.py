"""A token bucket.

Over any span T it releases at most its level at the start plus rate * T
tokens. Buckets whose rates and capacities add up to a customer's rate and
burst therefore enforce that customer's limits together.
"""


class Bucket:
    """Tokens that accrue at a rate up to a capacity.

    Times are in seconds on a monotonic clock, `rate` in tokens a second,
    `capacity` and `level` in tokens. A level below zero is a debt.

    Examples
    --------
    >>> bucket = Bucket(rate=10.0, capacity=5.0, level=0.0, now=0.0)
    >>> bucket.take(5, now=0.4), bucket.take(5, now=0.5)
    (False, True)
    """

    def __init__(self, rate: float, capacity: float, level: float, now: float):
        self.rate = rate
        self.capacity = capacity
        self.level = level
        self.updated_at = now

    def advance(self, now: float) -> None:
        """Add the tokens that accrued since the last call."""
        elapsed = max(0.0, now - self.updated_at)
        self.level = min(self.capacity, self.level + self.rate * elapsed)
        self.updated_at = max(now, self.updated_at)

    def take(self, tokens: float, now: float) -> bool:
        """Take tokens if the bucket has enough; return whether it had."""
        self.advance(now)
        if tokens > self.level:
            return False
        self.level -= tokens
        return True

    def give(self, tokens: float, now: float) -> None:
        """Add tokens that were not used, or subtract them if negative."""
        self.advance(now)
        self.level = min(self.capacity, self.level + tokens)

    def resize(self, rate: float, capacity: float, now: float) -> None:
        """Change rate and capacity; discard tokens above the capacity."""
        self.advance(now)
        self.rate = rate
        self.capacity = capacity
        self.level = min(capacity, self.level)

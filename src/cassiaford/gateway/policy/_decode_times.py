"""The time that responses take after their first token, by route."""

# Weight of the newest response in a route's average.
NEWEST_WEIGHT = 0.1
# Assumed until a route has completed a response: some dozen tokens.
INITIAL_DECODE_S = 0.3


class DecodeTimes:
    """A moving average of the decode time of each route's responses.

    Requests state a maximum of output tokens that is many times what they get,
    so it cannot be used instead.

    Examples
    --------
    >>> times = DecodeTimes()
    >>> times.record("tag", 0.04)
    >>> times.expected_s("tag")
    0.04
    """

    def __init__(self):
        self.seconds: dict[str, float] = {}

    def record(self, route: str, seconds: float) -> None:
        """Record the time from a response's first token to its end."""
        average = self.seconds.setdefault(route, seconds)
        self.seconds[route] = average + NEWEST_WEIGHT * (seconds - average)

    def expected_s(self, route: str) -> float:
        """Return the decode time that a route's next response is expected to take."""
        return self.seconds.get(route, INITIAL_DECODE_S)

"""How long answers go on after their first token, by route."""

# How far one answer changes what is expected of the next.
LEARNING_RATE = 0.1
# Until a route has ended an answer: some dozen tokens.
UNKNOWN_RUN_S = 0.3


class RunTimes:
    """Learns how long the answers of each route run.

    Requests state the most tokens that they may get, which is many times what
    they do get.

    Examples
    --------
    >>> times = RunTimes()
    >>> times.ended("tag", 0.04)
    >>> times.expected("tag")
    0.04
    """

    def __init__(self):
        self.seconds: dict[str, float] = {}

    def ended(self, route: str, seconds: float) -> None:
        """Take note of the time from an answer's first token to its end."""
        known = self.seconds.setdefault(route, seconds)
        self.seconds[route] = known + LEARNING_RATE * (seconds - known)

    def expected(self, route: str) -> float:
        """Return the seconds that an answer is likely to go on."""
        return self.seconds.get(route, UNKNOWN_RUN_S)

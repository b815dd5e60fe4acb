"""Which requests a stopping instance still sends to backend servers."""

import math

from cassiaford.gateway.policy._decode_times import DecodeTimes

# A run may take this many times the average of its route.
RUN_TIME_FACTOR = 2.0


class StopSchedule:
    """The end of an instance, and the times that runs take at their servers.

    A request that cannot be expected to end before the instance does is better
    refused while it has not run, since its caller then sends it to another one.

    Examples
    --------
    >>> schedule = StopSchedule()
    >>> schedule.record_run("book", 0.5)
    >>> schedule.can_finish("book", deadline=30.0, first_token_s=0.0, now=10.0)
    True
    >>> schedule.ends_at = 10.8
    >>> schedule.can_finish("book", deadline=30.0, first_token_s=0.0, now=10.0)
    False
    """

    def __init__(self):
        self.ends_at = math.inf
        self.run_times = DecodeTimes()

    def record_run(self, route: str, seconds: float) -> None:
        """Record the time from a request's sending to the end of its response."""
        self.run_times.record(route, seconds)

    def can_finish(
        self, route: str, deadline: float, first_token_s: float, now: float
    ) -> bool:
        """Return whether a request that is sent now ends in time.

        It is answered by its `deadline` in any case.
        """
        run_s = max(self.run_times.expected_s(route), first_token_s)
        return min(deadline, now + RUN_TIME_FACTOR * run_s) <= self.ends_at

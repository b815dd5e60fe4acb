"""Events in virtual time, for tests with a simulated load."""

import heapq
import itertools


class EventReplay:
    """Runs events in the order of their times."""

    def __init__(self):
        self.events = []
        self.count = itertools.count()

    def at(self, time, callback, *arguments):
        """Schedule a call of a method with the time and these arguments."""
        heapq.heappush(self.events, (time, next(self.count), callback, arguments))

    def run(self):
        """Run until no events are left."""
        while self.events:
            now, _, callback, arguments = heapq.heappop(self.events)
            callback(now, *arguments)

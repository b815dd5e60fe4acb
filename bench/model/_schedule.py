"""Scheduler of callbacks in virtual time."""

import heapq
import itertools
from collections.abc import Callable


class Schedule:
    """Runs callbacks at virtual times, in seconds; ties run in scheduling order."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._insertion_order = itertools.count()

    def at(self, time: float, callback: Callable[..., None], *arguments) -> None:
        """Schedule a callback at a time, or immediately if the time is past."""
        entry = (max(time, self.now), next(self._insertion_order), callback, arguments)
        heapq.heappush(self._heap, entry)

    def after(self, delay: float, callback: Callable[..., None], *arguments) -> None:
        """Schedule a callback after a delay."""
        self.at(self.now + delay, callback, *arguments)

    def run(self, until: float) -> None:
        """Run all callbacks that are due by a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback, arguments = heapq.heappop(self._heap)
            callback(*arguments)
        self.now = until

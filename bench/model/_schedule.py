"""Virtual time: callbacks in the order of their times."""

import heapq
import itertools
from collections.abc import Callable


class Schedule:
    """Runs callbacks at virtual times, in seconds; equal times keep their order."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._counter = itertools.count()

    def at(self, time: float, callback: Callable[..., None], *arguments) -> None:
        """Have a callback run at a time, at once if that is past."""
        entry = (max(time, self.now), next(self._counter), callback, arguments)
        heapq.heappush(self._heap, entry)

    def after(self, delay: float, callback: Callable[..., None], *arguments) -> None:
        """Have a callback run after a delay."""
        self.at(self.now + delay, callback, *arguments)

    def run(self, until: float) -> None:
        """Run everything that is due up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback, arguments = heapq.heappop(self._heap)
            callback(*arguments)
        self.now = until

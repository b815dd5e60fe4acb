"""Clocks that tell when the machine was suspended."""

import time

# A machine whose clock that counts suspensions is ahead by this was suspended.
SUSPENDED_S = 0.3


def suspended_time() -> float:
    """Return a steady time that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SuspensionWatch:
    """Notices that the machine was suspended."""

    def __init__(self):
        self.before = self._suspension()

    def elapsed_suspension_s(self) -> float:
        """Return for how long the machine was suspended since the last call."""
        suspension = self._suspension()
        away, self.before = suspension - self.before, suspension
        return away if away > SUSPENDED_S else 0.0

    @staticmethod
    def _suspension():
        return suspended_time() - time.monotonic()

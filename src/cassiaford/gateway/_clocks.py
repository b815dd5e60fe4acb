"""Clocks that detect when the machine was suspended."""

import time

# A smaller gain of the boot clock on the monotonic clock is not a suspension.
MIN_SUSPENSION_S = 0.3
# Two clocks that were read within this time were read at the same time.
MAX_READING_S = 0.001


def boot_time() -> float:
    """Return a monotonic time that also runs while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def suspended_s() -> float:
    """Return for how long the machine was suspended since its start."""
    while True:
        started_at = time.monotonic()
        total_s = boot_time()
        ended_at = time.monotonic()
        # A process that stood still between the clocks would count that too.
        if ended_at - started_at < MAX_READING_S:
            return total_s - ended_at


class SuspensionWatch:
    """Detects that the machine was suspended."""

    def __init__(self):
        self.previous_s = suspended_s()

    def elapsed_suspension_s(self) -> float:
        """Return for how long the machine was suspended since the last call."""
        total_s = suspended_s()
        elapsed_s, self.previous_s = total_s - self.previous_s, total_s
        return elapsed_s if elapsed_s > MIN_SUSPENSION_S else 0.0

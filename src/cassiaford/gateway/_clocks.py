"""Clocks that detect when the machine was suspended."""

import time

# A smaller gain of the boot clock on the monotonic clock is not a suspension.
MIN_SUSPENSION_S = 0.3


def boot_time() -> float:
    """Return a monotonic time that also runs while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def suspended_s() -> float:
    """Return for how long the machine was suspended since its start."""
    return boot_time() - time.monotonic()


class SuspensionWatch:
    """Detects that the machine was suspended."""

    def __init__(self):
        self.previous_s = suspended_s()

    def elapsed_suspension_s(self) -> float:
        """Return for how long the machine was suspended since the last call."""
        total_s = suspended_s()
        elapsed_s, self.previous_s = total_s - self.previous_s, total_s
        return elapsed_s if elapsed_s > MIN_SUSPENSION_S else 0.0

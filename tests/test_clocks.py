"""Tests of the clocks that count suspensions of the machine."""

import unittest
from unittest import mock

from cassiaford.gateway import _clocks


class SuspendedTest(unittest.TestCase):
    def test_a_process_that_stands_still_between_two_clocks_counts_nothing(self):
        for readings in ((10.0, 16.0), (10.0, 10.0, 16.0)):
            clocks = Clocks(readings)
            with (
                mock.patch("time.monotonic", clocks.monotonic),
                mock.patch("time.clock_gettime", clocks.boot),
            ):
                self.assertAlmostEqual(_clocks.suspended_s(), 100.0, places=2)


class Clocks:
    """A clock since the start of a machine that was suspended for 100 s.

    `readings` are the times of the first readings of any clock; the others are of
    one moment.
    """

    def __init__(self, readings):
        self.readings = list(readings)
        self.now = 0.0

    def monotonic(self):
        """Return the time without suspensions."""
        if self.readings:
            self.now = self.readings.pop(0)
        return self.now

    def boot(self, clock):
        """Return the time with suspensions."""
        return self.monotonic() + 100.0


if __name__ == "__main__":
    unittest.main()

"""Tests of bounds of the membership's cost, in figures that are deterministic."""

import unittest

from bench.membership import MAX_BYTES_PER_S, measure
from cassiaford.fleet._peers import MAX_DATAGRAM_BYTES


class MembershipCostTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.small, cls.large = measure(7, seed=1), measure(70, seed=1)

    def test_an_instance_stays_within_its_budget(self):
        for cost in (self.small, self.large):
            both_ways = cost.bytes_sent_per_s + cost.bytes_received_per_s
            self.assertLess(both_ways, MAX_BYTES_PER_S / 2)
            self.assertLess(cost.herd_restart_bytes_sent_per_s, MAX_BYTES_PER_S)
            self.assertLessEqual(cost.largest_datagram_bytes, MAX_DATAGRAM_BYTES)

    def test_the_cost_hardly_grows_with_the_fleet(self):
        self.assertLessEqual(
            self.large.messages_sent_per_s, self.small.messages_sent_per_s * 1.1
        )
        self.assertLessEqual(
            self.large.bytes_sent_per_s, self.small.bytes_sent_per_s * 1.5
        )

    def test_nobody_is_declared_dead_without_a_fault(self):
        self.assertEqual(self.small.false_deaths + self.large.false_deaths, 0)


if __name__ == "__main__":
    unittest.main()

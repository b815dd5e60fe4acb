"""Tests that placement stays within the goals of its benchmark.

The simulations run in virtual time with fixed seeds, so results are reproducible.
"""

import unittest
from functools import cache
from statistics import median

from bench.placement_cases import ENGINE_CRASH, ORACLE, OURS, STEADY, Case, run_case
from bench.placement_report import (
    FIRST_TOKEN_GOAL,
    HIT_RATE_GOAL,
    WORST_CUSTOMER_GOAL,
)

SEEDS = (1, 2, 3)


@cache
def steady_state_pairs(workload, scenario):
    """Return the steady-state figures of the policy and of the oracle, by seed."""
    return [
        [
            run_case(Case(policy, workload, scenario, seed)).steady_state
            for policy in (OURS, ORACLE)
        ]
        for seed in SEEDS
    ]


class PlacementBoundsTest(unittest.TestCase):
    def check_cache_use(self, workload, scenario):
        results = steady_state_pairs(workload, scenario)
        hit_ratio = median(ours.hit_rate / oracle.hit_rate for ours, oracle in results)
        self.assertGreaterEqual(hit_ratio, HIT_RATE_GOAL)
        for ours, oracle in results:
            self.assertGreaterEqual(ours.worst_customer, WORST_CUSTOMER_GOAL)
            self.assertEqual(ours.refused + ours.unanswered, 0)
            allowed = (1 - HIT_RATE_GOAL) * oracle.prompt_tokens / oracle.requests
            self.assertLessEqual(ours.wasted_tokens, oracle.wasted_tokens + allowed)

    def check_first_token_times(self, workload, scenario):
        ratios = [
            ours.first_token_p99_s / oracle.first_token_p99_s
            for ours, oracle in steady_state_pairs(workload, scenario)
        ]
        self.assertLessEqual(median(ratios), FIRST_TOKEN_GOAL)

    def test_academy_steady(self):
        self.check_cache_use("academy", STEADY)

    def test_academy_steady_first_tokens(self):
        self.check_first_token_times("academy", STEADY)

    def test_authority_steady(self):
        self.check_cache_use("authority", STEADY)
        self.check_first_token_times("authority", STEADY)

    def test_authority_after_an_engine_crash(self):
        self.check_cache_use("authority", ENGINE_CRASH)
        self.check_first_token_times("authority", ENGINE_CRASH)

    def test_same_seed_gives_the_same_figures(self):
        case = Case(OURS, "authority", STEADY, SEEDS[0])
        self.assertEqual(run_case(case), run_case(case))


if __name__ == "__main__":
    unittest.main()

"""Regression bounds of placement, from the goals of the bench.

The runs are in virtual time with fixed seeds, so they are the same everywhere.
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
def pairs(workload, scenario):
    """Return the steady-state figures of the policy and of the oracle, by seed."""
    return [
        [
            run_case(Case(policy, workload, scenario, seed)).steady_state
            for policy in (OURS, ORACLE)
        ]
        for seed in SEEDS
    ]


class PlacementBoundsTest(unittest.TestCase):
    def check_caches(self, workload, scenario):
        found = pairs(workload, scenario)
        hits = median(ours.hit_rate / oracle.hit_rate for ours, oracle in found)
        self.assertGreaterEqual(hits, HIT_RATE_GOAL)
        for ours, oracle in found:
            self.assertGreaterEqual(ours.worst_customer, WORST_CUSTOMER_GOAL)
            self.assertEqual(ours.refused + ours.unanswered, 0)
            allowed = (1 - HIT_RATE_GOAL) * oracle.prompt_tokens / oracle.requests
            self.assertLessEqual(ours.wasted_tokens, oracle.wasted_tokens + allowed)

    def check_first_tokens(self, workload, scenario):
        ratios = [
            ours.first_token_p99_s / oracle.first_token_p99_s
            for ours, oracle in pairs(workload, scenario)
        ]
        self.assertLessEqual(median(ratios), FIRST_TOKEN_GOAL)

    def test_academy_steady(self):
        self.check_caches("academy", STEADY)

    def test_academy_steady_first_tokens(self):
        self.check_first_tokens("academy", STEADY)

    def test_authority_steady(self):
        self.check_caches("authority", STEADY)
        self.check_first_tokens("authority", STEADY)

    def test_authority_after_an_engine_crash(self):
        self.check_caches("authority", ENGINE_CRASH)
        self.check_first_tokens("authority", ENGINE_CRASH)

    def test_same_seed_gives_the_same_figures(self):
        case = Case(OURS, "authority", STEADY, SEEDS[0])
        self.assertEqual(run_case(case), run_case(case))


if __name__ == "__main__":
    unittest.main()

"""Comparison of placement policies: ratios to the oracle, goals, tables."""

import statistics
from collections.abc import Sequence
from dataclasses import asdict, dataclass, fields

from bench.placement_cases import (
    ORACLE,
    OURS,
    SCENARIOS,
    Case,
    CaseResult,
    Figures,
)
from bench.workloads import WORKLOADS

HIT_RATE_GOAL = 0.95
FIRST_TOKEN_GOAL = 1.25
WORST_CUSTOMER_GOAL = 0.9


@dataclass(frozen=True)
class Spread:
    """The minimum, median and maximum of some values."""

    least: float
    median: float
    greatest: float

    def __str__(self):
        return f"{self.median:.3f} ({self.least:.3f} to {self.greatest:.3f})"


def spread(values: Sequence[float]) -> Spread:
    """Return the spread of values."""
    return Spread(min(values), statistics.median(values), max(values))


class Comparison:
    """The results of all cases, with statistics and ratios over the seeds."""

    def __init__(self, results: Sequence[CaseResult]):
        self.results = {result.case: result for result in results}
        self.seeds = sorted({result.case.seed for result in results})

    def steady_figures(
        self, policy: str, workload: str, scenario: str
    ) -> list[Figures]:
        """Return the figures of the steady state for each seed."""
        return [
            self.results[Case(policy, workload, scenario, seed)].steady_state
            for seed in self.seeds
        ]

    def values(self, name: str, policy: str, workload: str, scenario: str) -> Spread:
        """Return the spread of a figure over the seeds."""
        figures = self.steady_figures(policy, workload, scenario)
        return spread([getattr(item, name) for item in figures])

    def ratio(
        self, name: str, policy: str, base: str, workload: str, scenario: str
    ) -> Spread:
        """Return the spread of a figure's ratio to that of policy `base`, by seed."""
        pairs = zip(
            self.steady_figures(policy, workload, scenario),
            self.steady_figures(base, workload, scenario),
            strict=True,
        )
        return spread(
            [
                getattr(own, name) / max(1e-9, getattr(other, name))
                for own, other in pairs
            ]
        )

    def rows(self) -> list[dict[str, object]]:
        """Return one row for each policy, workload and scenario."""
        groups = dict.fromkeys(
            (case.workload, case.scenario, case.policy) for case in self.results
        )
        return [self._row(*group) for group in groups]

    def _row(self, workload, scenario, policy):
        group = (policy, workload, scenario)
        row = {"workload": workload, "scenario": scenario, "policy": policy}
        for field in fields(Figures):
            row[field.name] = asdict(self.values(field.name, *group))
        for name in ("hit_rate", "first_token_p99_s"):
            ratio = self.ratio(name, policy, ORACLE, workload, scenario)
            row[f"{name}_to_oracle"] = asdict(ratio)
        refused = [
            self.results[Case(*group, seed)].fault.refused for seed in self.seeds
        ]
        row["refused_in_fault"] = asdict(spread(refused))
        return row


@dataclass(frozen=True)
class Goal:
    """A goal with the value reached and whether it is met."""

    workload: str
    scenario: str
    name: str
    bound: str
    reached: Spread
    met: bool


def goals(comparison: Comparison) -> list[Goal]:
    """Return the goals for cassiaford's policy, compared with its medians."""
    evaluated_goals = []
    for workload in WORKLOADS:
        for scenario in SCENARIOS:
            evaluated_goals.extend(_goals_of(comparison, workload.name, scenario))
    return evaluated_goals


def _goals_of(comparison, workload, scenario):
    group = (workload, scenario)
    hits = comparison.ratio("hit_rate", OURS, ORACLE, *group)
    tail = comparison.ratio("first_token_p99_s", OURS, ORACLE, *group)
    worst = comparison.values("worst_customer", OURS, *group)
    refused = comparison.values("refused", OURS, *group)
    hits_met = hits.median >= HIT_RATE_GOAL
    tail_met = tail.median <= FIRST_TOKEN_GOAL
    worst_met = worst.median >= WORST_CUSTOMER_GOAL
    return [
        Goal(*group, "hit rate / oracle", f">= {HIT_RATE_GOAL}", hits, hits_met),
        Goal(*group, "TTFT p99 / oracle", f"<= {FIRST_TOKEN_GOAL}", tail, tail_met),
        Goal(*group, "worst / mean", f">= {WORST_CUSTOMER_GOAL}", worst, worst_met),
        Goal(*group, "refusals", "0", refused, refused.greatest == 0),
    ]


def print_table(comparison: Comparison) -> None:
    """Print the median of each figure, with ratios to the oracle."""
    print(
        f"{'workload':10}{'scenario':14}{'policy':16}{'hit rate':>9}{'/oracle':>8}"
        f"{'wasted':>8}{'p50 s':>8}{'p99 s':>8}{'/oracle':>8}{'worst':>7}{'refused':>8}"
        f"{'unanswered':>11}"
    )
    for row in comparison.rows():
        print(_format_row(row))


def print_goals(evaluated_goals: Sequence[Goal]) -> None:
    """Print each goal with the median and range reached over the seeds."""
    for goal in evaluated_goals:
        verdict = "met" if goal.met else "MISSED"
        print(
            f"{goal.workload:10}{goal.scenario:14}{goal.name:20}{goal.bound:>8}"
            f"  {goal.reached}  {verdict}"
        )


def _format_row(row):
    def median(name):
        return row[name]["median"]

    return (
        f"{row['workload']:10}{row['scenario']:14}{row['policy']:16}"
        f"{median('hit_rate'):9.3f}{median('hit_rate_to_oracle'):8.3f}"
        f"{median('wasted_tokens'):8.0f}{median('first_token_p50_s'):8.3f}"
        f"{median('first_token_p99_s'):8.3f}"
        f"{median('first_token_p99_s_to_oracle'):8.2f}"
        f"{median('worst_customer'):7.2f}{median('refused'):8.0f}"
        f"{median('unanswered'):11.0f}"
    )

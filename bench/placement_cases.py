"""Runs of placement policies on workloads, with and without faults.

Each policy gets the same requests. A fault occurs at 60 s; figures are taken over
the 10 s after it and over the time from then on. Without a fault, the steady state
is taken from 30 s on.
"""

import random
import statistics
from collections import defaultdict
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from bench.baselines import (
    ConsistentHashPlacement,
    LeastLoadPlacement,
    OraclePlacement,
    RandomPlacement,
    RoundRobinPlacement,
)
from bench.model import EngineParameters, Fleet, FleetParameters, RequestRecord
from bench.workloads import WORKLOADS, Workload
from cassiaford.policy import PlacementPolicy, create_placement

STEADY_FROM_S = 30.0
FAULT_AT_S = 60.0
RECOVERY_S = 10.0
END_S = 100.0
# The run goes on after the last arrival until its deadline has passed.
COMPLETION_S = 35.0
ENGINE_DOWN_S = 3.0
STEADY = "steady"
PREFIX_SHIFT = "prefix-shift"
ENGINE_CRASH = "engine-crash"
HERD_RESTART = "herd-restart"
SCENARIOS = (STEADY, PREFIX_SHIFT, ENGINE_CRASH, HERD_RESTART)
# The target time to the first token, by service class.
FIRST_TOKEN_TARGET_S = {"interactive": 0.6, "standard": 2.0, "batch": 10.0}
WORKERS = 4
# The weight with which the oracle has its best figures.
ORACLE_RECOMPUTE_WEIGHT = 1.5
# The histogram covers times to the first token of up to five minutes.
MAX_FIRST_TOKEN_US = 300_000_000
SIGNIFICANT_DIGITS = 3
OURS = "cassiaford"
ORACLE = "oracle"

POLICIES: dict[str, Callable[[Fleet], PlacementPolicy]] = {
    OURS: lambda fleet: create_placement(),
    ORACLE: lambda fleet: OraclePlacement(fleet, ORACLE_RECOMPUTE_WEIGHT),
    "consistent-hash": lambda fleet: ConsistentHashPlacement(),
    "least-load": lambda fleet: LeastLoadPlacement(),
    "round-robin": lambda fleet: RoundRobinPlacement(random.Random(fleet.rng.random())),
    "random": lambda fleet: RandomPlacement(),
}


@dataclass(frozen=True)
class Case:
    """A run of a policy on a workload in a scenario with a seed."""

    policy: str
    workload: str
    scenario: str
    seed: int


@dataclass(frozen=True)
class Figures:
    """Measurements of the requests that arrived in a span of time.

    `wasted_tokens` is the mean number of prompt tokens in a request that were
    computed again after an engine had computed them. `in_time` is the fraction of
    requests that got their first token within the target of their class.
    `worst_customer` is the lowest such fraction of any customer, divided by the
    mean of the customers' fractions.
    """

    requests: int
    prompt_tokens: int
    hit_rate: float
    wasted_tokens: float
    first_token_p50_s: float
    first_token_p99_s: float
    in_time: float
    worst_customer: float
    refused: int
    unanswered: int


@dataclass(frozen=True)
class CaseResult:
    """The figures of one run: in the 10 s after the fault and in the steady state."""

    case: Case
    fault: Figures
    steady_state: Figures


def run_case(case: Case) -> CaseResult:
    """Run one case and return its figures."""
    workload = next(item for item in WORKLOADS if item.name == case.workload)
    fleet = Fleet(
        workload.engines,
        workload.instances,
        EngineParameters(),
        FleetParameters(),
        POLICIES[case.policy],
        case.seed,
    )
    records = run_scenario(fleet, workload, case.scenario, case.seed)
    recovered_at = FAULT_AT_S + RECOVERY_S
    steady_from = STEADY_FROM_S if case.scenario == STEADY else recovered_at
    return CaseResult(
        case,
        figures(records, FAULT_AT_S, recovered_at),
        figures(records, steady_from, END_S),
    )


def run_scenario(
    fleet: Fleet, workload: Workload, scenario: str, seed: int
) -> list[RequestRecord]:
    """Run a workload with a scenario's fault and return all records."""
    shift_at = FAULT_AT_S if scenario == PREFIX_SHIFT else None
    if scenario == ENGINE_CRASH:
        name = next(iter(fleet.engines))
        fleet.schedule.at(FAULT_AT_S, fleet.crash_engine, name, ENGINE_DOWN_S)
    if scenario == HERD_RESTART:
        fleet.schedule.at(FAULT_AT_S, fleet.restart_instances)
    fleet.run(workload.arrivals(seed, END_S, shift_at), END_S + COMPLETION_S)
    return list(fleet.records.values())


def figures(records: Sequence[RequestRecord], start: float, end: float) -> Figures:
    """Return the figures of the requests that arrived in a span of time."""
    selected = [record for record in records if start <= record.arrival.time < end]
    times = HdrHistogram(1, MAX_FIRST_TOKEN_US, SIGNIFICANT_DIGITS)
    for record in selected:
        if record.first_token_at is not None:
            times.record_value(max(1, int(_first_token_s(record) * 1e6)))
    prompt_tokens = sum(record.prompt_tokens for record in selected)
    cached_tokens = sum(record.cached_tokens for record in selected)
    refused = sum(record.refused for record in selected)
    return Figures(
        requests=len(selected),
        prompt_tokens=prompt_tokens,
        hit_rate=cached_tokens / max(1, prompt_tokens),
        wasted_tokens=sum(record.wasted_tokens for record in selected)
        / max(1, len(selected)),
        first_token_p50_s=times.get_value_at_percentile(50) / 1e6,
        first_token_p99_s=times.get_value_at_percentile(99) / 1e6,
        in_time=sum(map(_is_in_time, selected)) / max(1, len(selected)),
        worst_customer=_worst_customer(selected),
        refused=refused,
        unanswered=sum(record.first_token_at is None for record in selected) - refused,
    )


def _first_token_s(record: RequestRecord) -> float:
    return record.first_token_at - record.arrival.time


def _worst_customer(records: Sequence[RequestRecord]) -> float:
    in_time_by_customer = defaultdict(list)
    for record in records:
        in_time_by_customer[record.arrival.customer].append(_is_in_time(record))
    fractions = [statistics.mean(in_time) for in_time in in_time_by_customer.values()]
    mean = statistics.mean(fractions) if fractions else 0.0
    return min(fractions) / mean if mean else 0.0


def _is_in_time(record: RequestRecord) -> bool:
    target_s = FIRST_TOKEN_TARGET_S[record.arrival.service_class]
    return record.first_token_at is not None and _first_token_s(record) <= target_s


def run_cases(cases: Sequence[Case]) -> list[CaseResult]:
    """Run cases in several processes and return their results."""
    with ProcessPoolExecutor(WORKERS) as executor:
        return list(executor.map(run_case, cases))


def all_cases(seed: int, seeds: int) -> list[Case]:
    """Return every policy on every workload in every scenario."""
    return [
        Case(policy, workload.name, scenario, number)
        for workload in WORKLOADS
        for scenario in SCENARIOS
        for policy in POLICIES
        for number in range(seed, seed + seeds)
    ]

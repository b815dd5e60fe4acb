"""The demo's report: a table by request class, and the invariant checks.

The checks use only what callers received and what backend servers recorded.
"""

import collections
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from standins._demo_calls import CallKind, CallOutcome, CallResult
from standins._records import RunRecord

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
COLUMNS = (
    ("request class", 18),
    ("count", 6),
    ("completed", 10),
    ("refused not-run", 16),
    ("may-have-run", 13),
    ("first token p50/p99 ms", 23),
    ("prefix hits", 11),
)


@dataclass(frozen=True)
class Check:
    """The result of checking one invariant, with the counts behind it."""

    name: str
    held: bool
    detail: str


@dataclass(frozen=True)
class Evidence:
    """The input of the checks.

    `keys` are the callers' secret keys, `records` the run records of all backend
    servers, and `killed_address` is the address of the instance that was killed.
    """

    results: Sequence[CallResult]
    records: Sequence[RunRecord]
    keys: Sequence[str]
    killed_address: str
    stop_statuses: Sequence[int]


def format_table(results: Sequence[CallResult]) -> str:
    """Return the table: a header and one line for each request class."""
    lines = [_line([name for name, _ in COLUMNS])]
    for kind in CallKind:
        lines.append(_line(_cells(kind, [r for r in results if r.kind is kind])))
    return "\n".join(lines)


def run_checks(evidence: Evidence) -> list[Check]:
    """Check every invariant and return the results."""
    return [
        _check_responses(evidence),
        _check_truncated_streams(evidence),
        _check_bookings(evidence),
        _check_keys(evidence),
        _check_refusals(evidence),
        _check_stops(evidence),
        _check_progress(evidence),
    ]


def _check_responses(evidence):
    completed = _completed(evidence.results)
    wrong = sum(1 for result in completed if not result.correct)
    detail = f"{len(completed)} answers, {wrong} wrong"
    return Check("every answer is whole, in order and the right one", not wrong, detail)


def _check_truncated_streams(evidence):
    truncated = [a.address for a in _attempts(evidence.results) if a.truncated]
    by_others = [address for address in truncated if address != evidence.killed_address]
    detail = f"{len(truncated)} streams cut, {len(by_others)} by other instances"
    return Check("only the killed instance cut streams", not by_others, detail)


def _check_bookings(evidence):
    runs = collections.Counter(
        record.idempotency_key
        for record in evidence.records
        if record.started and record.path == "/bookings"
    )
    bookings = [r for r in evidence.results if r.kind is CallKind.BOOKING]
    doubled = sorted(key for key, count in runs.items() if count > 1)
    lost = [r for r in _completed(bookings) if runs[r.idempotency_key] != 1]
    held = not doubled and not lost
    detail = f"{len(bookings)} bookings, {len(doubled)} doubled, {len(lost)} lost"
    return Check("a booking runs at most once", held, detail)


def _check_keys(evidence):
    leaked = sum(
        1
        for record in evidence.records
        if any(key in value for key in evidence.keys for value in _texts(record))
    )
    detail = (
        f"{len(evidence.records)} requests seen by backend servers, {leaked} with it"
    )
    return Check("no backend server saw a caller's key", not leaked, detail)


def _check_refusals(evidence):
    started = {record.request_id for record in evidence.records if record.started}
    refusals = [a for a in _attempts(evidence.results) if a.verdict == "not_run"]
    wrong = sum(1 for attempt in refusals if attempt.request_id in started)
    detail = f"{len(refusals)} refusals, {wrong} wrong"
    return Check("a refusal that says not run is true", not wrong, detail)


def _check_stops(evidence):
    statuses = list(evidence.stop_statuses)
    held = bool(statuses) and not any(statuses)
    return Check("graceful stops end with status 0", held, f"statuses {statuses}")


def _check_progress(evidence):
    kinds = {result.kind for result in _completed(evidence.results)}
    missing = [kind.value for kind in CallKind if kind not in kinds]
    detail = f"without one: {', '.join(missing)}" if missing else "all classes"
    return Check("every request class completed some", not missing, detail)


def _attempts(results: Iterable[CallResult]):
    return [attempt for result in results for attempt in result.attempts]


def _completed(results):
    return [r for r in results if r.outcome is CallOutcome.COMPLETED]


def _texts(record):
    return (*record.headers.values(), record.path)


def _cells(kind, results):
    outcomes = collections.Counter(result.outcome for result in results)
    return [
        kind.value,
        str(len(results)),
        *(str(outcomes[outcome]) for outcome in CallOutcome),
        _latency(results),
        _hit_rate(results),
    ]


def _latency(results):
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for result in results:
        if result.first_token_s is not None:
            histogram.record_value(int(result.first_token_s * 1e6))
    p50, p99 = (histogram.get_value_at_percentile(p) / 1000 for p in (50, 99))
    return f"{p50:.1f} / {p99:.1f}"


def _hit_rate(results):
    attempts = _attempts(_completed(results))
    prompt_tokens = sum(attempt.prompt_tokens for attempt in attempts)
    if not prompt_tokens:
        return "-"
    cached_tokens = sum(attempt.cached_tokens for attempt in attempts)
    return f"{100 * cached_tokens / prompt_tokens:.0f}%"


def _line(cells):
    texts = [cells[0].ljust(COLUMNS[0][1])]
    for cell, (_, width) in zip(cells[1:], COLUMNS[1:], strict=True):
        texts.append(cell.rjust(width))
    return " ".join(texts).rstrip()

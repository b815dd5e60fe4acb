"""Measurement of all slopes, and the cost of each role that follows from them."""

from collections.abc import Callable

from bench import claims, configuration, membership, placement_cost, rates_slopes
from bench.capacity import _control
from bench.capacity._report import CapacityReport, MeasuredSlope, RoleCost
from bench.capacity._sizes import (
    CACHE_EVENTS_PER_S,
    CONFIGURATION_CHANGES_PER_S,
    CUSTOMERS,
    ENVELOPE_BYTES,
    INSTANCE_REQUESTS_PER_S,
    INSTANCES,
    IP_UDP_HEADER_BYTES,
)
from bench.slopes import Point, fit
from cassiaford.engines import create_engine_control
from cassiaford.engines._poller import MAX_POLLS_PER_S
from cassiaford.timeline._journal import DEFAULT_CAPACITY

MICROSECOND = 1e-6
MILLISECOND = 1e-3
PLACEMENT_SERVER_COUNTS = (10, 100, 380, 760)
PLACEMENT_PREFIX_COUNT = 2000
EVENTS_PER_REQUEST = 3
LOOKUPS_PER_REQUEST = 0.1
# The request for a loan and its grant.
MESSAGES_PER_LOAN = 2
CLAIMS_PER_S = 1000
# The request and the response of one load poll, with their HTTP headers.
BYTES_PER_POLL = 800
BYTES_PER_EVENT = 60


def measure(seed: int, report_progress: Callable[[str], None]) -> CapacityReport:
    """Measure all slopes and compute the cost of each role.

    `report_progress` receives the name of each part before it is measured.
    """
    parts = (
        _membership,
        _configuration,
        _keys,
        _rates,
        _claims,
        _placement,
        _engine_polls,
        _lookup,
        _journal_and_metrics,
    )
    lines, rows = [], []
    for part in parts:
        report_progress(part.__name__.strip("_"))
        new_lines, new_rows = part(seed)
        lines.extend(new_lines)
        rows.extend(new_rows)
    rows.append(_total_row(rows))
    return CapacityReport(tuple(lines), tuple(rows))


def _membership(seed):
    costs = [membership.measure(size, seed) for size in membership.SIZES]
    total_bytes_per_s = [c.bytes_sent_per_s + c.bytes_received_per_s for c in costs]
    lines = (
        _fit_slope(
            "membership, bytes a second both ways, by instances",
            "B/s",
            costs,
            lambda c: c.bytes_sent_per_s + c.bytes_received_per_s,
            "instances",
        ),
        _fit_slope(
            "membership, share of a core, by instances",
            "%",
            costs,
            lambda c: c.core_share * 100,
            "instances",
        ),
    )
    full = costs[-1]
    note = (
        f"all instances detect a failure after {full.detection_s:.0f} s; if all start"
        f" at once, they converge in {full.herd_restart_s:.0f} s at"
        f" {2 * full.herd_restart_bytes_sent_per_s / 1000:.1f} KB/s both ways"
    )
    return lines, [
        RoleCost(
            "heartbeats and membership",
            None,
            full.core_share,
            total_bytes_per_s[-1],
            None,
            None,
            note,
        )
    ]


def _configuration(seed):
    documents = [configuration.measure_document(n) for n in configuration.CUSTOMERS]
    spread = configuration.measure_spread(INSTANCES, 0.0, seed)
    memory = _fit_slope(
        "configuration in memory, by customers",
        "MB",
        documents,
        lambda d: d.memory_bytes / 1e6,
        "customers",
    )
    applying = _fit_slope(
        "putting a change in force, by customers",
        "ms",
        documents,
        lambda d: d.apply_ms,
        "customers",
    )
    core_fraction = (
        applying.slope.at(CUSTOMERS) * MILLISECOND * CONFIGURATION_CHANGES_PER_S
    )
    notice_bytes = (
        spread.notices_per_instance * 2 * (ENVELOPE_BYTES + IP_UDP_HEADER_BYTES)
    )
    # Each change ends all watches and costs each instance one read. The rest are
    # watches that expire, which the fleet limits to 50 a second.
    reads = 2 * INSTANCES * CONFIGURATION_CHANGES_PER_S + 50
    note = (
        f"slowest instance {spread.slowest_s:.1f} s after the write (goal 5 s),"
        f" through peers alone"
    )
    row = RoleCost(
        "configuration spread, watches",
        memory.slope.at(CUSTOMERS) * 1e6,
        core_fraction,
        notice_bytes * CONFIGURATION_CHANGES_PER_S,
        CONFIGURATION_CHANGES_PER_S,
        reads,
        note,
    )
    return (memory, applying), [row]


def _keys(seed):
    slope = _control.measure_key_check_us()
    core_fraction = slope.at(CUSTOMERS) * MICROSECOND * INSTANCE_REQUESTS_PER_S
    line = MeasuredSlope("key check, by customers", "us", slope)
    return (line,), [
        RoleCost(
            "key checks",
            None,
            core_fraction,
            None,
            None,
            None,
            "one digest for any number of customers",
        )
    ]


def _rates(seed):
    costs = [rates_slopes.measure(*size) for size in rates_slopes.SIZES]
    state = _fit_slope(
        "rate shares in memory, by customers",
        "MB",
        costs,
        lambda c: c.state_bytes / 1e6,
        "customers",
    )
    adopting = _fit_slope(
        "taking in a new ledger, by customers",
        "ms",
        costs,
        lambda c: c.adopt_ms,
        "customers",
    )
    full = costs[-1]
    loan = full.ask_bytes + full.grant_bytes
    bytes_per_loan = loan + MESSAGES_PER_LOAN * (ENVELOPE_BYTES + IP_UDP_HEADER_BYTES)
    without_loans = RoleCost(
        "rate shares, callers steered to the owners",
        full.state_bytes,
        full.tick_ms * MILLISECOND * 20,
        0.0,
        None,
        None,
        "no loan if the lookup names an owner of the customer's share",
    )
    with_loans = RoleCost(
        "rate shares, every request on a loan",
        full.state_bytes,
        full.tick_ms * MILLISECOND * 20,
        2 * INSTANCE_REQUESTS_PER_S * bytes_per_loan,
        None,
        None,
        "worst case: no caller is connected to an owner; does not fit",
    )
    return (state, adopting), [without_loans, with_loans]


def _claims(seed):
    results = [r for r in claims.run(seed) if r.way.startswith("forwarded, 50")]
    points = [Point(r.claims_per_s, r.writes_per_s) for r in results]
    rows = []
    if len(points) >= 3:
        line = MeasuredSlope(
            "writes for claims, by claims a second", "writes/s", fit(points)
        )
    else:
        line = None
    last = max(results, key=lambda r: r.claims_per_s)
    rows.append(
        RoleCost(
            f"claims at {last.claims_per_s:g} a second in the fleet",
            None,
            None,
            None,
            last.writes_per_s,
            None,
            "writes grow with claims once a shard writes continuously",
        )
    )
    return ((line,) if line else ()), rows


def _placement(seed):
    costs = [
        placement_cost.measure_cost(servers, PLACEMENT_PREFIX_COUNT, seed)
        for servers in PLACEMENT_SERVER_COUNTS
    ]
    deciding = _fit_slope(
        "placement of a request, p50, by backend servers",
        "us",
        costs,
        lambda c: c.decision_p50_us,
        "servers",
    )
    memory = _fit_slope(
        "placement in memory, by backend servers",
        "MB",
        costs,
        lambda c: c.memory_bytes / 1e6,
        "servers",
    )
    full = costs[-1]
    per_request = (full.decision_p50_us + full.started_p50_us) * MICROSECOND
    note = f"p50 {full.decision_p50_us:.0f} us, p99 {full.decision_p99_us:.0f} us"
    core_fraction = per_request * INSTANCE_REQUESTS_PER_S
    event_core_fraction = full.event_us * MICROSECOND * CACHE_EVENTS_PER_S
    rows = [
        RoleCost(
            "placement, 760 backend servers",
            full.memory_bytes,
            core_fraction,
            None,
            None,
            None,
            note,
        ),
        RoleCost(
            "cache events, every one to every instance",
            None,
            event_core_fraction,
            CACHE_EVENTS_PER_S * BYTES_PER_EVENT,
            None,
            None,
            "does not fit, and is not done: see below",
        ),
    ]
    return (deciding, memory), rows


def _engine_polls(seed):
    del seed
    cost_us = _control.measure_load_report_us(create_engine_control)
    core_fraction = cost_us * MICROSECOND * MAX_POLLS_PER_S
    return (), [
        RoleCost(
            "load reports by polling",
            None,
            core_fraction,
            MAX_POLLS_PER_S * BYTES_PER_POLL,
            None,
            None,
            f"at most {MAX_POLLS_PER_S:g} polls a second: each of 760 engines is"
            f" polled every {760 / MAX_POLLS_PER_S:.0f} s; does not fit 4 KB/s",
        )
    ]


def _lookup(seed):
    slope = _control.measure_lookup_us()
    core_fraction = (
        slope.at(INSTANCES)
        * MICROSECOND
        * INSTANCE_REQUESTS_PER_S
        * LOOKUPS_PER_REQUEST
    )
    return (MeasuredSlope("lookup, by instances", "us", slope),), [
        RoleCost(
            "lookup",
            None,
            core_fraction,
            None,
            None,
            None,
            "assumes one lookup per ten requests",
        )
    ]


def _journal_and_metrics(seed):
    journal, metrics = (
        _control.measure_journal_bytes(),
        _control.measure_metrics_bytes(),
    )
    core_fraction = (
        _control.measure_record_us()
        * MICROSECOND
        * INSTANCE_REQUESTS_PER_S
        * EVENTS_PER_REQUEST
    )
    lines = (
        MeasuredSlope("time line in memory, by records", "B", journal),
        MeasuredSlope("metrics in memory, by customers", "B", metrics),
    )
    return lines, [
        RoleCost(
            "time line",
            journal.at(DEFAULT_CAPACITY),
            core_fraction,
            None,
            None,
            None,
            f"{DEFAULT_CAPACITY / INSTANCE_REQUESTS_PER_S / EVENTS_PER_REQUEST:.0f} s"
            " of requests fit; log lines not included",
        ),
        RoleCost(
            "metrics",
            metrics.at(CUSTOMERS),
            None,
            None,
            None,
            None,
            "one series per customer and verdict",
        ),
    ]


def _fit_slope(what, unit, costs, value, size):
    points = [Point(getattr(cost, size), value(cost)) for cost in costs]
    return MeasuredSlope(what, unit, fit(points))


def _total_row(rows):
    """Return the total cost of the roles, without those that do not fit."""
    fitting = [row for row in rows if "does not fit" not in row.note]

    def total(name):
        values = [getattr(row, name) for row in fitting]
        return sum(value for value in values if value is not None)

    return RoleCost(
        "sum of what fits",
        total("memory_bytes"),
        total("core_share"),
        total("bytes_per_s"),
        total("writes_per_s"),
        total("reads_per_s"),
        "without the rows that do not fit",
    )

"""Measurements of the memory and processor time of an instance's control work.

The relaying of streams is measured elsewhere.
"""

import random
import time
import tracemalloc
from collections.abc import Callable

from bench.slopes import Point, Slope, fit
from cassiaford.config import (
    Configuration,
    Customer,
    Model,
    find_customer,
    issue_key,
)
from cassiaford.engines import EngineControl
from cassiaford.logs import Event
from cassiaford.metrics import Counter, Label, Metrics
from cassiaford.policy import Member, rank_entries
from cassiaford.timeline import HybridClock, Journal, Subject
from standins.processes import ProcessGroup

CUSTOMER_COUNTS = (1000, 2000, 4000)
MEMBER_COUNTS = (7, 70, 370)
RECORD_COUNTS = (1000, 2000, 4000)
KEYS_PER_CUSTOMER = 2
MODEL_COUNT = 29
REPEATS = 300
MICROSECONDS_PER_S = 1e6


def measure_key_check_us() -> Slope:
    """Return the processor time of one key check by number of customers."""
    return fit([Point(n, _key_check_us(n)) for n in CUSTOMER_COUNTS])


def measure_lookup_us() -> Slope:
    """Return the processor time of one lookup by number of instances."""
    return fit([Point(n, _lookup_us(n)) for n in MEMBER_COUNTS])


def measure_journal_bytes() -> Slope:
    """Return the memory of the time line's journal by number of records."""
    return fit(
        [Point(n, _traced_bytes(lambda n=n: _create_journal(n))) for n in RECORD_COUNTS]
    )


def measure_metrics_bytes() -> Slope:
    """Return the memory of the metrics by number of customers."""
    return fit(
        [
            Point(n, _traced_bytes(lambda n=n: _create_metrics(n)))
            for n in CUSTOMER_COUNTS
        ]
    )


def measure_record_us() -> float:
    """Return the processor time of recording one event without its log line."""
    journal = _create_journal(10)
    subject = Subject("r" * 32, "customer", "engine")
    event = Event.REQUEST_COMPLETED
    return _processor_time_us(lambda: journal.record(event, subject, status=200))


def measure_load_report_us(create_control: Callable[[float], EngineControl]) -> float:
    """Return the processor time of one load request to an engine over loopback."""
    with ProcessGroup() as group:
        address = group.start_stand_in("engine", "--model", "binder=v1")
        control = create_control(5.0)
        return _processor_time_us(lambda: control.load(address))


def _create_configuration(customers):
    names = [f"customer-{n}" for n in range(customers)]
    models = [f"model-{n}" for n in range(MODEL_COUNT)]
    keys = [issue_key(name).entry for name in names for _ in range(KEYS_PER_CUSTOMER)]
    return Configuration(
        revision=1,
        customers={name: Customer(name, 1000, 50_000, tuple(models)) for name in names},
        keys={key.key_id: key for key in keys},
        models={name: Model(name, "v1") for name in models},
    )


def _key_check_us(customers):
    configuration = _create_configuration(customers)
    issued = issue_key("customer-1")
    configuration = Configuration(
        revision=2,
        customers=configuration.customers,
        keys={**configuration.keys, issued.entry.key_id: issued.entry},
    )
    return _processor_time_us(lambda: find_customer(configuration, issued.text))


def _lookup_us(count):
    members = [
        Member(f"entry-{n}", 1, f"dc-{n % 6}", f"127.0.0.1:{n}", f"127.0.0.1:{n}")
        for n in range(count)
    ]
    rng = random.Random(1)
    return _processor_time_us(
        lambda: rank_entries(members, f"customer-{rng.randrange(4000)}", "dc-1")
    )


def _create_journal(records):
    journal = Journal(
        "entry-1", 1, HybridClock(time.time), records, lambda *arguments: None
    )
    for number in range(records):
        subject = Subject(f"{number:032x}", f"customer-{number % 4000}", "engine-1")
        journal.record(Event.REQUEST_COMPLETED, subject, verdict="ran", status=200)
    return journal


def _create_metrics(customers):
    metrics = Metrics()
    for number in range(customers):
        labels = (Label("customer", f"customer-{number}"), Label("verdict", "ran"))
        metrics.count(Counter.CUSTOMER_REQUESTS, *labels)
    return metrics


def _traced_bytes(create: Callable[[], object]) -> int:
    tracemalloc.start()
    created = create()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del created
    return size


def _processor_time_us(call: Callable[[], object]) -> float:
    for _ in range(REPEATS // 10):
        call()
    started = time.process_time()
    for _ in range(REPEATS):
        call()
    return (time.process_time() - started) / REPEATS * MICROSECONDS_PER_S

"""The metrics of one process and their text form.

The form is the one that Prometheus documents as its text exposition format.
"""

import enum
import threading
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1_000_000
LOWEST_US = 1
HIGHEST_US = 3600 * MICROSECONDS
SIGNIFICANT_FIGURES = 2
QUANTILES = (0.5, 0.9, 0.95, 0.99)
# More series than this of one counter are added up under OTHER.
MAX_SERIES = 4200
# The same for histograms, which take some hundred kilobytes each.
MAX_HISTOGRAMS = 48
OTHER = "other"


class Counter(enum.Enum):
    """What is counted."""

    REQUESTS = ("cassiaford_requests_total", "Requests by class and verdict.")
    REFUSALS = ("cassiaford_refusals_total", "Refused requests by reason.")
    CUSTOMER_REQUESTS = (
        "cassiaford_customer_requests_total",
        "Requests by customer and verdict.",
    )
    SERVER_REQUESTS = (
        "cassiaford_server_requests_total",
        "Requests by the backend server that they were last sent to, and verdict.",
    )
    PROMPT_TOKENS = ("cassiaford_prompt_tokens_total", "Prompt tokens served.")
    CACHED_TOKENS = (
        "cassiaford_cached_tokens_total",
        "Prompt tokens that a backend server took from its cache.",
    )
    OUTPUT_TOKENS = ("cassiaford_output_tokens_total", "Output tokens served.")


class DurationMetric(enum.Enum):
    """What is measured in seconds."""

    TIME_TO_FIRST_TOKEN = (
        "cassiaford_time_to_first_token_seconds",
        "From receipt to the first byte of the answer's body.",
    )
    QUEUE_WAIT = (
        "cassiaford_queue_wait_seconds",
        "From receipt to the first choice of a backend server.",
    )
    PLACEMENT_TIME = (
        "cassiaford_placement_seconds",
        "The choice of a backend server.",
    )
    LONGEST_GAP = (
        "cassiaford_longest_gap_seconds",
        "The longest time between two arrivals of an answer's bytes.",
    )
    INTAKE_TIME = (
        "cassiaford_intake_seconds",
        "From receipt to the hand-over to the dispatcher.",
    )


@dataclass(frozen=True)
class Label:
    """A label of a series."""

    name: str
    value: str


class Metrics:
    """Counts events and keeps percentiles of durations, in bounded memory.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.count(Counter.REFUSALS, Label("reason", "queue_full"))
    >>> "cassiaford_refusals_total" in metrics.render()
    True
    """

    def __init__(self):
        self.counts = {counter: {} for counter in Counter}
        self.histograms = {quantity: {} for quantity in DurationMetric}
        self.gauges = {}
        self._lock = threading.Lock()

    def count(self, counter: Counter, *labels: Label, amount: float = 1) -> None:
        """Add to a counter."""
        with self._lock:
            series = self.counts[counter]
            if labels not in series and len(series) >= MAX_SERIES:
                labels = tuple(Label(label.name, OTHER) for label in labels)
            series[labels] = series.get(labels, 0) + amount

    def observe(self, quantity: DurationMetric, seconds: float, *labels: Label) -> None:
        """Take in one duration."""
        microseconds = round(seconds * MICROSECONDS)
        bounded = min(max(microseconds, LOWEST_US), HIGHEST_US)
        with self._lock:
            self._histogram(quantity, labels).record_value(bounded)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a value that may go up and down."""
        with self._lock:
            self.gauges[name] = value

    def render(self) -> str:
        """Return all metrics as text."""
        with self._lock:
            lines = [*self._counter_lines(), *self._quantity_lines()]
            for name, value in self.gauges.items():
                lines += [f"# TYPE {name} gauge", f"{name} {value:g}"]
        return "\n".join(lines) + "\n"

    def _histogram(self, quantity, labels):
        series = self.histograms[quantity]
        if labels not in series and len(series) >= MAX_HISTOGRAMS:
            labels = tuple(Label(label.name, OTHER) for label in labels)
        if labels not in series:
            series[labels] = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_FIGURES)
        return series[labels]

    def _counter_lines(self):
        for counter, series in self.counts.items():
            name, text = counter.value
            yield f"# HELP {name} {text}"
            yield f"# TYPE {name} counter"
            for labels, value in series.items():
                yield f"{name}{_label_text(labels)} {value:g}"

    def _quantity_lines(self):
        for quantity, series in self.histograms.items():
            name, text = quantity.value
            yield f"# HELP {name} {text}"
            yield f"# TYPE {name} summary"
            for labels, histogram in series.items():
                yield from _summary_lines(name, labels, histogram)


def _summary_lines(name, labels, histogram):
    for quantile in QUANTILES:
        value = histogram.get_value_at_percentile(quantile * 100) / MICROSECONDS
        text = _label_text((*labels, Label("quantile", str(quantile))))
        yield f"{name}{text} {value:g}"
    count = histogram.get_total_count()
    total = histogram.get_mean_value() * count / MICROSECONDS if count else 0
    yield f"{name}_sum{_label_text(labels)} {total:g}"
    yield f"{name}_count{_label_text(labels)} {count}"


def _label_text(labels):
    if not labels:
        return ""
    pairs = ",".join(f'{label.name}="{_escaped(label.value)}"' for label in labels)
    return "{" + pairs + "}"


def _escaped(value):
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")

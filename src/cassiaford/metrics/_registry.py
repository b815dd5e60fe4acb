"""The metrics of one process, rendered in Prometheus's text exposition format."""

import enum
import threading
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_S = 1_000_000
MIN_DURATION_US = 1
MAX_DURATION_US = 3600 * MICROSECONDS_PER_S
SIGNIFICANT_FIGURES = 2
QUANTILES = (0.5, 0.9, 0.95, 0.99)
# Maximum series of a counter; further ones are added up under OTHER_LABEL_VALUE.
MAX_SERIES = 4200
# The same limit for histograms, which take some hundred kilobytes each.
MAX_HISTOGRAMS = 48
OTHER_LABEL_VALUE = "other"


class Counter(enum.Enum):
    """A counter's name and help text."""

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
    SERVER_SENDS = (
        "cassiaford_server_sends_total",
        "Sends to backend servers by service; repeated ones follow a first one.",
    )
    PROMPT_TOKENS = ("cassiaford_prompt_tokens_total", "Prompt tokens served.")
    CACHED_TOKENS = (
        "cassiaford_cached_tokens_total",
        "Prompt tokens that a backend server took from its cache.",
    )
    OUTPUT_TOKENS = ("cassiaford_output_tokens_total", "Output tokens served.")


class DurationMetric(enum.Enum):
    """The name and help text of a duration, which is measured in seconds."""

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
    """The name and value of a series' label."""

    name: str
    value: str


class Metrics:
    """Counters, gauges and percentiles of durations in bounded memory.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.count(Counter.REFUSALS, Label("reason", "queue_full"))
    >>> "cassiaford_refusals_total" in metrics.render()
    True
    """

    def __init__(self):
        self.counts = {counter: {} for counter in Counter}
        self.histograms = {metric: {} for metric in DurationMetric}
        self.gauges = {}
        self._lock = threading.Lock()

    def count(self, counter: Counter, *labels: Label, amount: float = 1) -> None:
        """Add to a counter."""
        with self._lock:
            series = self.counts[counter]
            if labels not in series and len(series) >= MAX_SERIES:
                labels = tuple(Label(label.name, OTHER_LABEL_VALUE) for label in labels)
            series[labels] = series.get(labels, 0) + amount

    def observe(self, metric: DurationMetric, seconds: float, *labels: Label) -> None:
        """Record one duration."""
        microseconds = round(seconds * MICROSECONDS_PER_S)
        bounded = min(max(microseconds, MIN_DURATION_US), MAX_DURATION_US)
        with self._lock:
            self._histogram(metric, labels).record_value(bounded)

    def set_gauge(self, name: str, value: float) -> None:
        """Set the value of a gauge."""
        with self._lock:
            self.gauges[name] = value

    def render(self) -> str:
        """Return all metrics as text."""
        with self._lock:
            lines = [*self._counter_lines(), *self._duration_lines()]
            for name, value in self.gauges.items():
                lines += [f"# TYPE {name} gauge", f"{name} {value:g}"]
        return "\n".join(lines) + "\n"

    def _histogram(self, metric, labels):
        series = self.histograms[metric]
        if labels not in series and len(series) >= MAX_HISTOGRAMS:
            labels = tuple(Label(label.name, OTHER_LABEL_VALUE) for label in labels)
        if labels not in series:
            series[labels] = HdrHistogram(
                MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_FIGURES
            )
        return series[labels]

    def _counter_lines(self):
        for counter, series in self.counts.items():
            name, text = counter.value
            yield f"# HELP {name} {text}"
            yield f"# TYPE {name} counter"
            for labels, value in series.items():
                yield f"{name}{_format_labels(labels)} {value:g}"

    def _duration_lines(self):
        for metric, series in self.histograms.items():
            name, text = metric.value
            yield f"# HELP {name} {text}"
            yield f"# TYPE {name} summary"
            for labels, histogram in series.items():
                yield from _summary_lines(name, labels, histogram)


def _summary_lines(name, labels, histogram):
    for quantile in QUANTILES:
        value = histogram.get_value_at_percentile(quantile * 100) / MICROSECONDS_PER_S
        text = _format_labels((*labels, Label("quantile", str(quantile))))
        yield f"{name}{text} {value:g}"
    count = histogram.get_total_count()
    total = histogram.get_mean_value() * count / MICROSECONDS_PER_S if count else 0
    yield f"{name}_sum{_format_labels(labels)} {total:g}"
    yield f"{name}_count{_format_labels(labels)} {count}"


def _format_labels(labels):
    if not labels:
        return ""
    pairs = ",".join(f'{label.name}="{_escape(label.value)}"' for label in labels)
    return "{" + pairs + "}"


def _escape(value):
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")

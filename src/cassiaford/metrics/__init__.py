"""Counters, gauges and latency percentiles of one process."""

from cassiaford.metrics._registry import Counter, DurationMetric, Label, Metrics

__all__ = ["Counter", "Label", "Metrics", "DurationMetric"]

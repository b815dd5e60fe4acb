"""Counters and latency percentiles of one process."""

from cassiaford.metrics._registry import Counter, Label, Metrics, Quantity

__all__ = ["Counter", "Label", "Metrics", "Quantity"]

"""Counters and latency percentiles of one process."""

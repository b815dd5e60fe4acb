"""Measurements: benchmarks, capacity slopes, and the build of the binary."""

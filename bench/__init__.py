"""Benchmarks, capacity measurements and the build of the binary."""

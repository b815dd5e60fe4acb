"""Cost of each role by size, for docs/CAPACITY.md: ``python -m bench.capacity``."""

"""The seeds that tests of randomised schedules run on.

Fixed ones by default, so that every run has the same verdict; `make prove
SEED=n SCHEDULES=m` runs m fresh ones from any seed.
"""

import os

SEED_VARIABLE = "CASSIAFORD_TEST_SEED"
COUNT_VARIABLE = "CASSIAFORD_TEST_SCHEDULES"


def seeds(count: int) -> range:
    """Return the seeds to run: the first `count`, or those asked for."""
    first = int(os.environ.get(SEED_VARIABLE, "0"))
    return range(first, first + int(os.environ.get(COUNT_VARIABLE, count)))

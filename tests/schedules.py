"""The seeds of tests with randomised schedules.

The seeds are fixed by default, so that every run has the same result; `make
prove SEED=n SCHEDULES=m` runs m seeds from n on.
"""

import os

SEED_VARIABLE = "CASSIAFORD_TEST_SEED"
COUNT_VARIABLE = "CASSIAFORD_TEST_SCHEDULES"


def seeds(count: int) -> range:
    """Return the seeds to run: the first `count`, or those set in the environment."""
    first = int(os.environ.get(SEED_VARIABLE, "0"))
    return range(first, first + int(os.environ.get(COUNT_VARIABLE, count)))

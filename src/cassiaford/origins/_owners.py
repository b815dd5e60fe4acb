"""The instances that are told where a stream began.

They are the first few in the order of a rendezvous hash (Thaler and Ravishankar,
1998): instances that see different members still agree on most of them.
"""

import heapq
from collections.abc import Iterable

import xxhash


def owners(attempt: int, instances: Iterable[str], count: int) -> list[str]:
    """Return the instances that are first for an attempt.

    Without an instance, those behind it move up and the others keep their order.

    Examples
    --------
    >>> first, second = owners(7, ["a", "b", "c"], 2)
    >>> owners(7, {"a", "b", "c"} - {first}, 1) == [second]
    True
    """
    return heapq.nlargest(
        count,
        instances,
        key=lambda name: (xxhash.xxh3_64_intdigest(name.encode(), attempt), name),
    )

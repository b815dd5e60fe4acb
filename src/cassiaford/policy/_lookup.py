"""The choice of the entry instances that a caller should use.

Instances are ranked by a rendezvous hash (Thaler and Ravishankar, 1998) of the
customer: all callers of a customer use the same few instances, customers use
different ones, and a change of the fleet moves few customers.
"""

from collections.abc import Sequence

import xxhash

from cassiaford.policy._member import Member

# How long a caller may cache the result. It is short so that callers soon stop
# using an instance that leaves.
ENTRIES_MAX_AGE_S = 5


def rank_entries(
    members: Sequence[Member],
    customer: str,
    data_centre: str,
    suspected: frozenset[str] = frozenset(),
) -> tuple[Member, ...]:
    """Return the members that take requests, best first.

    Members in the caller's data centre precede all others, and members that
    are suspected to be dead come last. If no member is ready, all that are not
    leaving are returned.
    """
    remaining = [member for member in members if not member.leaving]
    serving = [member for member in remaining if member.ready] or remaining
    return tuple(
        sorted(
            serving,
            key=lambda member: (
                member.instance in suspected,
                member.data_centre != data_centre,
                -_weight(customer, member.instance),
                member.instance,
            ),
        )
    )


def choose_instance(key: str, instances: Sequence[str]) -> str:
    """Return the instance to which rendezvous hashing maps a key."""
    return max(instances, key=lambda instance: (_weight(key, instance), instance))


def _weight(key, instance):
    return xxhash.xxh3_64_intdigest(f"{key}\0{instance}".encode("utf-8", "replace"))

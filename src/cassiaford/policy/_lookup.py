"""Which entry instances a caller should use.

Instances are ranked by rendezvous hash (Thaler and Ravishankar, 1998) on the
customer, so all of a customer's callers meet the same few instances, each
customer meets different ones, and a change of the fleet moves few.
"""

from collections.abc import Sequence

import xxhash

from cassiaford.policy._member import Member

# How long a caller may keep the answer, so that a leaving instance is soon
# without callers.
ENTRIES_MAX_AGE_S = 5


def rank_entries(
    members: Sequence[Member],
    customer: str,
    data_centre: str,
    suspected: frozenset[str] = frozenset(),
) -> tuple[Member, ...]:
    """Return the members that take requests, best first.

    Those in the caller's data centre stand before all others, and those that
    are suspected to be dead after all others.
    """
    staying = [member for member in members if not member.leaving]
    serving = [member for member in staying if member.ready] or staying
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
    """Return the one of several instances that a key falls to."""
    return max(instances, key=lambda instance: (_weight(key, instance), instance))


def _weight(key, instance):
    return xxhash.xxh3_64_intdigest(f"{key}\0{instance}".encode("utf-8", "replace"))

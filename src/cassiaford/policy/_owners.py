"""The instances that own the budget of each customer.

The owners of a customer are the first few holders of the ledger in the order
of a rendezvous hash (Thaler and Ravishankar, 1998): all instances compute the
same owners, and a holder that joins or leaves moves few customers.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

# With more owners, less budget is lost when one dies, but more messages are sent.
OWNERS_PER_CUSTOMER = 3


@dataclass(frozen=True)
class Holder:
    """One incarnation of an instance that may hold shares."""

    instance: str
    incarnation: int


@dataclass(frozen=True)
class Ledger:
    """The incarnations that may hold shares; each change increments `epoch`."""

    epoch: int = 0
    holders: tuple[Holder, ...] = ()

    def incarnation_of(self, instance: str) -> int | None:
        """Return the incarnation of an instance that may hold shares."""
        for holder in self.holders:
            if holder.instance == instance:
                return holder.incarnation
        return None

    def with_holder(self, new: Holder) -> "Ledger":
        """Return the next ledger, with an incarnation added."""
        others = [h for h in self.holders if h.instance != new.instance]
        return Ledger(self.epoch + 1, (*others, new))

    def without(self, gone: Holder) -> "Ledger":
        """Return the next ledger, with an incarnation removed."""
        return Ledger(self.epoch + 1, tuple(h for h in self.holders if h != gone))


class OwnerTable:
    """The owners of every customer, updated as holders join and leave."""

    def __init__(self, count: int = OWNERS_PER_CUSTOMER):
        self.count = count
        self.instances = frozenset()
        self._scores_by_customer = {}

    def update(self, customers: Iterable[str], instances: Iterable[str]) -> None:
        """Recompute the owners for the current customers and holders."""
        instances = frozenset(instances)
        joined = instances - self.instances
        left = self.instances - instances
        self.instances = instances
        ranked = {}
        for customer in customers:
            previous = self._scores_by_customer.get(customer)
            if previous is None or any(name in left for _, name in previous):
                candidates = _scores(customer, instances)
            else:
                candidates = previous + _scores(customer, joined)
            ranked[customer] = sorted(candidates, reverse=True)[: self.count]
        self._scores_by_customer = ranked

    def owners(self, customer: str) -> tuple[str, ...]:
        """Return the names of the owners of a customer."""
        return tuple(name for _, name in self._scores_by_customer.get(customer, ()))

    def fraction(self, customer: str, instance: str) -> float:
        """Return the fraction of a customer's budget that an instance owns."""
        owners = self.owners(customer)
        return 1.0 / len(owners) if instance in owners else 0.0


def rendezvous_score(customer: str, instance: str) -> int:
    """Return an instance's score for a customer; the highest ranks first."""
    return xxhash.xxh3_64_intdigest(f"{customer}/{instance}".encode())


def _scores(customer, names):
    return [(rendezvous_score(customer, name), name) for name in names]

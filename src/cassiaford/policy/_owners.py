"""Which instances own the budget of each customer.

The owners of a customer are the first few holders of the ledger in the order
of a rendezvous hash (Thaler and Ravishankar, 1998), so that every instance
finds the same ones and a holder that joins or leaves moves few customers.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

# More owners strand less when one dies, and cost more messages.
OWNERS = 3


@dataclass(frozen=True)
class Holder:
    """One incarnation of an instance that may hold shares."""

    instance: str
    incarnation: int


@dataclass(frozen=True)
class Ledger:
    """The incarnations that may hold shares, under a rising epoch."""

    epoch: int = 0
    holders: tuple[Holder, ...] = ()

    def incarnation_of(self, instance: str) -> int | None:
        """Return the incarnation of an instance that may hold shares."""
        for holder in self.holders:
            if holder.instance == instance:
                return holder.incarnation
        return None

    def with_holder(self, new: Holder) -> "Ledger":
        """Return the next ledger, in which an incarnation has joined."""
        others = [h for h in self.holders if h.instance != new.instance]
        return Ledger(self.epoch + 1, (*others, new))

    def without(self, gone: Holder) -> "Ledger":
        """Return the next ledger, in which an incarnation holds nothing."""
        return Ledger(self.epoch + 1, tuple(h for h in self.holders if h != gone))


class OwnerTable:
    """The owners of every customer, kept up as holders come and go."""

    def __init__(self, count: int = OWNERS):
        self.count = count
        self.instances = frozenset()
        self._ranked = {}

    def update(self, customers: Iterable[str], instances: Iterable[str]) -> None:
        """Take in the present customers and holders."""
        instances = frozenset(instances)
        joined = instances - self.instances
        left = self.instances - instances
        self.instances = instances
        ranked = {}
        for customer in customers:
            known = self._ranked.get(customer)
            if known is None or any(name in left for _, name in known):
                candidates = _scored(customer, instances)
            else:
                candidates = known + _scored(customer, joined)
            ranked[customer] = sorted(candidates, reverse=True)[: self.count]
        self._ranked = ranked

    def owners(self, customer: str) -> tuple[str, ...]:
        """Return the names of the owners of a customer."""
        return tuple(name for _, name in self._ranked.get(customer, ()))

    def fraction(self, customer: str, instance: str) -> float:
        """Return the part of a customer's budget that an instance owns."""
        owners = self.owners(customer)
        return 1.0 / len(owners) if instance in owners else 0.0


def rendezvous_score(customer: str, instance: str) -> int:
    """Return the rank of an instance for a customer; the highest is first."""
    return xxhash.xxh3_64_intdigest(f"{customer}/{instance}".encode())


def _scored(customer, names):
    return [(rendezvous_score(customer, name), name) for name in names]

"""Customers' rates and bursts, kept by all instances together.

Each instance keeps a bucket for the whole fleet and takes from it what it
spends itself and what its peers say they have spent. What a peer may spend
unheard is bounded: while a peer is silent, its even share of the rate is set
aside, so instances that cannot hear each other keep the limit between them.
"""

from collections.abc import Iterable
from dataclasses import dataclass

# A peer unheard for this long spends its share: three of its reports are lost.
SILENT_AFTER_S = 0.6
# The window in which a customer's spending is bounded, unless settings say so.
WINDOW_S = 8.0
# Of the burst, the part that may be spent at once; the rest comes in over the
# window, beside the rate, since a window may hold all of both.
AT_ONCE_SHARE = 0.5
# Of the burst, what an instance grants itself before it has heard of others'
# spending: a fleet that restarts as a whole must not give out a second burst.
START_LEVEL = 0.1

# Requests of at most this share of what may be spent at once are refused only
# at a debt of this share: a booking is worth more than the tokens it takes.
SMALL_SHARE = 0.02
SMALL_DEBT_SHARE = 0.4
# Callers wait only a part of their deadline; later returns would not be heard.
MAX_RETURN_S = 2.0


@dataclass(frozen=True)
class Limit:
    """A customer's rate in tokens a second and its burst in tokens."""

    rate: float
    burst: float

    def over_window(self, window_s: float) -> "Limit":
        """Return the limit of a bucket by which no window holds more.

        A window may hold the burst and what the rate gives in that time. A
        bucket that starts full and gains the rate allows this once, and then
        a window holds hardly more than the rate. With a part of the burst
        spread over the window, each window may hold all of it.

        Examples
        --------
        >>> Limit(100.0, 800.0).over_window(8.0)
        Limit(rate=150.0, burst=400.0)
        """
        at_once = AT_ONCE_SHARE * self.burst
        return Limit(self.rate + (self.burst - at_once) / window_s, at_once)


class _Bucket:
    """The fleet's tokens for one customer, as this instance believes."""

    def __init__(self, limit, now):
        self.limit = limit
        self.level = limit.burst * START_LEVEL
        self.updated_at = now
        self.spent = 0.0
        self.refunded = 0.0
        self.next_return_at = 0.0
        self.heard_spent = {}
        self.set_aside = {}

    def advance(self, now, silent, members):
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        share = self.limit.rate * elapsed / max(1, members)
        for peer in silent:
            self.set_aside[peer] = self.set_aside.get(peer, 0.0) + share
        gained = self.limit.rate * elapsed - share * len(silent)
        self.level = min(self.limit.burst, self.level + max(0.0, gained))

    def spend(self, tokens):
        self.level -= tokens
        # Peers are told of a sum that never falls, so what was given back
        # counts towards what is spent next.
        given_back = min(self.refunded, tokens)
        self.refunded -= given_back
        self.spent += tokens - given_back

    def refund(self, tokens):
        self.level = min(self.limit.burst, self.level + tokens)
        self.refunded += tokens

    def hear(self, peer, incarnation, spent):
        known, before = self.heard_spent.get(peer, (None, 0.0))
        if known is None:
            # Spending from before this instance listened is not known in time.
            before = spent
        elif known != incarnation:
            before = 0.0
        if known == incarnation and spent < before:
            return
        self.heard_spent[peer] = (incarnation, spent)
        aside = self.set_aside.pop(peer, 0.0)
        self.level -= max(0.0, spent - before - aside)
        self.level = max(self.level, -self.limit.burst)


class FleetRates:
    """Charges customers for tokens, in step with the other instances.

    Examples
    --------
    >>> rates = FleetRates()
    >>> rates.configure({"academy": Limit(100.0, 400.0)}, now=0.0)
    >>> rates.charge("academy", 100, 0.0), rates.charge("academy", 60, 0.0)
    (True, False)
    >>> round(rates.retry_after_s("academy", 60, 0.0), 2)
    0.64
    """

    def __init__(self, window_s: float = WINDOW_S):
        self.window_s = window_s
        self.buckets: dict[str, _Bucket] = {}
        self.heard_at: dict[str, float] = {}
        self.members: frozenset[str] = frozenset()

    def configure(self, limits: dict[str, Limit], now: float) -> None:
        """Take in the customers' limits; those not named have none."""
        for customer in set(self.buckets) - set(limits):
            del self.buckets[customer]
        for customer, stated in limits.items():
            limit = stated.over_window(self.window_s)
            bucket = self.buckets.get(customer)
            if bucket is None:
                self.buckets[customer] = _Bucket(limit, now)
            elif bucket.limit != limit:
                self._advance(bucket, now)
                bucket.limit = limit
                bucket.level = min(bucket.level, limit.burst)

    def set_members(self, peers: Iterable[str], now: float) -> None:
        """Take in the names of the other instances that may be spending."""
        for bucket in self.buckets.values():
            self._advance(bucket, now)
        self.members = frozenset(peers)
        for peer in self.members:
            self.heard_at.setdefault(peer, now)
        for peer in set(self.heard_at) - self.members:
            del self.heard_at[peer]

    def update_from_peer(
        self, peer: str, incarnation: int, spent: dict[str, float], now: float
    ) -> None:
        """Take in what a peer has spent since its start, by customer."""
        for customer, amount in spent.items():
            bucket = self.buckets.get(customer)
            if bucket is not None:
                self._advance(bucket, now)
                bucket.hear(peer, incarnation, amount)
        self.heard_at[peer] = now

    def charge(self, customer: str, tokens: float, now: float) -> bool:
        """Take tokens if the fleet has any; return whether it does.

        A large request may leave a debt, so that it has the same chance as a
        small one where a customer asks for more than its rate.
        """
        bucket = self.buckets.get(customer)
        if bucket is None:
            return True
        self._advance(bucket, now)
        small = tokens <= SMALL_SHARE * bucket.limit.burst
        least = -SMALL_DEBT_SHARE * bucket.limit.burst if small else 0.0
        if bucket.level <= least:
            return False
        bucket.spend(tokens)
        return True

    def refund(self, customer: str, tokens: float, now: float) -> None:
        """Give back the tokens of a request that did not run."""
        bucket = self.buckets.get(customer)
        if bucket is not None:
            self._advance(bucket, now)
            bucket.refund(tokens)

    def retry_after_s(self, customer: str, tokens: float, now: float) -> float:
        """Return the seconds after which a refused request should come back.

        Requests refused one after the other are told later and later times,
        at the pace at which the customer's tokens come in.
        """
        bucket = self.buckets.get(customer)
        if bucket is None or bucket.limit.rate <= 0:
            return 0.0
        self._advance(bucket, now)
        debt_s = max(0.0, -bucket.level) / bucket.limit.rate
        return_at = max(now + debt_s, bucket.next_return_at)
        return_at = min(return_at, now + MAX_RETURN_S)
        pace = bucket.limit.rate / (len(self.members) + 1)
        bucket.next_return_at = return_at + tokens / pace
        return return_at - now

    def shares_left(self) -> list[float]:
        """Return, for each customer, what is left of what it may spend at once."""
        return [
            bucket.level / bucket.limit.burst
            for bucket in self.buckets.values()
            if bucket.limit.burst
        ]

    def describe(self, customer: str) -> str:
        """Return a customer's limit and what is left of it, for the log."""
        bucket = self.buckets[customer]
        limit = bucket.limit
        return (
            f"{bucket.level:.0f} left of {limit.burst:.0f} at once and"
            f" {limit.rate:.0f}/s"
        )

    def spent(self) -> dict[str, float]:
        """Return what this instance has spent since its start, by customer."""
        return {name: b.spent for name, b in self.buckets.items() if b.spent}

    def _advance(self, bucket, now):
        silent = [
            peer
            for peer in self.members
            if now - self.heard_at.get(peer, now) > SILENT_AFTER_S
        ]
        bucket.advance(now, silent, len(self.members) + 1)

"""Customers' rates and bursts, enforced by all instances together.

Each instance keeps a bucket for the whole fleet and takes from it what it
spends itself and what its peers report to have spent. What a peer may spend
unreported is bounded: while a peer is silent, its even share of the rate is
reserved, so that instances that cannot reach each other keep the limit between
them.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

# A peer without a report for this long, which is three lost reports, is
# assumed to spend its share.
PEER_SILENCE_TIMEOUT_S = 0.6
# A peer that starts, or that hears of this instance's start, sends a whole report
# within this time if it is not cut off.
FIRST_REPORT_TIMEOUT_S = 1.2
# The window in which a customer's spending is bounded, if settings give no other.
DEFAULT_WINDOW_S = 8.0
# Fraction of the burst that may be spent immediately. The rest is spread over the
# window and added to the rate, since a window allows the whole burst and the rate.
IMMEDIATE_BURST_FRACTION = 0.5
# Fraction of the burst that an instance starts with, before peers report their
# spending: a fleet that restarts as a whole must not grant a second burst.
INITIAL_LEVEL_FRACTION = 0.1

# A request of at most `SMALL_REQUEST_FRACTION` of the bucket's burst is refused
# only once the debt reaches `SMALL_REQUEST_DEBT_FRACTION` of it: a small request
# such as a booking is worth more than the tokens that it takes.
SMALL_REQUEST_FRACTION = 0.02
SMALL_REQUEST_DEBT_FRACTION = 0.4
# Smaller reserves, as fractions of the burst, are settled without a report.
MIN_REPORTED_RESERVE_FRACTION = 0.02
# Callers wait only for a part of their deadline and would not retry later.
MAX_RETRY_AFTER_S = 2.0


@dataclass(frozen=True)
class Limit:
    """A customer's rate in tokens a second and its burst in tokens."""

    rate: float
    burst: float

    def bucket_limit(self, window_s: float) -> "Limit":
        """Return the limit of a bucket that allows this limit in every window.

        The limit allows the burst, and what the rate adds, in each window. A
        bucket that starts full and fills at the rate allows this only once;
        after that, little more than the rate can be spent in a window. With a
        part of the burst spread over the window, every window allows all of it.

        Examples
        --------
        >>> Limit(100.0, 800.0).bucket_limit(8.0)
        Limit(rate=150.0, burst=400.0)
        """
        immediate = IMMEDIATE_BURST_FRACTION * self.burst
        return Limit(self.rate + (self.burst - immediate) / window_s, immediate)


@dataclass(frozen=True)
class ReserveSettlement:
    """What became of a silent peer's reserve when the peer was heard.

    `reserved` tokens were kept for the peer, which has `spent` some of them as far
    as is known. `incarnation_known` is whether its incarnation was heard before.
    """

    customer: str
    peer: str
    reserved: float
    spent: float
    incarnation_known: bool
    level: float


class _Bucket:
    """The fleet's tokens for one customer, as this instance estimates them."""

    def __init__(self, limit, window_s, now):
        self.limit = limit
        self.window_s = window_s
        self.level = limit.burst * INITIAL_LEVEL_FRACTION
        self.updated_at = now
        self.spent = 0.0
        self.refunded = 0.0
        self.next_retry_at = 0.0
        self.peer_spent = {}
        self.reserved = {}
        self.heard_fraction = 1.0

    def advance(self, now, silent, members):
        self._reserve_parts(silent, members)
        self.heard_fraction = 1.0 - len(silent) / max(1, members)
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        share = self.limit.rate * elapsed / max(1, members)
        for peer in silent:
            self.reserved[peer] += share
        gained = self.limit.rate * elapsed - share * len(silent)
        self.level = min(self.limit.burst, self.level + max(0.0, gained))

    def _reserve_parts(self, silent, members):
        """Reserve the even parts of peers that have become silent."""
        new = [peer for peer in silent if peer not in self.reserved]
        if not new:
            return
        part = self.level / max(1, members - len(silent) + len(new))
        for peer in new:
            self.reserved[peer] = part
            self.level -= part

    def min_level(self, tokens):
        """Return the level above which a request is granted.

        A large request may leave a debt. In a cut, the debts of all sides together
        are at most that of one request.
        """
        if tokens <= SMALL_REQUEST_FRACTION * self.limit.burst:
            max_debt = SMALL_REQUEST_DEBT_FRACTION * self.limit.burst
            return -max_debt * self.heard_fraction
        return tokens * (1.0 - self.heard_fraction)

    def spend(self, tokens):
        self.level -= tokens
        # Peers receive a total that never falls, so refunds are deducted from
        # later spending.
        offset = min(self.refunded, tokens)
        self.refunded -= offset
        self.spent += tokens - offset

    def refund(self, tokens):
        self.level = min(self.limit.burst, self.level + tokens)
        self.refunded += tokens

    def update_from_peer(self, peer, incarnation, spent, silence_s):
        """Count a peer's spending; return its reserve, what it spent, if it was known.

        A peer is known if its incarnation was heard before. What another one, or
        its predecessor, spent in a long silence is unknown, so its reserve may be
        gone.
        """
        known_incarnation, before = self.peer_spent.get(peer, (None, 0.0))
        if known_incarnation is None:
            # It is unknown when the spending before the first report occurred.
            before = spent
        elif known_incarnation != incarnation:
            before = 0.0
        if known_incarnation == incarnation and spent < before:
            return 0.0, 0.0, True
        self.peer_spent[peer] = (incarnation, spent)
        reserved = self.reserved.pop(peer, 0.0)
        gained = reserved + before - spent
        if known_incarnation != incarnation and silence_s > FIRST_REPORT_TIMEOUT_S:
            gained = min(0.0, gained)
        self.level = min(self.limit.burst, self.level + gained)
        # What was spent a window ago no longer counts.
        self.level = max(self.level, -self.limit.rate * self.window_s)
        return reserved, spent - before, known_incarnation == incarnation


class FleetRates:
    """Charges customers for tokens, together with the other instances.

    Examples
    --------
    >>> rates = FleetRates()
    >>> rates.configure({"academy": Limit(100.0, 400.0)}, now=0.0)
    >>> rates.charge("academy", 100, 0.0), rates.charge("academy", 60, 0.0)
    (True, False)
    >>> round(rates.retry_after_s("academy", 60, 0.0), 2)
    0.64
    """

    def __init__(self, window_s: float = DEFAULT_WINDOW_S):
        self.window_s = window_s
        self.buckets: dict[str, _Bucket] = {}
        # Totals go on if a customer returns: a peer may have seen no removal.
        self.removed: dict[str, _Bucket] = {}
        self.last_report_at: dict[str, float] = {}
        self.member_since: dict[str, float] = {}
        self.members: frozenset[str] = frozenset()
        self.configured = False
        # The peers from which a whole report came since the first configuration.
        self.incarnations: dict[str, int] = {}
        self.on_settlement: Callable[[ReserveSettlement], None] = lambda settled: None
        self._silent: tuple[str, ...] = ()
        self._next_silence_at = -math.inf

    def configure(self, limits: dict[str, Limit], now: float) -> None:
        """Apply the customers' limits; customers not named have none."""
        for customer in set(self.buckets) - set(limits):
            self.removed[customer] = self.buckets.pop(customer)
        for customer, stated in limits.items():
            limit = stated.bucket_limit(self.window_s)
            if customer in self.removed:
                self.buckets[customer] = self.removed.pop(customer)
            bucket = self.buckets.get(customer)
            if bucket is None:
                self.buckets[customer] = self._new_bucket(limit, now)
            elif bucket.limit != limit:
                self._advance(bucket, now)
                bucket.limit = limit
                bucket.level = min(bucket.level, limit.burst)
        self.configured = True

    def set_members(self, peers: Iterable[str], now: float) -> None:
        """Set the names of the other instances that may spend tokens."""
        for bucket in self.buckets.values():
            self._advance(bucket, now)
        self.members = frozenset(peers)
        self._next_silence_at = -math.inf
        for peer in self.members:
            self.member_since.setdefault(peer, now)
        for peer in set(self.member_since) - self.members:
            del self.member_since[peer]
            self.last_report_at.pop(peer, None)
            self.incarnations.pop(peer, None)

    def update_from_peer(
        self,
        peer: str,
        incarnation: int,
        spent: dict[str, float],
        now: float,
        whole: bool = True,
    ) -> None:
        """Apply what a peer has spent since its start, by customer.

        In a whole report, a customer that is not named has spent nothing there.
        Before the first one, it is unknown when a peer's spending occurred.
        """
        if whole:
            spent = dict.fromkeys(self.buckets, 0.0) | spent
            if self.configured:
                self.incarnations[peer] = incarnation
        silence_s = now - self._last_contact_at(peer, now)
        for customer, amount in spent.items():
            bucket = self.buckets.get(customer)
            if bucket is not None:
                self._advance(bucket, now)
                settled = bucket.update_from_peer(peer, incarnation, amount, silence_s)
                self._report_settlement(customer, peer, bucket, settled)
        self.last_report_at[peer] = now
        if peer in self._silent:
            self._next_silence_at = -math.inf

    def charge(self, customer: str, tokens: float, now: float) -> bool:
        """Take tokens if the fleet has any left; return whether it had.

        A large request may leave a debt, so that it has the same chance as a
        small one where a customer asks for more than its rate.
        """
        bucket = self.buckets.get(customer)
        if bucket is None:
            return True
        self._advance(bucket, now)
        if bucket.level <= bucket.min_level(tokens):
            return False
        bucket.spend(tokens)
        return True

    def refund(self, customer: str, tokens: float, now: float) -> None:
        """Refund the tokens of a request that did not run."""
        bucket = self.buckets.get(customer)
        if bucket is not None:
            self._advance(bucket, now)
            bucket.refund(tokens)

    def retry_after_s(self, customer: str, tokens: float, now: float) -> float:
        """Return the seconds after which a refused request should be retried.

        Requests that are refused one after the other get later and later
        times, at the pace at which the customer's tokens are refilled.
        """
        bucket = self.buckets.get(customer)
        if bucket is None or bucket.limit.rate <= 0:
            return 0.0
        self._advance(bucket, now)
        debt_s = max(0.0, -bucket.level) / bucket.limit.rate
        retry_at = max(now + debt_s, bucket.next_retry_at)
        retry_at = min(retry_at, now + MAX_RETRY_AFTER_S)
        pace = bucket.limit.rate / (len(self.members) + 1)
        bucket.next_retry_at = retry_at + tokens / pace
        return retry_at - now

    def remaining_fractions(self) -> list[float]:
        """Return, for each customer, which fraction of its bucket is left."""
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
            f"{bucket.level:.0f} of {limit.burst:.0f} tokens left"
            f" (refilled at {limit.rate:.0f}/s)"
        )

    def spent(self) -> dict[str, float]:
        """Return what this instance has spent since its start, by customer."""
        buckets = self.buckets | self.removed
        return {name: b.spent for name, b in buckets.items() if b.spent}

    def _report_settlement(self, customer, peer, bucket, settled):
        reserved, spent, known = settled
        if reserved > MIN_REPORTED_RESERVE_FRACTION * bucket.limit.burst:
            self.on_settlement(
                ReserveSettlement(customer, peer, reserved, spent, known, bucket.level)
            )

    def _new_bucket(self, limit, now):
        """Return a customer's bucket; peers that were heard had not spent from it."""
        bucket = _Bucket(limit, self.window_s, now)
        bucket.peer_spent = {p: (i, 0.0) for p, i in self.incarnations.items()}
        return bucket

    def _advance(self, bucket, now):
        bucket.advance(now, self._silent_peers(now), len(self.members) + 1)

    def _last_contact_at(self, peer, now):
        """Return when a peer was heard last, or else when it became a member."""
        return self.last_report_at.get(peer, self.member_since.get(peer, now))

    def _silent_peers(self, now):
        """Return the peers without a recent report.

        They are determined anew only once one of the others may have become silent.
        """
        if now > self._next_silence_at:
            last = {p: self.last_report_at.get(p, -math.inf) for p in self.members}
            self._silent = tuple(
                peer for peer, at in last.items() if now - at > PEER_SILENCE_TIMEOUT_S
            )
            heard = (at for peer, at in last.items() if peer not in self._silent)
            self._next_silence_at = min(heard, default=now) + PEER_SILENCE_TIMEOUT_S
        return self._silent

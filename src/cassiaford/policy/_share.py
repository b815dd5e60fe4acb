"""One instance's share of one customer's rate and burst."""

import itertools
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from cassiaford.policy._buckets import Bucket
from cassiaford.policy._owners import Holder
from cassiaford.policy._share_messages import (
    LoanGrant,
    LoanRequest,
    ReturnedLoan,
    SendShareMessage,
)

LOAN_TTL_S = 0.6
# The owner counts a loan as lent for this much longer, as clock speeds differ.
LOAN_MARGIN_S = 0.05
# A loan that was not used for this long is returned.
MAX_LOAN_IDLE_S = 0.05
# The minimum time after which a caller may retry.
MIN_RETRY_AFTER_S = 0.1
# An owner that has not replied for this long is assumed to have no tokens.
REPLY_TIMEOUT_S = 0.3
SILENT_OWNER_RETRY_S = 0.7
# An owner's reported level counts as accurate for this long.
MAX_VIEW_AGE_S = 0.02
# A borrower also requests its expected demand for this time.
PREFETCH_S = 0.1
DEMAND_WINDOW_S = 1.0
# The minimum fraction of a customer's rate from which retry times are computed.
MIN_REACHABLE_FRACTION = 0.05


@dataclass(frozen=True)
class Limit:
    """A customer's rate in tokens a second and burst in tokens."""

    rate: float
    burst: float


@dataclass
class Loan:
    """Tokens that are borrowed from an owner until a time."""

    number: int
    owner: str
    tokens: float
    until: float
    used_at: float


@dataclass
class LentTokens:
    """Capacity that is lent to an instance until a time."""

    tokens: float
    until: float


@dataclass
class OwnerView:
    """The last known level of another owner, and the state of requests to it."""

    level: float
    received_at: float
    requested_at: float | None = None
    silent: bool = False


class Share:
    """The owned tokens of a customer's budget, those lent, and those borrowed.

    `fraction` is the fraction of rate and burst that this instance owns, and
    `owner_fraction` the one that each of the `other_owners` owns.
    """

    def __init__(self, customer: str, limit: Limit, now: float):
        self.customer = customer
        self.limit = limit
        self.fraction = 0.0
        self.owner_fraction = 1.0
        self.bucket = Bucket(0.0, 0.0, 0.0, now)
        self.loans = []
        self.lent = {}
        self.other_owners = {}
        self.pending_requests = {}
        self.loans_to_return = {}
        self.tokens_to_refund = 0.0
        self.demand = 0.0
        self.demand_at = now

    def set_owners(self, names: Sequence[str], own: str, now: float) -> None:
        """Set the owners of the customer's budget."""
        self.owner_fraction = 1.0 / max(1, len(names))
        full = self.limit.burst * self.owner_fraction
        self.other_owners = {
            name: self.other_owners.get(name) or OwnerView(full, now - MAX_VIEW_AGE_S)
            for name in names
            if name != own
        }

    def resize(self, now: float) -> None:
        """Adjust the bucket to the fraction, the limit and the lent tokens."""
        lent = sum(lent.tokens for lent in self.lent.values())
        capacity = max(0.0, self.fraction * self.limit.burst - lent)
        self.bucket.resize(self.fraction * self.limit.rate, capacity, now)

    def advance(self, now: float) -> None:
        """Accrue tokens and remove expired loans."""
        self.loans = [loan for loan in self.loans if now < loan.until]
        expired = [key for key, lent in self.lent.items() if now >= lent.until]
        if expired:
            expired_at = max(self.lent[key].until for key in expired)
            # Until the expiry, the capacity is smaller and limits the accrual.
            self.bucket.advance(expired_at)
            for key in expired:
                del self.lent[key]
            self.resize(expired_at)
        self.bucket.advance(now)
        self._pay_debt()
        self._update_silence(now)

    def is_idle(self) -> bool:
        """Return whether nothing is lent, borrowed, owed or in progress."""
        in_progress = (
            self.loans or self.lent or self.pending_requests or self.loans_to_return
        )
        return not in_progress and self.tokens_to_refund == 0 and self.bucket.level >= 0

    def available_tokens(self, use_own: bool) -> float:
        """Return the number of tokens that can be taken at once."""
        own = self.bucket.level if use_own else min(0.0, self.bucket.level)
        return own + sum(loan.tokens for loan in self.loans)

    def take(self, tokens: float, use_own: bool, now: float) -> bool:
        """Take tokens, borrowed ones first; return whether there were enough."""
        if tokens > self.available_tokens(use_own):
            return False
        remaining = tokens
        for loan in self.loans:
            amount = min(loan.tokens, remaining)
            if amount > 0:
                loan.tokens -= amount
                loan.used_at = now
                remaining -= amount
        if remaining > 0:
            self.bucket.level -= remaining
        self._record_demand(tokens, now)
        return True

    def refund(self, tokens: float, now: float) -> None:
        """Refund unused tokens, to another owner if this instance is not one."""
        if self.fraction > 0 or tokens < 0:
            self.bucket.give(tokens, now)
        else:
            self.tokens_to_refund += tokens

    # Lending and borrowing.

    def lend(
        self,
        borrower: Holder,
        request: LoanRequest,
        use_own: bool,
        is_new: bool,
        now: float,
    ) -> LoanGrant:
        """Accept returned loans and lend the requested tokens, if available.

        A request that is not `is_new` may be a duplicate: its refund is ignored.
        """
        for returned in request.returned:
            lent = self.lent.pop((borrower, returned.loan), None)
            if lent is not None:
                self.resize(now)
                self.bucket.give(min(returned.unused, lent.tokens), now)
        if is_new:
            self.bucket.give(request.refund, now)
        key = (borrower, request.loan)
        tokens = 0.0
        if use_own and is_new:
            tokens = max(0.0, min(request.tokens, self.bucket.level))
        if tokens > 0:
            self.bucket.level -= tokens
            self.lent[key] = LentTokens(tokens, now + LOAN_TTL_S + LOAN_MARGIN_S)
            self.resize(now)
        level = max(0.0, self.bucket.level) if use_own else 0.0
        return LoanGrant(self.customer, request.loan, tokens, level)

    def apply_grant(self, owner: str, grant: LoanGrant, now: float) -> None:
        """Add a granted loan, unless it is late, a duplicate, or unrequested."""
        pending = self.pending_requests.get(grant.loan)
        if pending is None or pending[0] != owner:
            return
        del self.pending_requests[grant.loan]
        if owner in self.other_owners:
            self.other_owners[owner] = OwnerView(grant.level, now)
        until = pending[1] + LOAN_TTL_S
        if grant.tokens > 0 and now < until:
            loan = Loan(grant.loan, owner, grant.tokens, until, now)
            self.loans.append(loan)
        self._pay_debt()

    def request_loans(
        self, tokens: float, use_own: bool, numbers: Iterator[int], now: float
    ) -> tuple[SendShareMessage, ...]:
        """Return requests for the missing tokens; none if fresh levels are too low."""
        available = self.available_tokens(use_own)
        if self.tokens_elsewhere(now) + available < tokens and self._all_fresh(now):
            return ()
        missing = tokens - available + self._demand(now) * PREFETCH_S
        free = [
            name
            for name, view in self.other_owners.items()
            if view.requested_at is None
        ]
        levels = {name: self._estimated_level(name, now) for name in free}
        sends = []
        for name in sorted(free, key=levels.get, reverse=True):
            if missing <= 0:
                break
            requested = min(missing, max(levels[name], missing / len(free)))
            missing -= requested
            sends.append(self._create_request(name, requested, numbers, now))
        return tuple(sends)

    def return_loans(
        self, numbers: Iterator[int], now: float
    ) -> tuple[SendShareMessage, ...]:
        """Return messages that return used and idle loans, and refunds."""
        for loan in list(self.loans):
            if loan.tokens <= 0 or now >= loan.used_at + MAX_LOAN_IDLE_S:
                self.loans.remove(loan)
                returned = ReturnedLoan(loan.number, max(0.0, loan.tokens))
                self.loans_to_return.setdefault(loan.owner, []).append(returned)
        names = list(self.loans_to_return)
        if self.tokens_to_refund > 0:
            names = list(
                dict.fromkeys([*names, *itertools.islice(self.other_owners, 1)])
            )
        return tuple(self._create_request(name, 0.0, numbers, now) for name in names)

    def awaits_reply(self, now: float) -> bool:
        """Return whether a reply of an owner is expected."""
        return any(
            view.requested_at is not None and not view.silent
            for view in self.other_owners.values()
        )

    def tokens_elsewhere(self, now: float) -> float:
        """Return the estimated number of tokens of the other owners."""
        return sum(self._estimated_level(name, now) for name in self.other_owners)

    def seconds_until(self, tokens: float, use_own: bool, now: float) -> float:
        """Return the seconds until the reachable owners have enough tokens."""
        missing = tokens - self.available_tokens(use_own) - self.tokens_elsewhere(now)
        reachable = self.fraction if use_own else 0.0
        silent = sum(view.silent for view in self.other_owners.values())
        reachable += self.owner_fraction * (len(self.other_owners) - silent)
        rate = self.limit.rate * max(MIN_REACHABLE_FRACTION, min(1.0, reachable))
        return max(MIN_RETRY_AFTER_S, missing / rate)

    def _all_fresh(self, now):
        return all(
            view.silent or now < view.received_at + MAX_VIEW_AGE_S
            for view in self.other_owners.values()
        )

    def _create_request(self, name, tokens, numbers, now):
        number = next(numbers)
        if tokens > 0:
            self.other_owners[name].requested_at = now
            self.pending_requests[number] = (name, now)
        returned = tuple(self.loans_to_return.pop(name, ()))
        refund = 0.0
        if name in self.other_owners:
            refund, self.tokens_to_refund = self.tokens_to_refund, 0.0
        return SendShareMessage(
            name, LoanRequest(self.customer, number, tokens, refund, returned)
        )

    def _estimated_level(self, name, now):
        view = self.other_owners[name]
        if view.silent:
            return 0.0
        estimated = view.level + self.limit.rate * self.owner_fraction * (
            now - view.received_at
        )
        return min(self.limit.burst * self.owner_fraction, estimated)

    def _update_silence(self, now):
        for view in self.other_owners.values():
            if view.requested_at is None:
                continue
            waited = now - view.requested_at
            view.silent = waited >= REPLY_TIMEOUT_S
            if waited >= SILENT_OWNER_RETRY_S:
                # Try again; any reply resets the view of the owner.
                view.requested_at = None
                view.silent = False
        timed_out = [
            n
            for n, (_, requested_at) in self.pending_requests.items()
            if now >= requested_at + LOAN_TTL_S
        ]
        for number in timed_out:
            del self.pending_requests[number]

    def _pay_debt(self):
        for loan in self.loans:
            if self.bucket.level >= 0:
                return
            amount = min(loan.tokens, -self.bucket.level)
            loan.tokens -= amount
            self.bucket.level += amount

    def _record_demand(self, tokens, now):
        self.demand = self._demand(now) + tokens / DEMAND_WINDOW_S
        self.demand_at = now

    def _demand(self, now):
        """Return the recent demand in tokens a second, which decays over time."""
        elapsed = max(0.0, now - self.demand_at)
        return self.demand * max(0.0, 1.0 - elapsed / DEMAND_WINDOW_S)

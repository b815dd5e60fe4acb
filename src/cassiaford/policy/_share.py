"""What one instance holds of one customer's rate and burst."""

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

LOAN_S = 0.6
# The owner counts a loan this much longer, for clocks that run apart.
LOAN_MARGIN_S = 0.05
# A loan that was not drawn on for this long is returned.
IDLE_LOAN_S = 0.05
# A caller is told to come back after this time at least.
LEAST_RETRY_S = 0.1
# An owner that has not answered for this long is taken to have nothing.
ANSWER_S = 0.3
SILENT_RETRY_S = 0.7
# What an owner said of its level is not doubted for this long.
FRESH_S = 0.02
# A borrower asks for its demand of this much time ahead.
AHEAD_S = 0.1
DEMAND_SPAN_S = 1.0
# The least part of a customer's rate that a time to try again is based on.
MIN_REACHABLE = 0.05


@dataclass(frozen=True)
class Limit:
    """A customer's rate in tokens a second and burst in tokens."""

    rate: float
    burst: float


@dataclass
class Loan:
    """Tokens borrowed from an owner until a time."""

    number: int
    owner: str
    tokens: float
    until: float
    used_at: float


@dataclass
class Lent:
    """Capacity lent to an instance until a time."""

    tokens: float
    until: float


@dataclass
class OwnerView:
    """What an instance knows of another owner's level."""

    level: float
    seen_at: float
    asked_at: float | None = None
    silent: bool = False


class Share:
    """The own part of a customer's budget, what was lent, and what borrowed.

    `fraction` is the part of rate and burst that the instance owns; `others`
    are the other owners, and `part` is the fraction of each of them.
    """

    def __init__(self, customer: str, limit: Limit, now: float):
        self.customer = customer
        self.limit = limit
        self.fraction = 0.0
        self.part = 1.0
        self.bucket = Bucket(0.0, 0.0, 0.0, now)
        self.loans = []
        self.lent = {}
        self.others = {}
        self.asks = {}
        self.returns = {}
        self.refunds = 0.0
        self.demand = 0.0
        self.demand_at = now

    def set_owners(self, names: Sequence[str], own: str, now: float) -> None:
        """Take in who owns the customer's budget."""
        self.part = 1.0 / max(1, len(names))
        full = self.limit.burst * self.part
        self.others = {
            name: self.others.get(name) or OwnerView(full, now - FRESH_S)
            for name in names
            if name != own
        }

    def resize(self, now: float) -> None:
        """Fit the bucket to fraction, limit and what is lent."""
        lent = sum(lent.tokens for lent in self.lent.values())
        capacity = max(0.0, self.fraction * self.limit.burst - lent)
        self.bucket.resize(self.fraction * self.limit.rate, capacity, now)

    def advance(self, now: float) -> None:
        """Accrue tokens; drop loans of which the time has passed."""
        self.loans = [loan for loan in self.loans if now < loan.until]
        over = [key for key, lent in self.lent.items() if now >= lent.until]
        if over:
            lapsed_at = max(self.lent[key].until for key in over)
            # Until then the smaller capacity bounds what accrues.
            self.bucket.advance(lapsed_at)
            for key in over:
                del self.lent[key]
            self.resize(lapsed_at)
        self.bucket.advance(now)
        self._pay_debt()
        self._note_silence(now)

    def is_idle(self) -> bool:
        """Return whether nothing is lent, borrowed, owed or under way."""
        under_way = self.loans or self.lent or self.asks or self.returns
        return not under_way and self.refunds == 0 and self.bucket.level >= 0

    def held(self, use_own: bool) -> float:
        """Return the tokens at hand."""
        own = self.bucket.level if use_own else min(0.0, self.bucket.level)
        return own + sum(loan.tokens for loan in self.loans)

    def take(self, tokens: float, use_own: bool, now: float) -> bool:
        """Take tokens, borrowed ones first; return whether there were enough."""
        if tokens > self.held(use_own):
            return False
        left = tokens
        for loan in self.loans:
            part = min(loan.tokens, left)
            if part > 0:
                loan.tokens -= part
                loan.used_at = now
                left -= part
        if left > 0:
            self.bucket.level -= left
        self._note_demand(tokens, now)
        return True

    def refund(self, tokens: float, now: float) -> None:
        """Give back unused tokens, to an owner if this instance is none."""
        if self.fraction > 0 or tokens < 0:
            self.bucket.give(tokens, now)
        else:
            self.refunds += tokens

    # Lending and borrowing.

    def lend(
        self, borrower: Holder, ask: LoanRequest, use_own: bool, fresh: bool, now: float
    ) -> LoanGrant:
        """Take back what is returned and lend what is asked for, if there.

        An ask that is not `fresh` may have come before: it is not refunded.
        """
        for returned in ask.returned:
            lent = self.lent.pop((borrower, returned.loan), None)
            if lent is not None:
                self.resize(now)
                self.bucket.give(min(returned.unused, lent.tokens), now)
        if fresh:
            self.bucket.give(ask.refund, now)
        key = (borrower, ask.loan)
        tokens = 0.0
        if use_own and fresh:
            tokens = max(0.0, min(ask.tokens, self.bucket.level))
        if tokens > 0:
            self.bucket.level -= tokens
            self.lent[key] = Lent(tokens, now + LOAN_S + LOAN_MARGIN_S)
            self.resize(now)
        level = max(0.0, self.bucket.level) if use_own else 0.0
        return LoanGrant(self.customer, ask.loan, tokens, level)

    def borrow(self, owner: str, grant: LoanGrant, now: float) -> None:
        """Take in a loan, unless it is late, doubled, or was not asked for."""
        asked = self.asks.get(grant.loan)
        if asked is None or asked[0] != owner:
            return
        del self.asks[grant.loan]
        if owner in self.others:
            self.others[owner] = OwnerView(grant.level, now)
        until = asked[1] + LOAN_S
        if grant.tokens > 0 and now < until:
            loan = Loan(grant.loan, owner, grant.tokens, until, now)
            self.loans.append(loan)
        self._pay_debt()

    def ask(
        self, tokens: float, use_own: bool, numbers: Iterator[int], now: float
    ) -> tuple[SendShareMessage, ...]:
        """Return requests for what a charge lacks; none if it is out of reach."""
        held = self.held(use_own)
        if self.known(now) + held < tokens and self._views_are_fresh(now):
            return ()
        lacking = tokens - held + self._demand(now) * AHEAD_S
        free = [name for name, view in self.others.items() if view.asked_at is None]
        levels = {name: self._level_of(name, now) for name in free}
        sends = []
        for name in sorted(free, key=levels.get, reverse=True):
            if lacking <= 0:
                break
            wanted = min(lacking, max(levels[name], lacking / len(free)))
            lacking -= wanted
            sends.append(self._ask_one(name, wanted, numbers, now))
        return tuple(sends)

    def give_back(
        self, numbers: Iterator[int], now: float
    ) -> tuple[SendShareMessage, ...]:
        """Return spent and idle loans, and refunds, to the owners."""
        for loan in list(self.loans):
            if loan.tokens <= 0 or now >= loan.used_at + IDLE_LOAN_S:
                self.loans.remove(loan)
                returned = ReturnedLoan(loan.number, max(0.0, loan.tokens))
                self.returns.setdefault(loan.owner, []).append(returned)
        names = list(self.returns)
        if self.refunds > 0:
            names = list(dict.fromkeys([*names, *itertools.islice(self.others, 1)]))
        return tuple(self._ask_one(name, 0.0, numbers, now) for name in names)

    def awaits_answer(self, now: float) -> bool:
        """Return whether an owner's answer is still to be expected."""
        return any(
            view.asked_at is not None and not view.silent
            for view in self.others.values()
        )

    def known(self, now: float) -> float:
        """Return the tokens that the other owners are thought to have."""
        return sum(self._level_of(name, now) for name in self.others)

    def wait_for(self, tokens: float, use_own: bool, now: float) -> float:
        """Return the seconds until the owners within reach have so many."""
        lacking = tokens - self.held(use_own) - self.known(now)
        reachable = self.fraction if use_own else 0.0
        silent = sum(view.silent for view in self.others.values())
        reachable += self.part * (len(self.others) - silent)
        rate = self.limit.rate * max(MIN_REACHABLE, min(1.0, reachable))
        return max(LEAST_RETRY_S, lacking / rate)

    def _views_are_fresh(self, now):
        return all(
            view.silent or now < view.seen_at + FRESH_S for view in self.others.values()
        )

    def _ask_one(self, name, tokens, numbers, now):
        number = next(numbers)
        if tokens > 0:
            self.others[name].asked_at = now
            self.asks[number] = (name, now)
        returned = tuple(self.returns.pop(name, ()))
        refund = 0.0
        if name in self.others:
            refund, self.refunds = self.refunds, 0.0
        return SendShareMessage(
            name, LoanRequest(self.customer, number, tokens, refund, returned)
        )

    def _level_of(self, name, now):
        view = self.others[name]
        if view.silent:
            return 0.0
        grown = view.level + self.limit.rate * self.part * (now - view.seen_at)
        return min(self.limit.burst * self.part, grown)

    def _note_silence(self, now):
        for view in self.others.values():
            if view.asked_at is None:
                continue
            waited = now - view.asked_at
            view.silent = waited >= ANSWER_S
            if waited >= SILENT_RETRY_S:
                # Worth one more try, which an answer of any kind ends.
                view.asked_at = None
                view.silent = False
        late = [n for n, (_, asked_at) in self.asks.items() if now >= asked_at + LOAN_S]
        for number in late:
            del self.asks[number]

    def _pay_debt(self):
        for loan in self.loans:
            if self.bucket.level >= 0:
                return
            part = min(loan.tokens, -self.bucket.level)
            loan.tokens -= part
            self.bucket.level += part

    def _note_demand(self, tokens, now):
        self.demand = self._demand(now) + tokens / DEMAND_SPAN_S
        self.demand_at = now

    def _demand(self, now):
        """Return the recent demand in tokens a second, fading with time."""
        elapsed = max(0.0, now - self.demand_at)
        return self.demand * max(0.0, 1.0 - elapsed / DEMAND_SPAN_S)

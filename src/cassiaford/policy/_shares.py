"""Shares of customers' rates and bursts, held by the instances of the fleet.

Each customer's rate and burst are split evenly over a few owners. Tokens
follow demand by loans between instances: a loan moves tokens, and with them
as much of the burst, for a fraction of a second. The owner deducts before it
sends, so a lost message loses tokens and never makes any; the borrower's time
runs from its request and the owner's from its answer, so the borrower's ends
first. A loan that is used up or idle is returned with a later message.

A ledger in the key-value service names the incarnations that may own shares,
and nothing else: it is written when one joins, leaves, or is certainly gone.
An instance shrinks its shares as soon as it learns of a new ledger, and lets
them grow once every holder has reported that very ledger and all loans from
before have lapsed; it asks for reports only if it has something to gain.
"""

import itertools
from collections.abc import Iterable, Mapping

from cassiaford.policy._ledger_reports import (
    POLLS_AT_ONCE,
    LedgerReports,
    names_of,
)
from cassiaford.policy._owners import (
    OWNERS,
    Holder,
    Ledger,
    OwnerTable,
    rendezvous_score,
)
from cassiaford.policy._share import LOAN_MARGIN_S, LOAN_S, Limit, Share
from cassiaford.policy._share_messages import (
    LedgerPoll,
    LedgerReport,
    LoanGrant,
    LoanRequest,
    SendShareMessage,
    ShareMessage,
)

# An instance whose clock jumped by more than this was paused: it may have been
# taken for gone, and waits for word before it uses its shares again.
PAUSE_S = 2.0
PEERS_TO_ASK = 3
LOANS_LAPSED_S = LOAN_S + 2 * LOAN_MARGIN_S
# A customer whose limits have not arrived yet may try again after this time.
UNKNOWN_RETRY_S = 1.0
SWEEP_S = 10.0
UNUSED_S = 60.0
NO_LIMIT = Limit(1.0, 0.0)


class RateShares:
    """The shares of one instance for all customers.

    Times are in seconds on the instance's monotonic clock. Call `tick`
    several times a second, and send what it and the other methods return.
    """

    def __init__(
        self, instance: str, incarnation: int, now: float, owners: int = OWNERS
    ):
        self.holder = Holder(instance, incarnation)
        self.ledger = Ledger()
        self.table = OwnerTable(owners)
        self.limits = {}
        self.shares = {}
        self._busy = set()
        self._swept_at = now
        self.founder = False
        self.converged = False
        self.awaits_growth = False
        self.suspended = False
        self.left = False
        self.gone = {}
        self.last_tick = now
        self.reports = LedgerReports(self.holder, now)
        self._woke_at = now
        self._numbers = itertools.count(1)
        self._last_asks = {}

    # Charging.

    def charge(self, customer: str, tokens: float, now: float) -> bool:
        """Take tokens if the instance holds enough; return whether it does."""
        share = self._current(customer, now)
        return share.take(tokens, not self.suspended, now)

    def refund(self, customer: str, tokens: float, now: float) -> None:
        """Give back tokens that were not used; negative tokens are a debt."""
        if customer in self.limits:
            self._current(customer, now).refund(tokens, now)

    def request_loans(
        self, customer: str, tokens: float, now: float
    ) -> tuple[SendShareMessage, ...]:
        """Return requests for the tokens that a charge lacks.

        Returns nothing if the owners are known to have too little together.
        """
        share = self._current(customer, now)
        return share.ask(tokens, not self.suspended, self._numbers, now)

    def awaits_reply(self, customer: str, now: float) -> bool:
        """Return whether an owner's answer is still to be expected."""
        return self._current(customer, now).awaits_answer(now)

    def retry_after(self, customer: str, tokens: float, now: float) -> float:
        """Return the seconds until the fleet has so many tokens again."""
        if customer not in self.limits:
            return UNKNOWN_RETRY_S
        share = self._current(customer, now)
        return share.wait_for(tokens, not self.suspended, now)

    # Messages and time.

    def receive(
        self, sender: Holder, message: ShareMessage, now: float
    ) -> tuple[SendShareMessage, ...]:
        """Take in a message and return the answers to it."""
        match message:
            case LoanRequest():
                return self._on_ask(sender, message, now)
            case LoanGrant():
                if message.customer in self.limits:
                    share = self._current(message.customer, now)
                    share.borrow(sender.instance, message, now)
            case LedgerPoll():
                return self._on_poll(sender, message)
            case LedgerReport():
                self._on_report(sender, message, now)
        return ()

    def tick(
        self, now: float, peers: Iterable[str] = ()
    ) -> tuple[SendShareMessage, ...]:
        """Do what is due; `peers` can tell the ledger if the service cannot."""
        self._check_pause(now)
        self.last_tick = now
        sends = []
        for name in list(self._busy):
            share = self._share(name, now)
            share.advance(now)
            sends.extend(share.give_back(self._numbers, now))
            if share.is_idle():
                self._busy.discard(name)
        self._drop_unused(now)
        sends.extend(self._poll(peers, now))
        self._grow(now)
        return tuple(sends)

    # Configuration and ledger.

    def configure(self, limits: Mapping[str, Limit], now: float) -> None:
        """Put the customers' limits in force.

        A customer that was not in the previous configuration has its whole
        burst; those of the first configuration may have used theirs before
        this instance started.
        """
        known = self.limits
        self.limits = dict(limits)
        for name in [name for name in self.shares if name not in limits]:
            del self.shares[name]
            self._busy.discard(name)
        self.table.update(self.limits, self._names())
        for name, limit in self.limits.items():
            if self._owned(name) > 0 or name in self.shares:
                share = self._share(name, now)
                share.limit = limit
                share.resize(now)
                if name not in known and self.converged:
                    self._fill(share, now, full=self.founder or bool(known))
        self.awaits_growth = self._has_to_gain()

    def apply_ledger(self, ledger: Ledger, now: float) -> bool:
        """Act by a ledger if it is later than the present one."""
        if ledger.epoch <= self.ledger.epoch:
            return False
        self.ledger = ledger
        self.table.update(self.limits, self._names())
        self.reports.restart(ledger)
        self.founder = False
        self.converged = False
        for name, share in self.shares.items():
            share.fraction = min(share.fraction, self._owned(name))
            share.set_owners(self.table.owners(name), self.holder.instance, now)
            share.resize(now)
        self.awaits_growth = self._has_to_gain()
        return True

    def found(self, ledger: Ledger, now: float) -> None:
        """Begin as the only holder of the first ledger, with full buckets."""
        self.apply_ledger(ledger, now)
        self.founder = True
        self.converged = True
        for name in self.limits:
            self._fill(self._share(name, now), now, full=True)
        self.awaits_growth = False

    def apply_service_ledger(self, ledger: Ledger, read_at: float, now: float) -> None:
        """Take in the ledger as the service has it.

        `read_at` is when the reading began: only a reading that began after
        a pause tells what was missed in it.
        """
        self._check_pause(now)
        if self._is_own_first(ledger):
            self.found(ledger, now)
        else:
            self.apply_ledger(ledger, now)
        if read_at >= self._woke_at:
            self.suspended = False

    def mark_gone(self, instance: str, incarnation: int) -> None:
        """Take note that an incarnation, and any before it, runs no more."""
        self.gone[instance] = max(incarnation, self.gone.get(instance, 0))
        if self._is_gone(self.holder):
            self.left = True

    def next_ledger(self) -> Ledger | None:
        """Return the ledger that this instance should write, if any.

        An instance enters and leaves by itself; the first holder that is
        left removes those that are gone.
        """
        present = self.ledger.incarnation_of(self.holder.instance)
        if present is not None and present > self.holder.incarnation:
            return None
        if self.left:
            wanted = present == self.holder.incarnation
            return self.ledger.without(self.holder) if wanted else None
        if present != self.holder.incarnation:
            return self.ledger.with_holder(self.holder)
        gone = [holder for holder in self.ledger.holders if self._is_gone(holder)]
        left = [holder for holder in self.ledger.holders if holder not in gone]
        if gone and left[0] == self.holder:
            return Ledger(self.ledger.epoch + 1, tuple(left))
        return None

    def leave(self, now: float) -> None:
        """Use and lend no share any more, for good."""
        self.left = True
        for share in self.shares.values():
            share.fraction = 0.0
            share.resize(now)

    def is_connected(self) -> bool:
        """Return whether the ledger is settled and all its holders are heard."""
        known = self.holder in self.ledger.holders
        return known and self.converged and not self.reports.missing(self.ledger)

    def check_pause(self, now: float) -> bool:
        """Return whether the instance was paused and lacks word since."""
        self._check_pause(now)
        return self.suspended

    def _is_own_first(self, ledger):
        alone = ledger.epoch == 1 and ledger.holders == (self.holder,)
        return alone and self.ledger.epoch == 0

    def _is_gone(self, holder):
        return holder.incarnation <= self.gone.get(holder.instance, -1)

    # Shares.

    def _current(self, customer, now):
        self._check_pause(now)
        share = self._share(customer, now)
        share.advance(now)
        self._busy.add(customer)
        return share

    def _drop_unused(self, now):
        """Forget customers that this instance neither owns nor serves."""
        if now < self._swept_at + SWEEP_S:
            return
        self._swept_at = now
        for name, share in list(self.shares.items()):
            unused = share.fraction == 0 and now > share.demand_at + UNUSED_S
            if unused and name not in self._busy:
                del self.shares[name]

    def _share(self, customer, now):
        share = self.shares.get(customer)
        if share is None:
            share = Share(customer, self.limits.get(customer, NO_LIMIT), now)
            share.set_owners(self.table.owners(customer), self.holder.instance, now)
            self.shares[customer] = share
        return share

    def _fill(self, share, now, full):
        share.fraction = self._owned(share.customer)
        share.resize(now)
        if full:
            share.bucket.level = share.bucket.capacity

    def _owned(self, customer):
        if self.left or self.holder not in self.ledger.holders:
            return 0.0
        return self.table.fraction(customer, self.holder.instance)

    def _names(self):
        return names_of(self.ledger.holders)

    def _has_to_gain(self):
        return any(self._owned(name) > self._fraction(name) for name in self.limits)

    def _fraction(self, customer):
        share = self.shares.get(customer)
        return share.fraction if share else 0.0

    # Messages.

    def _on_ask(self, sender, ask, now):
        if ask.customer not in self.limits:
            return (
                SendShareMessage(
                    sender.instance, LoanGrant(ask.customer, ask.loan, 0.0, 0.0)
                ),
            )
        fresh = ask.loan > self._last_asks.get(sender, 0)
        if fresh:
            self._last_asks[sender] = ask.loan
        share = self._current(ask.customer, now)
        grant = share.lend(sender, ask, not self.suspended, fresh, now)
        return (SendShareMessage(sender.instance, grant),) if ask.tokens > 0 else ()

    def _on_poll(self, sender, poll):
        ledger = self.ledger if self.ledger.epoch > poll.epoch else None
        report = LedgerReport(
            poll.number, self.ledger.epoch, not self.suspended, ledger
        )
        sends = [SendShareMessage(sender.instance, report)]
        if poll.epoch > self.ledger.epoch:
            poll = self.reports.next_poll(self.ledger.epoch)
            sends.append(SendShareMessage(sender.instance, poll))
        return tuple(sends)

    def _on_report(self, sender, report, now):
        if report.ledger is not None:
            self.apply_ledger(report.ledger, now)
        self.reports.note(sender, report)
        if self.suspended and self.reports.confirmed(self.ledger):
            self.suspended = False

    def _poll(self, peers, now):
        wanted = self._to_poll(peers, now)[:POLLS_AT_ONCE]
        if not wanted or not self.reports.poll_due(now):
            return []
        poll = self.reports.next_poll(self.ledger.epoch)
        return [SendShareMessage(instance, poll) for instance in wanted]

    def _to_poll(self, peers, now):
        own = self.holder.instance
        if not self.ledger.epoch:
            # Others each time, since some may not know it either.
            salt = f"{own}/{now}"
            ranked = sorted(peers, key=lambda name: rendezvous_score(salt, name))
            return [name for name in ranked if name != own][:PEERS_TO_ASK]
        if self.suspended:
            return [name for name in self._names() if name != own]
        if self.awaits_growth:
            return names_of(self.reports.missing(self.ledger))
        return []

    # Growth and pauses.

    def _grow(self, now):
        if not self.awaits_growth or self.suspended:
            return
        complete_s = self.reports.complete_for(self.ledger, now)
        if self.reports.complete_since is None or complete_s < LOANS_LAPSED_S:
            return
        self.converged = True
        self.awaits_growth = False
        for name in self.limits:
            if self._owned(name):
                self._fill(self._share(name, now), now, full=False)

    def _check_pause(self, now):
        if now - self.last_tick > PAUSE_S:
            self.suspended = True
            self._woke_at = now
            self.reports.woke(now)
            self.last_tick = now

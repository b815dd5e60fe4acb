"""Shares of customers' rates and bursts, distributed over the fleet's instances.

Each customer's rate and burst are split evenly over a few owners. Loans between
instances move tokens to where the demand is: a loan transfers tokens, and the
same amount of the burst, for a fraction of a second. The owner deducts before
it sends, so a lost message loses tokens and never creates any. A loan's time
starts with the borrower's request at the borrower and with the reply at the
owner, so it ends at the borrower first. A used or idle loan is returned with a
later message.

A ledger in the key-value service names the incarnations that may own shares,
and nothing else: it is written when one joins, leaves, or has certainly ended.
An instance reduces its shares as soon as it receives a new ledger. It increases
them once every holder has reported that ledger and all earlier loans have
expired; it polls for the reports only if one of its shares can grow.
"""

import itertools
from collections.abc import Iterable, Mapping

from cassiaford.policy._ledger_reports import (
    MAX_POLLS_PER_ROUND,
    LedgerReports,
    instance_names,
)
from cassiaford.policy._owners import (
    OWNERS_PER_CUSTOMER,
    Holder,
    Ledger,
    OwnerTable,
    rendezvous_score,
)
from cassiaford.policy._share import LOAN_MARGIN_S, LOAN_TTL_S, Limit, Share
from cassiaford.policy._share_messages import (
    LedgerPoll,
    LedgerReport,
    LoanGrant,
    LoanRequest,
    SendShareMessage,
    ShareMessage,
)

# An instance whose clock jumped by more than this was paused. Others may have
# removed it from the ledger, so it needs confirmation to use its shares again.
PAUSE_S = 2.0
PEERS_TO_POLL = 3
LOANS_EXPIRED_AFTER_S = LOAN_TTL_S + 2 * LOAN_MARGIN_S
# A customer whose limits have not arrived yet may retry after this time.
UNKNOWN_CUSTOMER_RETRY_S = 1.0
SWEEP_INTERVAL_S = 10.0
UNUSED_SHARE_TTL_S = 60.0
NO_LIMIT = Limit(1.0, 0.0)


class RateShares:
    """The shares of one instance for all customers.

    Times are in seconds on the instance's monotonic clock. Call `tick`
    several times a second, and send what it and the other methods return.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        now: float,
        owners: int = OWNERS_PER_CUSTOMER,
    ):
        self.holder = Holder(instance, incarnation)
        self.ledger = Ledger()
        self.table = OwnerTable(owners)
        self.limits = {}
        self.shares = {}
        self._active = set()
        self._swept_at = now
        self.is_first_holder = False
        self.converged = False
        self.awaits_growth = False
        self.suspended = False
        self.left = False
        self.gone = {}
        self.last_tick = now
        self.reports = LedgerReports(self.holder, now)
        self._resumed_at = now
        self._numbers = itertools.count(1)
        self._last_loans = {}

    # Charging.

    def charge(self, customer: str, tokens: float, now: float) -> bool:
        """Take tokens if enough are available; return whether they were."""
        share = self._activate(customer, now)
        return share.take(tokens, not self.suspended, now)

    def refund(self, customer: str, tokens: float, now: float) -> None:
        """Refund tokens that were not used; negative tokens are a debt."""
        if customer in self.limits:
            self._activate(customer, now).refund(tokens, now)

    def request_loans(
        self, customer: str, tokens: float, now: float
    ) -> tuple[SendShareMessage, ...]:
        """Return loan requests for the tokens that a charge lacks.

        Returns none if all owners together are known to have too few tokens.
        """
        share = self._activate(customer, now)
        return share.request_loans(tokens, not self.suspended, self._numbers, now)

    def awaits_reply(self, customer: str, now: float) -> bool:
        """Return whether a reply of an owner is expected."""
        return self._activate(customer, now).awaits_reply(now)

    def retry_after(self, customer: str, tokens: float, now: float) -> float:
        """Return the seconds until the fleet has enough tokens."""
        if customer not in self.limits:
            return UNKNOWN_CUSTOMER_RETRY_S
        share = self._activate(customer, now)
        return share.seconds_until(tokens, not self.suspended, now)

    # Messages and time.

    def receive(
        self, sender: Holder, message: ShareMessage, now: float
    ) -> tuple[SendShareMessage, ...]:
        """Process a message and return the replies to it."""
        match message:
            case LoanRequest():
                return self._on_loan_request(sender, message, now)
            case LoanGrant():
                if message.customer in self.limits:
                    share = self._activate(message.customer, now)
                    share.apply_grant(sender.instance, message, now)
            case LedgerPoll():
                return self._on_poll(sender, message)
            case LedgerReport():
                self._on_report(sender, message, now)
        return ()

    def tick(
        self, now: float, peers: Iterable[str] = ()
    ) -> tuple[SendShareMessage, ...]:
        """Perform the work that is due; return the messages to send.

        `peers` can provide the ledger if the service is unreachable.
        """
        self._check_pause(now)
        self.last_tick = now
        sends = []
        for name in list(self._active):
            share = self._get_or_add(name, now)
            share.advance(now)
            sends.extend(share.return_loans(self._numbers, now))
            if share.is_idle():
                self._active.discard(name)
        self._remove_unused(now)
        sends.extend(self._poll(peers, now))
        self._grow(now)
        return tuple(sends)

    # Configuration and ledger.

    def configure(self, limits: Mapping[str, Limit], now: float) -> None:
        """Apply the customers' limits.

        A customer that was not in the previous configuration gets its whole
        burst. Customers of the first configuration may have used theirs before
        this instance started.
        """
        previous = self.limits
        self.limits = dict(limits)
        for name in [name for name in self.shares if name not in limits]:
            del self.shares[name]
            self._active.discard(name)
        self.table.update(self.limits, self._holder_names())
        for name, limit in self.limits.items():
            if self._owned(name) > 0 or name in self.shares:
                share = self._get_or_add(name, now)
                share.limit = limit
                share.resize(now)
                if name not in previous and self.converged:
                    self._set_to_owned(
                        share, now, fill=self.is_first_holder or bool(previous)
                    )
        self.awaits_growth = self._owns_more_than_it_holds()

    def apply_ledger(self, ledger: Ledger, now: float) -> bool:
        """Apply a ledger if it is later than the current one; return whether it is."""
        if ledger.epoch <= self.ledger.epoch:
            return False
        self.ledger = ledger
        self.table.update(self.limits, self._holder_names())
        self.reports.collect_for(ledger)
        self.is_first_holder = False
        self.converged = False
        for name, share in self.shares.items():
            share.fraction = min(share.fraction, self._owned(name))
            share.set_owners(self.table.owners(name), self.holder.instance, now)
            share.resize(now)
        self.awaits_growth = self._owns_more_than_it_holds()
        return True

    def apply_first_ledger(self, ledger: Ledger, now: float) -> None:
        """Apply the first ledger, with this as the only holder and full buckets."""
        self.apply_ledger(ledger, now)
        self.is_first_holder = True
        self.converged = True
        for name in self.limits:
            self._set_to_owned(self._get_or_add(name, now), now, fill=True)
        self.awaits_growth = False

    def apply_service_ledger(self, ledger: Ledger, read_at: float, now: float) -> None:
        """Apply the ledger that was read from the service.

        `read_at` is when the read started: only a read that started after a
        pause shows what was missed during it.
        """
        self._check_pause(now)
        if self._is_own_first(ledger):
            self.apply_first_ledger(ledger, now)
        else:
            self.apply_ledger(ledger, now)
        if read_at >= self._resumed_at:
            self.suspended = False

    def mark_gone(self, instance: str, incarnation: int) -> None:
        """Record that an incarnation and all earlier ones have ended."""
        self.gone[instance] = max(incarnation, self.gone.get(instance, 0))
        if self._is_gone(self.holder):
            self.left = True

    def next_ledger(self) -> Ledger | None:
        """Return the ledger that this instance should write, if any.

        Each instance adds and removes itself; the first remaining holder removes
        those that have ended.
        """
        current = self.ledger.incarnation_of(self.holder.instance)
        if current is not None and current > self.holder.incarnation:
            return None
        if self.left:
            is_holder = current == self.holder.incarnation
            return self.ledger.without(self.holder) if is_holder else None
        if current != self.holder.incarnation:
            return self.ledger.with_holder(self.holder)
        gone = [holder for holder in self.ledger.holders if self._is_gone(holder)]
        remaining = [holder for holder in self.ledger.holders if holder not in gone]
        if gone and remaining[0] == self.holder:
            return Ledger(self.ledger.epoch + 1, tuple(remaining))
        return None

    def leave(self, now: float) -> None:
        """Stop using and lending all shares permanently."""
        self.left = True
        for share in self.shares.values():
            share.fraction = 0.0
            share.resize(now)

    def is_connected(self) -> bool:
        """Return whether the shares have converged and all holders have reported."""
        is_holder = self.holder in self.ledger.holders
        return is_holder and self.converged and not self.reports.missing(self.ledger)

    def check_pause(self, now: float) -> bool:
        """Return whether a pause still suspends this instance's shares."""
        self._check_pause(now)
        return self.suspended

    def _is_own_first(self, ledger):
        alone = ledger.epoch == 1 and ledger.holders == (self.holder,)
        return alone and self.ledger.epoch == 0

    def _is_gone(self, holder):
        return holder.incarnation <= self.gone.get(holder.instance, -1)

    # Shares.

    def _activate(self, customer, now):
        self._check_pause(now)
        share = self._get_or_add(customer, now)
        share.advance(now)
        self._active.add(customer)
        return share

    def _remove_unused(self, now):
        """Remove shares of customers that this instance neither owns nor serves."""
        if now < self._swept_at + SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        for name, share in list(self.shares.items()):
            unused = share.fraction == 0 and now > share.demand_at + UNUSED_SHARE_TTL_S
            if unused and name not in self._active:
                del self.shares[name]

    def _get_or_add(self, customer, now):
        share = self.shares.get(customer)
        if share is None:
            share = Share(customer, self.limits.get(customer, NO_LIMIT), now)
            share.set_owners(self.table.owners(customer), self.holder.instance, now)
            self.shares[customer] = share
        return share

    def _set_to_owned(self, share, now, fill):
        share.fraction = self._owned(share.customer)
        share.resize(now)
        if fill:
            share.bucket.level = share.bucket.capacity

    def _owned(self, customer):
        if self.left or self.holder not in self.ledger.holders:
            return 0.0
        return self.table.fraction(customer, self.holder.instance)

    def _holder_names(self):
        return instance_names(self.ledger.holders)

    def _owns_more_than_it_holds(self):
        return any(self._owned(name) > self._fraction(name) for name in self.limits)

    def _fraction(self, customer):
        share = self.shares.get(customer)
        return share.fraction if share else 0.0

    # Messages.

    def _on_loan_request(self, sender, request, now):
        if request.customer not in self.limits:
            return (
                SendShareMessage(
                    sender.instance, LoanGrant(request.customer, request.loan, 0.0, 0.0)
                ),
            )
        is_new = request.loan > self._last_loans.get(sender, 0)
        if is_new:
            self._last_loans[sender] = request.loan
        share = self._activate(request.customer, now)
        grant = share.lend(sender, request, not self.suspended, is_new, now)
        return (SendShareMessage(sender.instance, grant),) if request.tokens > 0 else ()

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
        self.reports.add(sender, report)
        if self.suspended and self.reports.confirmed(self.ledger):
            self.suspended = False

    def _poll(self, peers, now):
        targets = self._poll_targets(peers, now)[:MAX_POLLS_PER_ROUND]
        if not targets or not self.reports.poll_due(now):
            return []
        poll = self.reports.next_poll(self.ledger.epoch)
        return [SendShareMessage(instance, poll) for instance in targets]

    def _poll_targets(self, peers, now):
        own = self.holder.instance
        if not self.ledger.epoch:
            # Choose different peers each time, as some may not know it either.
            salt = f"{own}/{now}"
            ranked = sorted(peers, key=lambda name: rendezvous_score(salt, name))
            return [name for name in ranked if name != own][:PEERS_TO_POLL]
        if self.suspended:
            return [name for name in self._holder_names() if name != own]
        if self.awaits_growth:
            return instance_names(self.reports.missing(self.ledger))
        return []

    # Growth and pauses.

    def _grow(self, now):
        if not self.awaits_growth or self.suspended:
            return
        complete_s = self.reports.complete_for_s(self.ledger, now)
        if self.reports.complete_since is None or complete_s < LOANS_EXPIRED_AFTER_S:
            return
        self.converged = True
        self.awaits_growth = False
        for name in self.limits:
            if self._owned(name):
                self._set_to_owned(self._get_or_add(name, now), now, fill=False)

    def _check_pause(self, now):
        if now - self.last_tick > PAUSE_S:
            self.suspended = True
            self._resumed_at = now
            self.reports.record_pause(now)
            self.last_tick = now

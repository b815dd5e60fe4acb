"""What other holders have reported of the ledger that they act by."""

from collections.abc import Iterable

from cassiaford.policy._owners import Holder, Ledger
from cassiaford.policy._share_messages import LedgerPoll, LedgerReport

POLL_S = 0.2
# Members that stay silent, as in a long cut, are polled this seldom.
SLOW_POLL_S = 2.0
FRUITLESS_POLLS = 10
POLLS_AT_ONCE = 64


class LedgerReports:
    """Polls the other holders and keeps their reports.

    After a pause of the own instance only reports to later polls confirm that
    nothing was missed.
    """

    def __init__(self, holder: Holder, now: float):
        self.holder = holder
        self.complete_since = None
        self._epochs = {}
        self._confirmed_by = set()
        self._number = 0
        self._first_valid = 0
        self._fruitless = 0
        self._polled_at = now - SLOW_POLL_S

    def restart(self, ledger: Ledger) -> None:
        """Begin to collect the reports of a new ledger."""
        self.complete_since = None
        self._fruitless = 0
        self._epochs = {
            holder: epoch
            for holder, epoch in self._epochs.items()
            if holder in ledger.holders
        }

    def woke(self, now: float) -> None:
        """Take note of a pause: no report from before confirms anything."""
        self._confirmed_by.clear()
        self._first_valid = self._number + 1
        self._polled_at = now - SLOW_POLL_S

    def next_poll(self, epoch: int) -> LedgerPoll:
        """Return a poll with a number of its own."""
        self._number += 1
        return LedgerPoll(self._number, epoch)

    def poll_due(self, now: float) -> bool:
        """Return whether it is time for polls; if so, take them as sent."""
        often = self._fruitless < FRUITLESS_POLLS
        if now < self._polled_at + (POLL_S if often else SLOW_POLL_S):
            return False
        self._polled_at = now
        self._fruitless += 1
        return True

    def note(self, sender: Holder, report: LedgerReport) -> None:
        """Keep a report."""
        self._fruitless = 0
        self._epochs[sender] = max(report.epoch, self._epochs.get(sender, 0))
        if report.confirmed and report.number >= self._first_valid:
            self._confirmed_by.add(sender)

    def confirmed(self, ledger: Ledger) -> bool:
        """Return whether most holders, this one among them, have confirmed."""
        others = len(ledger.holders) - 1
        return 0 < others <= 2 * len(self._confirmed_by)

    def missing(self, ledger: Ledger) -> list[Holder]:
        """Return the other holders that have not reported this very ledger."""
        return [
            holder
            for holder in ledger.holders
            if holder != self.holder and self._epochs.get(holder) != ledger.epoch
        ]

    def complete_for(self, ledger: Ledger, now: float) -> float:
        """Return for how many seconds no report has been missing."""
        if self.missing(ledger):
            self.complete_since = None
            return 0.0
        if self.complete_since is None:
            self.complete_since = now
        return now - self.complete_since


def names_of(holders: Iterable[Holder]) -> list[str]:
    """Return the names of the instances."""
    return [holder.instance for holder in holders]

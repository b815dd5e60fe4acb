"""Collection of the ledger epochs that other holders report."""

from collections.abc import Iterable

from cassiaford.policy._owners import Holder, Ledger
from cassiaford.policy._share_messages import LedgerPoll, LedgerReport

POLL_INTERVAL_S = 0.2
# The interval while no holder replies, as in a long network partition.
SLOW_POLL_INTERVAL_S = 2.0
MAX_FAST_POLLS = 10
MAX_POLLS_PER_ROUND = 64


class LedgerReports:
    """The reports of the other holders, and the schedule of polls for them.

    After a pause of this instance, only reports in reply to later polls confirm
    that it has not missed a ledger.
    """

    def __init__(self, holder: Holder, now: float):
        self.holder = holder
        self.complete_since = None
        self._epochs = {}
        self._confirmed_by = set()
        self._number = 0
        self._min_valid_number = 0
        self._polls_without_report = 0
        self._polled_at = now - SLOW_POLL_INTERVAL_S

    def collect_for(self, ledger: Ledger) -> None:
        """Start to collect the reports of a new ledger."""
        self.complete_since = None
        self._polls_without_report = 0
        self._epochs = {
            holder: epoch
            for holder, epoch in self._epochs.items()
            if holder in ledger.holders
        }

    def record_pause(self, now: float) -> None:
        """Record that a pause has ended: earlier reports confirm nothing."""
        self._confirmed_by.clear()
        self._min_valid_number = self._number + 1
        self._polled_at = now - SLOW_POLL_INTERVAL_S

    def next_poll(self, epoch: int) -> LedgerPoll:
        """Return a poll with a unique number."""
        self._number += 1
        return LedgerPoll(self._number, epoch)

    def poll_due(self, now: float) -> bool:
        """Return whether polls are due; if so, count them as sent."""
        fast = self._polls_without_report < MAX_FAST_POLLS
        if now < self._polled_at + (POLL_INTERVAL_S if fast else SLOW_POLL_INTERVAL_S):
            return False
        self._polled_at = now
        self._polls_without_report += 1
        return True

    def add(self, sender: Holder, report: LedgerReport) -> None:
        """Add a report."""
        self._polls_without_report = 0
        self._epochs[sender] = max(report.epoch, self._epochs.get(sender, 0))
        if report.confirmed and report.number >= self._min_valid_number:
            self._confirmed_by.add(sender)

    def confirmed(self, ledger: Ledger) -> bool:
        """Return whether most holders, including this one, have confirmed."""
        others = len(ledger.holders) - 1
        return 0 < others <= 2 * len(self._confirmed_by)

    def missing(self, ledger: Ledger) -> list[Holder]:
        """Return the other holders that have not reported this ledger's epoch."""
        return [
            holder
            for holder in ledger.holders
            if holder != self.holder and self._epochs.get(holder) != ledger.epoch
        ]

    def complete_for_s(self, ledger: Ledger, now: float) -> float:
        """Return for how many seconds all reports have been present."""
        if self.missing(ledger):
            self.complete_since = None
            return 0.0
        if self.complete_since is None:
            self.complete_since = now
        return now - self.complete_since


def instance_names(holders: Iterable[Holder]) -> list[str]:
    """Return the names of the instances."""
    return [holder.instance for holder in holders]

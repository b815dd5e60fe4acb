"""Which incarnations of instances are certainly gone.

Silence proves nothing: an instance may be paused or cut off. Certain is a
later incarnation of the same instance, or that the platform's list, which lags
by seconds, has been without an instance for longer than it lags.
"""

from collections.abc import Iterable

from cassiaford.keyvalue import InstanceRecord
from cassiaford.policy._owners import Holder

LIST_LAG_S = 30.0


class DepartureBook:
    """Follows the platform's list of instances.

    Examples
    --------
    >>> book = DepartureBook()
    >>> record = InstanceRecord("entry-1", 3, "cluj", "", "", False)
    >>> book.observe([record], 0.0), book.observe([], 1.0)
    ((), ())
    >>> book.observe([], 32.0)
    (Holder(instance='entry-1', incarnation=3),)
    """

    def __init__(self, lag_s: float = LIST_LAG_S):
        self.lag_s = lag_s
        self._listed = {}
        self._missing_since = {}

    def observe(
        self, records: Iterable[InstanceRecord], now: float
    ) -> tuple[Holder, ...]:
        """Take in the list as fetched just now; return who is found gone."""
        listed = {record.instance: record.incarnation for record in records}
        gone = []
        for instance, incarnation in list(self._listed.items()):
            if instance in listed:
                self._missing_since.pop(instance, None)
                if listed[instance] > incarnation:
                    gone.append(Holder(instance, incarnation))
                continue
            since = self._missing_since.setdefault(instance, now)
            if now - since > self.lag_s:
                gone.append(Holder(instance, incarnation))
                del self._listed[instance], self._missing_since[instance]
        for instance, incarnation in listed.items():
            self._listed[instance] = max(incarnation, self._listed.get(instance, 0))
        return tuple(gone)

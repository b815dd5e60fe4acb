"""Finding out which incarnations of instances are certainly gone."""

import threading
from collections.abc import Callable, Sequence

from cassiaford.fleet._membership import PeerListener
from cassiaford.keyvalue import InstanceRecord
from cassiaford.policy import Departure, Departures, MemberState, MemberUpdate

OnDeparture = Callable[[str, int], None]


class DepartureWatcher(PeerListener):
    """Calls back once for each incarnation that is certainly gone.

    Callbacks take the instance and the incarnation; they run on the thread
    that brought the news.
    """

    def __init__(self, list_lag_s: float, clock: Callable[[], float]):
        self.departures = Departures(list_lag_s)
        self.clock = clock
        self.callbacks: list[OnDeparture] = []
        self._lock = threading.Lock()

    def peer_heard(self, instance, revision, as_of):
        """Take no note: a change of a member's state says more."""

    def peer_gone(self, instance):
        """Take note that a peer is silent or has left."""
        with self._lock:
            self.departures.record_silence(instance)

    def member_changed(self, update: MemberUpdate) -> None:
        """Take note of what is newly believed of a member."""
        member = update.member
        with self._lock:
            if update.state is MemberState.LEFT:
                gone = self.departures.record_leave(member.instance, member.incarnation)
            elif update.state is MemberState.ALIVE:
                gone = self.departures.record_live(member.instance, member.incarnation)
            else:
                gone = ()
        self._report(gone)

    def listed(self, records: Sequence[InstanceRecord]) -> None:
        """Take in an answer of the platform's list."""
        instances = {record.instance for record in records}
        with self._lock:
            gone = self.departures.record_listing(instances, self.clock())
        self._report(gone)

    def _report(self, gone: Sequence[Departure]):
        for departure in gone:
            for callback in self.callbacks:
                callback(departure.instance, departure.incarnation)

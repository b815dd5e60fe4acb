"""Detection of instance incarnations that have certainly ended."""

import threading
from collections.abc import Callable, Sequence

from cassiaford.fleet._membership import PeerListener
from cassiaford.keyvalue import InstanceRecord
from cassiaford.policy import Departure, Departures, MemberState, MemberUpdate

OnDeparture = Callable[[str, int], None]


class DepartureWatcher(PeerListener):
    """Calls back once for each incarnation that has certainly ended.

    Callbacks take the instance and the incarnation, and run on the thread that
    reported the change.
    """

    def __init__(self, list_lag_s: float, clock: Callable[[], float]):
        self.departures = Departures(list_lag_s)
        self.clock = clock
        self.callbacks: list[OnDeparture] = []
        self._lock = threading.Lock()

    def on_peer_report(self, instance, revision, as_of):
        """Ignore reports; member state changes carry the needed information."""

    def on_peer_gone(self, instance):
        """Record that a peer is silent or has left."""
        with self._lock:
            self.departures.record_silence(instance)

    def on_member_changed(self, update: MemberUpdate) -> None:
        """Record the new state of a member."""
        member = update.member
        with self._lock:
            if update.state is MemberState.LEFT:
                departed = self.departures.record_leave(
                    member.instance, member.incarnation
                )
            elif update.state is MemberState.ALIVE:
                departed = self.departures.record_live(
                    member.instance, member.incarnation
                )
            else:
                departed = ()
        self._run_callbacks(departed)

    def apply_listing(self, records: Sequence[InstanceRecord]) -> None:
        """Apply a response of the platform's instance list."""
        instances = {record.instance for record in records}
        with self._lock:
            departed = self.departures.record_listing(instances, self.clock())
        self._run_callbacks(departed)

    def _run_callbacks(self, departed: Sequence[Departure]):
        for departure in departed:
            for callback in self.callbacks:
                callback(departure.instance, departure.incarnation)

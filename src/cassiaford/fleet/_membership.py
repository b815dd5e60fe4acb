"""The membership policy on the peer sockets and the platform's instance list."""

import threading
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

from cassiaford.fleet._codec import DecodeError, decode_membership, encode_membership
from cassiaford.fleet._peers import PeerSockets
from cassiaford.fleet._transport import Channel, PeerMessage, RequestTransport
from cassiaford.keyvalue import InstanceRecord
from cassiaford.logs import Event
from cassiaford.policy import (
    Member,
    MemberChanged,
    Membership,
    MemberState,
    MemberUpdate,
    PeerContact,
    SendMessage,
    Superseded,
)
from cassiaford.timeline import Journal

TICKS_PER_PERIOD = 5
LIST_INTERVAL_S = 10.0
# The interval while no other instance is known.
LIST_SEARCH_INTERVAL_S = 1.0
STOP_TIMEOUT_S = 2.0


class PeerListener(ABC):
    """Receives reports from peers and changes of their state."""

    @abstractmethod
    def on_peer_report(self, instance: str, revision: int, as_of: float | None) -> None:
        """Handle the revision that a peer reported; see `PeerContact`."""

    @abstractmethod
    def on_peer_gone(self, instance: str) -> None:
        """Handle that a peer is dead or has left."""

    def on_member_changed(self, update: MemberUpdate) -> None:
        """Handle a change of a member's state."""


class MembershipRunner:
    """Runs the membership policy of one instance."""

    def __init__(
        self,
        membership: Membership,
        sockets: PeerSockets,
        journal: Journal,
        clock: Callable[[], float],
    ):
        self.membership = membership
        self.sockets = sockets
        self.journal = journal
        self.clock = clock
        self.listeners: list[PeerListener] = []
        self._lock = threading.Lock()
        self._reported: dict[str, tuple] = {}
        self._superseded_by = 0
        interval_s = membership.interval_s / TICKS_PER_PERIOD
        sockets.add_timer(interval_s, self.tick)
        sockets.handlers[Channel.MEMBERSHIP] = self._receive

    def members(self) -> tuple[Member, ...]:
        """Return the live members, this instance first."""
        with self._lock:
            return self.membership.members()

    def suspected(self) -> frozenset[str]:
        """Return the names of the members that currently do not reply."""
        with self._lock:
            return self.membership.suspected()

    def address_of(self, instance: str) -> str | None:
        """Return the peer address of an instance, even of a dead one."""
        with self._lock:
            update = self.membership.table.get(instance)
        return update.member.peer_address if update else None

    def add_listed_addresses(self, records: Sequence[InstanceRecord]) -> None:
        """Add the addresses in a response of the platform's instance list."""
        addresses = tuple(record.peer_address for record in records)
        with self._lock:
            self.membership.add_addresses(addresses)

    def set_revision(self, revision: int) -> None:
        """Set the revision in force that messages report to peers."""
        with self._lock:
            self.membership.revision = revision

    def tick(self) -> None:
        """Perform the actions that are due."""
        self._run_policy(self.membership.tick)

    def announce_ready(self) -> None:
        """Announce to peers that this instance accepts requests."""
        self._run_policy(self.membership.announce_ready)

    def leave(self) -> None:
        """Announce to peers that this instance accepts no new requests."""
        self._run_policy(self.membership.leave)

    def stop(self) -> None:
        """Announce to peers that this instance has stopped."""
        self._run_policy(self.membership.stop)

    def _receive(self, message: PeerMessage):
        try:
            decoded = decode_membership(message.body)
        except DecodeError:
            return
        self._run_policy(
            lambda now: self.membership.receive(message.sender, decoded, now),
        )

    def _run_policy(self, decide):
        with self._lock:
            actions = decide(self.clock())
        for action in actions:
            self._perform(action)

    def _perform(self, action):
        match action:
            case SendMessage():
                self._send(action)
            case PeerContact():
                for listener in self.listeners:
                    listener.on_peer_report(
                        action.instance, action.revision, action.as_of
                    )
            case MemberChanged(update=update):
                self._report_change(update)
            case Superseded(incarnation=incarnation):
                self._report_superseded(incarnation)

    def _send(self, action):
        address = action.address or self.address_of(action.instance)
        if address is not None:
            body = encode_membership(action.message)
            self.sockets.send(address, action.instance, Channel.MEMBERSHIP, body)

    def _report_change(self, update):
        member = update.member
        event = _event(update)
        reported = (event, member.incarnation)
        if self._reported.get(member.instance) == reported:
            return
        self._reported[member.instance] = reported
        self.journal.record(
            event, peer=member.instance, peer_incarnation=member.incarnation
        )
        if update.state >= MemberState.DEAD:
            del self._reported[member.instance]
        for listener in self.listeners:
            listener.on_member_changed(update)
            if update.state >= MemberState.DEAD:
                listener.on_peer_gone(member.instance)

    def _report_superseded(self, incarnation):
        if incarnation != self._superseded_by:
            self._superseded_by = incarnation
            self.journal.record(Event.INSTANCE_SUPERSEDED, newer=incarnation)


class InstanceListPoller:
    """Polls the platform's instance list for addresses of instances."""

    def __init__(
        self,
        fetch: Callable[[], Sequence[InstanceRecord]],
        runner: MembershipRunner,
        journal: Journal,
    ):
        self.fetch = fetch
        self.runner = runner
        self.journal = journal
        self.leaving: frozenset[tuple[str, int]] = frozenset()
        self.on_listing: list[Callable[[Sequence[InstanceRecord]], None]] = []
        self._reachable = True
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="instance-list", daemon=True
        )

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopping.set()

    def _run(self):
        while not self._stopping.is_set():
            self._fetch_once()
            is_alone = len(self.runner.members()) < 2
            self._stopping.wait(LIST_SEARCH_INTERVAL_S if is_alone else LIST_INTERVAL_S)

    def _fetch_once(self):
        try:
            records = self.fetch()
        except Exception as error:
            if self._reachable:
                self.journal.record(Event.INSTANCE_LIST_LOST, error=error)
            self._reachable = False
            return
        self._reachable = True
        self.runner.add_listed_addresses(records)
        for callback in self.on_listing:
            callback(records)
        self.leaving = frozenset(
            (record.instance, record.incarnation)
            for record in records
            if record.leaving
        )


class FleetTransport(RequestTransport):
    """Carries messages to members, with the addresses from membership."""

    def __init__(self, sockets: PeerSockets, runner: MembershipRunner):
        self.sockets = sockets
        self.runner = runner

    def send(self, instance, channel, body):
        """Send a message to a peer; drop it if the peer is unknown."""
        address = self.runner.address_of(instance)
        if address is not None:
            self.sockets.send(address, instance, channel, body)

    def subscribe(self, channel, handler):
        """Register a handler that the peer thread calls for each message."""
        self.sockets.handlers[channel] = handler

    def members(self):
        """Return the live members, including this instance."""
        return self.runner.members()

    def handle_requests(self, channel, handler):
        """Register a handler that the peer thread calls for each request."""
        self.sockets.request_handlers[channel] = handler

    def request(self, instance, channel, body, timeout_s):
        """Send a request and return the reply; raises `OSError` if none came."""
        address = self.runner.address_of(instance)
        if address is None:
            raise OSError(f"unknown instance {instance!r}")
        return self.sockets.request(address, instance, channel, body, timeout_s)


def _event(update):
    if update.state is MemberState.SUSPECT:
        return Event.MEMBER_SUSPECTED
    if update.state is MemberState.DEAD:
        return Event.MEMBER_LOST
    if update.state is MemberState.LEFT:
        return Event.MEMBER_LEFT
    return Event.MEMBER_LEAVING if update.member.leaving else Event.MEMBER_JOINED

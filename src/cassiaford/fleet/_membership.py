"""Runs the membership policy on the peer sockets."""

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
# Until another instance is known, the list is asked this often.
LIST_SEARCH_INTERVAL_S = 1.0
STOP_TIMEOUT_S = 2.0


class PeerListener(ABC):
    """What wants to know about peers as they are heard and lost."""

    @abstractmethod
    def peer_heard(self, instance: str, revision: int, as_of: float | None) -> None:
        """Take note of the revision that a peer told; see `PeerHeard`."""

    @abstractmethod
    def peer_gone(self, instance: str) -> None:
        """Take note that a peer is dead or has left."""

    def member_changed(self, update: MemberUpdate) -> None:
        """Take note of what is newly believed of a member."""


class MembershipRunner:
    """Keeps the table of members of one instance up to date."""

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
        self._superseded = 0
        interval_s = membership.interval_s / TICKS_PER_PERIOD
        sockets.every(interval_s, self.tick)
        sockets.handlers[Channel.MEMBERSHIP] = self._receive

    def members(self) -> tuple[Member, ...]:
        """Return the live members, this instance first."""
        with self._lock:
            return self.membership.members()

    def suspected(self) -> frozenset[str]:
        """Return the names of the members that do not answer at present."""
        with self._lock:
            return self.membership.suspected()

    def address_of(self, instance: str) -> str | None:
        """Return the peer address of an instance, also of a dead one."""
        with self._lock:
            update = self.membership.table.get(instance)
        return update.member.peer_address if update else None

    def learn(self, records: Sequence[InstanceRecord]) -> None:
        """Take note of the platform's list."""
        addresses = tuple(record.peer_address for record in records)
        with self._lock:
            self.membership.add_addresses(addresses)

    def set_revision(self, revision: int) -> None:
        """Tell peers from now on that a revision is in force here."""
        with self._lock:
            self.membership.revision = revision

    def tick(self) -> None:
        """Do what is due."""
        self._act(self.membership.tick)

    def announce_ready(self) -> None:
        """Tell peers that this instance takes requests."""
        self._act(self.membership.announce_ready)

    def leave(self) -> None:
        """Tell peers that this instance takes no new requests."""
        self._act(self.membership.leave)

    def stop(self) -> None:
        """Tell peers that this instance is gone."""
        self._act(self.membership.stop)

    def _receive(self, message: PeerMessage):
        try:
            decoded = decode_membership(message.body)
        except DecodeError:
            return
        self._act(
            lambda now: self.membership.receive(message.sender, decoded, now),
        )

    def _act(self, decide):
        with self._lock:
            actions = decide(self.clock())
        for action in actions:
            self._do(action)

    def _do(self, action):
        match action:
            case SendMessage():
                self._send(action)
            case PeerContact():
                for listener in self.listeners:
                    listener.peer_heard(action.instance, action.revision, action.as_of)
            case MemberChanged(update=update):
                self._report(update)
            case Superseded(incarnation=incarnation):
                self._report_superseded(incarnation)

    def _send(self, action):
        address = action.address or self.address_of(action.instance)
        if address is not None:
            body = encode_membership(action.message)
            self.sockets.send(address, action.instance, Channel.MEMBERSHIP, body)

    def _report(self, update):
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
            listener.member_changed(update)
            if update.state >= MemberState.DEAD:
                listener.peer_gone(member.instance)

    def _report_superseded(self, incarnation):
        if incarnation != self._superseded:
            self._superseded = incarnation
            self.journal.record(Event.INSTANCE_SUPERSEDED, newer=incarnation)


class InstanceListPoller:
    """Asks the platform's list where instances may be found."""

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
        self.on_answer: list[Callable[[Sequence[InstanceRecord]], None]] = []
        self._answers = True
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="instance-list", daemon=True
        )

    def start(self) -> None:
        """Start asking."""
        self._thread.start()

    def stop(self) -> None:
        """Stop asking."""
        self._stopping.set()

    def _run(self):
        while not self._stopping.is_set():
            self._fetch_once()
            alone = len(self.runner.members()) < 2
            self._stopping.wait(LIST_SEARCH_INTERVAL_S if alone else LIST_INTERVAL_S)

    def _fetch_once(self):
        try:
            records = self.fetch()
        except Exception as error:
            if self._answers:
                self.journal.record(Event.INSTANCE_LIST_LOST, error=error)
            self._answers = False
            return
        self._answers = True
        self.runner.learn(records)
        for callback in self.on_answer:
            callback(records)
        self.leaving = frozenset(
            (record.instance, record.incarnation)
            for record in records
            if record.leaving
        )


class FleetTransport(RequestTransport):
    """Carries messages to members by the addresses that membership knows."""

    def __init__(self, sockets: PeerSockets, runner: MembershipRunner):
        self.sockets = sockets
        self.runner = runner

    def send(self, instance, channel, body):
        """Send a message to a peer; drop it if the peer is not known."""
        address = self.runner.address_of(instance)
        if address is not None:
            self.sockets.send(address, instance, channel, body)

    def subscribe(self, channel, handler):
        """Have a handler called, on the peer thread, for each message."""
        self.sockets.handlers[channel] = handler

    def members(self):
        """Return the live members, this instance among them."""
        return self.runner.members()

    def answer(self, channel, answerer):
        """Have requests on a channel answered, on the peer thread."""
        self.sockets.answerers[channel] = answerer

    def request(self, instance, channel, body, timeout_s):
        """Send a request and return the reply; raises `OSError` without one."""
        address = self.runner.address_of(instance)
        if address is None:
            raise OSError(f"no instance named {instance!r}")
        return self.sockets.request(address, instance, channel, body, timeout_s)


def _event(update):
    if update.state is MemberState.SUSPECT:
        return Event.MEMBER_SUSPECTED
    if update.state is MemberState.DEAD:
        return Event.MEMBER_LOST
    if update.state is MemberState.LEFT:
        return Event.MEMBER_LEFT
    return Event.MEMBER_LEAVING if update.member.leaving else Event.MEMBER_JOINED

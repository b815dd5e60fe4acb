"""One instance's part in the fleet, put together."""

import random
from collections.abc import Callable

from cassiaford.fleet._configuration import (
    ConfigurationStore,
    StoreLimits,
    create_configuration_store,
)
from cassiaford.fleet._departures import DepartureWatcher, OnDeparture
from cassiaford.fleet._gate import FrameAuthenticator, Identity
from cassiaford.fleet._log import ConfigurationLog
from cassiaford.fleet._membership import (
    FleetTransport,
    InstanceListPoller,
    MembershipRunner,
    PeerListener,
)
from cassiaford.fleet._peers import PeerSockets, open_peer_sockets
from cassiaford.fleet._transport import PeerTransport
from cassiaford.keyvalue import KeyValueService
from cassiaford.policy import Member, Membership, rank_entries
from cassiaford.settings import Settings
from cassiaford.timeline import Journal

FRESHNESS_CHECK_S = 0.5


class Fleet:
    """The other instances, as one instance sees them, and what they share."""

    def __init__(
        self,
        sockets: PeerSockets,
        runner: MembershipRunner,
        transport: PeerTransport,
        configuration: ConfigurationStore,
        instance_list: InstanceListPoller,
        departures: DepartureWatcher,
    ):
        self.sockets = sockets
        self.runner = runner
        self.transport = transport
        self.configuration = configuration
        self.instance_list = instance_list
        self.departures = departures

    def start(self) -> None:
        """Begin to exchange messages and to follow the configuration."""
        self.sockets.start()
        self.instance_list.start()
        self.configuration.start()

    def announce_ready(self) -> None:
        """Have the lookup name this instance to callers."""
        self.runner.announce_ready()

    def leave(self) -> None:
        """Have the lookup stop naming this instance to callers."""
        self.runner.leave()

    def stop(self) -> None:
        """Tell peers that this instance is gone, and close the sockets."""
        if self.sockets.stopped:
            return
        self.instance_list.stop()
        self.configuration.stop()
        self.runner.stop()
        self.sockets.stop()

    def on_departure(self, callback: OnDeparture) -> None:
        """Have a callback called for each incarnation that is certainly gone."""
        self.departures.callbacks.append(callback)

    def members(self) -> tuple[Member, ...]:
        """Return the live members, this instance first."""
        return self.runner.members()

    def entry_instances(self, customer: str, data_centre: str) -> tuple[Member, ...]:
        """Return the members that a customer's callers should use, best first.

        Callers may keep the answer for `ENTRIES_MAX_AGE_S`.
        """
        leaving = self.instance_list.leaving
        members = [
            member
            for member in self.members()
            if (member.instance, member.incarnation) not in leaving
        ]
        suspected = self.runner.suspected()
        return rank_entries(members, customer, data_centre, suspected)


class _ConfigurationListener(PeerListener):
    """Passes what peers tell to the configuration, and its revision back."""

    def __init__(self, store: ConfigurationStore, runner: MembershipRunner):
        self.store = store
        store.on_change(lambda old, new: runner.set_revision(new.revision))

    def peer_heard(self, instance, revision, as_of):
        """Take note of the revision that a peer told."""
        self.store.peer_heard(instance, revision, as_of)

    def peer_gone(self, instance):
        """Take note that a peer is dead or has left."""
        self.store.peer_gone(instance)


def create_fleet(
    settings: Settings,
    key_value: KeyValueService,
    instance_list,
    journal: Journal,
    incarnation: int,
    clock: Callable[[], float],
) -> Fleet:
    """Return the fleet as seen by the instance with these settings.

    `instance_list` has a method ``fetch()`` that returns `InstanceRecord`
    lines; `clock` returns monotonic seconds. The peer sockets are bound at
    once, so that messages can be sent before `Fleet.start`.
    """
    secret = settings.peers.secret.get_secret_value().encode()
    identity = Identity(settings.instance, incarnation, secret)
    gate = FrameAuthenticator(identity, journal.clock)
    sockets = open_peer_sockets(settings.peers.address, gate, journal)
    membership = Membership(
        _own_member(settings, incarnation, sockets.address),
        settings.peers.seeds,
        settings.peers.heartbeat_interval_s,
        random.Random(f"{settings.instance}/{incarnation}"),
        clock(),
    )
    runner = MembershipRunner(membership, sockets, journal, clock)
    transport = FleetTransport(sockets, runner)
    store = create_configuration_store(
        ConfigurationLog(key_value),
        transport,
        StoreLimits(settings.limits.stale_after_s, settings.key_value.watch_timeout_s),
        journal,
        clock,
        seed=f"{settings.instance}/{incarnation}/configuration",
    )
    runner.listeners.append(_ConfigurationListener(store, runner))
    sockets.every(FRESHNESS_CHECK_S, lambda: store.note_freshness(clock()))
    poller = InstanceListPoller(instance_list.fetch, runner, journal)
    departures = DepartureWatcher(settings.key_value.list_lag_s, clock)
    runner.listeners.append(departures)
    poller.on_answer.append(departures.listed)
    return Fleet(sockets, runner, transport, store, poller, departures)


def _own_member(settings, incarnation, peer_address) -> Member:
    return Member(
        instance=settings.instance,
        incarnation=incarnation,
        data_centre=settings.data_centre,
        http_address=settings.http.address,
        peer_address=peer_address,
        ready=False,
    )

"""The fleet as seen by one instance: its sockets, membership and configuration."""

import random
from collections.abc import Callable

from cassiaford.fleet._authenticator import FrameAuthenticator, Identity
from cassiaford.fleet._configuration import (
    ConfigurationStore,
    StoreLimits,
    create_configuration_store,
)
from cassiaford.fleet._departures import DepartureWatcher, OnDeparture
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

FRESHNESS_CHECK_INTERVAL_S = 0.5


class Fleet:
    """The connection of one instance to the other instances of the fleet."""

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
        """Start exchanging messages and following the configuration."""
        self.sockets.start()
        self.instance_list.start()
        self.configuration.start()

    def announce_ready(self) -> None:
        """Announce to peers that lookups may return this instance to callers."""
        self.runner.announce_ready()

    def leave(self) -> None:
        """Announce to peers that lookups must no longer return this instance."""
        self.runner.leave()

    def stop(self) -> None:
        """Announce to peers that this instance has stopped; close the sockets."""
        if self.sockets.stopped:
            return
        self.instance_list.stop()
        self.configuration.stop()
        self.runner.stop()
        self.sockets.stop()

    def on_departure(self, callback: OnDeparture) -> None:
        """Register a callback for each incarnation that has certainly ended."""
        self.departures.callbacks.append(callback)

    def members(self) -> tuple[Member, ...]:
        """Return the live members, this instance first."""
        return self.runner.members()

    def entry_instances(self, customer: str, data_centre: str) -> tuple[Member, ...]:
        """Return the members that a customer's callers should use, best first.

        Callers may cache the result for `ENTRIES_MAX_AGE_S`.
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
    """Passes peers' revisions to the configuration store, and its own to peers."""

    def __init__(self, store: ConfigurationStore, runner: MembershipRunner):
        self.store = store
        store.on_change(lambda old, new: runner.set_revision(new.revision))

    def on_peer_report(self, instance, revision, as_of):
        """Pass the revision that a peer reported to the store."""
        self.store.update_from_peer(instance, revision, as_of)

    def on_peer_gone(self, instance):
        """Remove a peer that is dead or has left from the store."""
        self.store.remove_peer(instance)


def create_fleet(
    settings: Settings,
    key_value: KeyValueService,
    instance_list,
    journal: Journal,
    incarnation: int,
    clock: Callable[[], float],
) -> Fleet:
    """Return the fleet as seen by the instance with these settings.

    `instance_list` has a method ``fetch()`` that returns a sequence of
    `InstanceRecord`; `clock` returns monotonic seconds. The peer sockets are
    bound immediately, so that messages can be sent before `Fleet.start`.
    """
    secret = settings.peers.secret.get_secret_value().encode()
    identity = Identity(settings.instance, incarnation, secret)
    authenticator = FrameAuthenticator(identity, journal.clock)
    sockets = open_peer_sockets(settings.peers.address, authenticator, journal)
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
    sockets.add_timer(
        FRESHNESS_CHECK_INTERVAL_S, lambda: store.record_freshness(clock())
    )
    poller = InstanceListPoller(instance_list.fetch, runner, journal)
    departures = DepartureWatcher(settings.key_value.list_lag_s, clock)
    runner.listeners.append(departures)
    poller.on_listing.append(departures.apply_listing)
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

"""The gateway: its components, its start and its planned stop."""

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import Callable
from dataclasses import replace

from cassiaford.gateway._adapter import PlatformAdapter
from cassiaford.gateway._begun_streams import BegunStreams
from cassiaford.gateway._caller_connection import CallerConnection, listen
from cassiaford.gateway._clocks import SuspensionWatch
from cassiaford.gateway._copies import StoreCopies
from cassiaford.gateway._crashes import CrashMonitor
from cassiaford.gateway._dialect import MalformedError
from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._front import FrontHandler
from cassiaford.gateway._gauges import gauges, state_ages
from cassiaford.gateway._mirror import Mirror, MirrorSync, Section
from cassiaford.gateway._orders import Orderer
from cassiaford.gateway._own_keys import (
    INSTANCES_PREFIX,
    ORDERER_KEY,
    OWN_PREFIX,
    SUSPECTS_PREFIX,
    VERSIONS_PREFIX,
    OwnKeys,
)
from cassiaford.gateway._peers import PeerReports
from cassiaford.gateway._placer import Placer
from cassiaford.gateway._plain_handlers import BodyHandler, ProbeHandler
from cassiaford.gateway._prober import PrefixStoreProber, ServerProber
from cassiaford.gateway._registration import Registration
from cassiaford.gateway._settings import GatewaySettings
from cassiaford.gateway._shared_origins import SharedStreamOrigins
from cassiaford.gateway._stream_origins import SoleOrigins
from cassiaford.gateway._tasks import run_with_restarts
from cassiaford.gateway._version_terms import VersionTerms
from cassiaford.gateway._view import View
from cassiaford.gateway.policy import (
    START_MARGIN_S,
    EnginePlacer,
    FleetRates,
    PeerState,
    PeerTable,
    Rollout,
    ServerHealth,
    ServicePlacer,
)
from cassiaford.logs import Event
from cassiaford.metrics import Metrics

# Short batch window: reloaded engines stay out of use until their entries are seen.
SERVER_BATCH_WINDOW_S = 0.12
# Peers report most of what is below the instances' own keys; the rest is for those
# cut off from them, and for a vacant orderer's lease.
OWN_KEYS_MAX_LAG_S = 4.0
# A restarted instance has seen answers on most parts of prompts after this time.
LEARNING_S = 2.0
# Interval between checks for expired state.
HOUSEKEEPING_INTERVAL_S = 0.2
METRICS_TARGET = "/metrics"
# Fractions of a planned stop's time: new requests are served until the first, and
# the process exits once no request is in progress, at the latest at the second.
REFUSE_AFTER_FRACTION = 0.3
END_FRACTION = 0.84
# Time for callers to read their last answers.
FLUSH_S = 0.2


class Gateway:
    """Serves callers until SIGTERM.

    `rng` breaks ties and spreads delays; every instance should have a different
    seed. `reload` returns the current settings; it is called on SIGHUP.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        adapter: PlatformAdapter,
        rng: random.Random | None = None,
        reload: Callable[[], GatewaySettings] | None = None,
    ):
        self.reload = reload
        self.settings = settings
        self.adapter = adapter
        self.loop = asyncio.get_running_loop()
        incarnation = time.time_ns() // 1_000_000
        self.rng = rng or random.Random(f"{settings.instance}-{incarnation}")
        self.log = EventLog(settings.instance, incarnation)
        self.metrics = Metrics()
        self.state = PeerState(
            name=settings.instance,
            incarnation=incarnation,
            data_centre=settings.data_centre,
            front_address=settings.addresses.front,
            peer_address=settings.addresses.peer,
            ready=False,
        )
        self.connections: set[CallerConnection] = set()
        self.other_connections: set[CallerConnection] = set()
        self.servers: list[asyncio.Server] = []
        self.stopping = asyncio.Event()
        self._create_policies()
        self._create_store_clients()
        self._create_peers()
        self._create_front()
        self._tasks: list[asyncio.Task] = []

    def _create_policies(self):
        self.engines = EnginePlacer()
        self.services = ServicePlacer()
        self.health = ServerHealth()
        self.rates = FleetRates(self.settings.rate_window_s)
        self.rates.on_settlement = self._log_settlement
        self.table = PeerTable()
        self.view = View(self.adapter.records, self.rates, self.log)
        self.rollout = Rollout(self.view.named_versions, self.settings.weights_within_s)
        self.view.on_versions_changed = self.engines.clear_cached_prefixes
        self.view.on_servers_changed = self._servers_changed
        self.view.on_configuration_changed = self._configuration_changed

    def _create_store_clients(self):
        records = self.adapter.records
        max_lag_s = self.settings.changes_within_s
        sections = (
            Section(records.operators_prefix, max_lag_s=max_lag_s),
            Section(records.servers_prefix, SERVER_BATCH_WINDOW_S, max_lag_s),
            Section(OWN_PREFIX, max_lag_s=OWN_KEYS_MAX_LAG_S),
        )
        self.mirror = Mirror(sections, self.view)
        self.view.is_reading = lambda: self.mirror.catching_up
        self.sync = MirrorSync(self.mirror, self.adapter.store, self.rng, self.log)
        self.rollout.bound.stable_since = self.sync.stable_since
        self.view.servers_age_s = lambda: self.sync.age_s(records.servers_prefix)
        self.registration = Registration(
            INSTANCES_PREFIX + self.state.name,
            self.state,
            self.adapter.store,
            self.rng,
            self.sync,
        )
        self.orderer = Orderer(
            instance=self.state.name,
            key=ORDERER_KEY,
            view=self.view,
            store=self.adapter.store,
            control=self.adapter.control,
            rollout=self.rollout,
            rng=self.rng,
            sync=self.sync,
            log=self.log,
        )
        self.terms = VersionTerms(
            VERSIONS_PREFIX,
            self.settings.weights_within_s - START_MARGIN_S,
            self.view,
            self.adapter.store,
            self.sync,
        )
        self.terms.may_write = lambda: self.orderer.holds_lease
        self.terms.is_complete = lambda: self.mirror.complete
        self.orderer.running_tokens = self.engines.running_tokens
        self.orderer.unstarted = self.engines.unstarted
        self.orderer.demand = self.engines.demand

    def _create_peers(self):
        self.crashes = CrashMonitor(
            self.state.name,
            SUSPECTS_PREFIX,
            self.adapter.store,
            self.sync,
            self.rng,
            self.log,
        )
        self.view.on_server_ended = self.crashes.record_server_end
        self.peers = PeerReports(
            self.state,
            self.table,
            self.engines,
            self.services,
            self.rates,
            self.crashes,
            self.log,
        )
        self.crashes.on_crash = self.peers.send_report
        self.origins = SharedStreamOrigins(self.table)
        self.origins.send = self.peers.send
        self.begun = BegunStreams()
        self.view.on_server_started = self._server_started
        self.peers.on_origins = self.origins.receive
        self.view.on_own_key_changed = OwnKeys(
            self.table,
            self.registration,
            self.orderer,
            self.crashes,
            self.terms,
            self.log,
        ).on_change
        self.prober = ServerProber(self.view, self.health, self.adapter.pool, self.log)
        self.prober.on_refused = self._server_refused
        self.orderer.unreachable = lambda: self.prober.unreachable
        self.store_prober = PrefixStoreProber(self.view, self.adapter.pool, self.log)
        self.peers.on_unreachable = self.prober.probe_reported
        self.peers.on_out_of_use = self._out_of_use_changed
        self.orderer.on_out_of_use = self.peers.set_out_of_use
        self.peers.revision = lambda: self.mirror.revision
        self.copies = StoreCopies(self.mirror, self.sync, self.adapter.pool, self.log)
        self.peers.on_newer_peer = self.copies.on_newer_peer
        self.peers.version_ages = self.view.version_ages
        self.peers.on_version_ages = self.view.update_version_ages
        self.view.on_version_named = self.peers.report_version

    def _create_front(self):
        settings = self.settings
        self.placer = Placer(
            view=self.view,
            engines=self.engines,
            services=self.services,
            health=self.health,
            data_centre=settings.data_centre,
            weights_bound=self.rollout.bound,
            rng=self.rng,
        )
        self.placer.on_placement = self.peers.record_placement
        self.front = FrontHandler(
            dialect=self.adapter.dialect,
            view=self.view,
            placer=self.placer,
            health=self.health,
            prober=self.prober,
            pool=self.adapter.pool,
            crashes=self.crashes,
            rates=self.rates,
            retry_limits=settings.retry_limits,
            log=self.log,
            metrics=self.metrics,
            rng=self.rng,
            origins=self.origins,
            sole_origins=SoleOrigins(self.view, self._in_touch_since),
            begun=self.begun,
        )
        if not settings.first_start:
            now = self.loop.time()
            self.front.slack_from = now + settings.retry_limits.window_s
            self.crashes.tracker.parts.learning_until = now + LEARNING_S
        self.front.instance_count = self._instance_count
        self.front.state_ages = lambda: state_ages(self, self.loop.time())

    # Start and stop.

    async def run(self) -> None:
        """Serve until SIGTERM, then stop gracefully."""
        self.loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        self.loop.add_signal_handler(signal.SIGHUP, self._reload)
        self.log.write(
            Event.INSTANCE_STARTED,
            incarnation=self.state.incarnation,
            first_start=self.settings.first_start,
        )
        await self._listen()
        components = (
            self.sync.run,
            self.registration.run,
            self.orderer.run,
            self.terms.run,
            self.peers.run,
            self.crashes.run,
            self.store_prober.run,
            self._run_housekeeping,
        )
        self._tasks = [
            self.loop.create_task(run_with_restarts(run, self.log))
            for run in components
        ]
        await self.stopping.wait()
        await self._drain()
        await self.close()

    async def close(self) -> None:
        """Stop every component and close every connection at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in self.servers:
            server.close()
        for connection in (*self.connections, *self.other_connections):
            connection.abort()
        if self.peers.transport is not None:
            self.peers.transport.close()
        self.adapter.pool.close()

    def _reload(self):
        """Reload the settings; the addresses stay those of the start."""
        if self.reload is None:
            return
        try:
            settings = self.reload()
        except (MalformedError, OSError) as error:
            self.log.write(Event.SETTINGS_REJECTED, cause=str(error))
            return
        addresses = self.settings.addresses
        unchanged = settings.addresses == addresses
        self.settings = replace(settings, addresses=addresses)
        self.front.set_retry_limits(settings.retry_limits)
        self.rollout.bound.within_s = settings.weights_within_s
        self.terms.term_s = settings.weights_within_s - START_MARGIN_S
        self.log.write(Event.SETTINGS_RELOADED, addresses_kept=unchanged)

    @property
    def ready(self) -> bool:
        """Whether the instance can serve callers."""
        if self.stopping.is_set() or self.view.configuration is None:
            return False
        return bool(self.view.servers)

    async def _listen(self):
        addresses = self.settings.addresses
        adapter = self.adapter
        probe = ProbeHandler(adapter.probe.matches, lambda: self.ready)
        directory = BodyHandler(
            adapter.directory.matches, self._directory_body, "application/json"
        )
        copies = BodyHandler(
            self.copies.requested,
            self.copies.body,
            "application/octet-stream",
        )
        metrics = BodyHandler(
            lambda target: target == METRICS_TARGET, self._metrics_body, "text/plain"
        )
        other = self.other_connections
        self.servers = [
            await listen(addresses.front, self.front, self.connections),
            await listen(addresses.readiness, probe, other),
            await listen(addresses.directory, directory, other),
            await listen(addresses.peer, copies, other),
            await listen(addresses.metrics, metrics, other),
        ]
        host, _, port = addresses.peer.rpartition(":")
        await self.loop.create_datagram_endpoint(
            lambda: self.peers, local_addr=(host, int(port))
        )

    async def _drain(self):
        """Leave the directory, then finish the accepted requests.

        What cannot end in time is refused while it has not run, so that its caller
        sends it elsewhere.
        """
        started = self.loop.time()
        drain_s = self.settings.drain_s
        end_at = started + END_FRACTION * drain_s
        self.front.context.stop.ends_at = end_at
        self.log.write(Event.DRAIN_STARTED, in_progress=self.front.in_progress)
        self.front.leaving = True
        self._update_readiness()
        await self._leave_store()
        refuse_at = started + REFUSE_AFTER_FRACTION * drain_s
        await asyncio.sleep(max(0.0, refuse_at - self.loop.time()))
        self.front.refusing = True
        self.servers[0].close()
        for connection in tuple(self.connections):
            connection.close_if_idle()
        while self.front.in_progress and self.loop.time() < end_at:
            await asyncio.sleep(0.05)
        cut = self.front.in_progress
        event = Event.DRAIN_CUT_SHORT if cut else Event.DRAIN_FINISHED
        self.log.write(event, cut=cut)
        self.front.end_requests()
        flushed_by = self.loop.time() + FLUSH_S
        while self.connections and self.loop.time() < flushed_by:
            await asyncio.sleep(0.01)

    async def _leave_store(self):
        with contextlib.suppress(TimeoutError):
            # Leases expire by themselves, so the drain does not wait for a store
            # that does not respond.
            async with asyncio.timeout(0.5):
                await self.orderer.resign()
                await self.registration.withdraw()

    # Background work and callbacks.

    async def _run_housekeeping(self):
        suspensions = SuspensionWatch()
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            if suspended_s := suspensions.elapsed_suspension_s():
                self.log.write(Event.INSTANCE_SUSPENDED, away_s=round(suspended_s, 3))
            self._expire_state()

    def _expire_state(self):
        now = self.loop.time()
        self.view.expire(self.sync.last_response_at or 0.0)
        self.crashes.update()
        self.engines.prefix_locations.expire(now)
        self.adapter.pool.close_expired()
        for name in self.table.expire(now):
            self._remove_peer(name)
        self._update_readiness()
        self.rates.set_members(self.table.expected(), now)
        self.peers.unreachable = self.prober.unreachable
        self._out_of_use_changed()
        self.placer.unreachable_stores = self.store_prober.unreachable

    def _out_of_use_changed(self):
        out_of_use = self.placer.out_of_use = self.peers.all_out_of_use()
        self.placer.load_times.update(out_of_use, self.loop.time())

    def _remove_peer(self, name):
        self.log.write(Event.MEMBER_LOST, peer=name)
        self.engines.remove_peer(name)
        self.services.remove_peer(name)

    def _log_settlement(self, settlement):
        self.log.write(
            Event.RESERVE_SETTLED,
            customer=settlement.customer,
            peer=settlement.peer,
            reserved=round(settlement.reserved),
            spent=round(settlement.spent),
            incarnation_known=settlement.incarnation_known,
            left=round(settlement.level),
        )

    def _update_readiness(self):
        if self.state.ready != self.ready:
            self.state = self.peers.state = replace(self.state, ready=self.ready)
            if self.ready:
                self.log.write(Event.INSTANCE_READY)
            self.peers.send_report()

    def _configuration_changed(self):
        # Reports that arrive now may name any customer with a rate.
        self.peers.set_customers(self.view.configuration.customers)
        self._update_readiness()

    def _servers_changed(self):
        keys = {key for servers in self.view.servers.values() for key in servers}
        self.engines.retain(keys)
        self.health.retain(keys)
        self.origins.remember(
            {
                server.origin
                for servers in self.view.servers.values()
                for server in servers.values()
                if server.origin is not None
            }
        )
        self._update_readiness()

    def _server_started(self, server):
        """Doubt the streams that this start may have begun before it was known."""
        since = self.view.unread_since()
        for attempt_id in self.begun.of_other_software(server, since):
            self.origins.doubt(attempt_id)

    def _server_refused(self, server):
        self.crashes.record_server_end(server)
        self.view.record_refusal(server)

    def _in_touch_since(self, moment):
        """Return whether no change of the servers has been missed since a time."""
        age_s = self.sync.age_s(self.adapter.records.servers_prefix)
        if age_s is None or age_s > self.settings.changes_within_s:
            return False
        followed_since = max(self.sync.stable_since(), self.sync.followed_since)
        return followed_since <= moment

    def _instance_count(self):
        """Return the size of the fleet, or None before its entries were read."""
        if not self.mirror.revisions[OWN_PREFIX]:
            return None
        return len(self.table.expected()) + 1

    def _metrics_body(self, target):
        for name, value in gauges(self, self.loop.time()):
            self.metrics.set_gauge(f"cassiaford_{name}", value)
        return self.metrics.render().encode()

    # The directory.

    def _directory_body(self, target):
        live = self.table.live(self.loop.time())
        addresses = [peer.front_address for peer in live if peer.ready]
        if self.ready:
            addresses.append(self.state.front_address)
        self.rng.shuffle(addresses)
        if not addresses:
            return None
        return self.adapter.directory.encode(addresses, self.settings.directory_ttl_s)

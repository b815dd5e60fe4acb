"""The gateway's view of the store: configuration, backend servers, versions."""

import asyncio
import math
from collections.abc import Callable, Iterable
from dataclasses import replace

import xxhash

from cassiaford.gateway._clocks import suspended_s
from cassiaford.gateway._configuration import Configuration, RouteTable
from cassiaford.gateway._dialect import MalformedError, RecordDecoder
from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._messages import BackendServer
from cassiaford.gateway._mirror import MirrorListener
from cassiaford.gateway._store import Change
from cassiaford.gateway.policy import (
    FleetRates,
    Limit,
    NamedVersions,
    RecentValues,
    ServerRegistry,
    VersionAge,
    VersionSource,
)
from cassiaford.logs import Event
from cassiaford.origins import StreamOrigin

# Smaller corrections of a version's age are not logged.
MIN_LOGGED_CORRECTION_S = 0.5
# A server's new start has its entry in the store after this time at the latest.
REGISTRATION_S = 1.0
# A server that refused a connection may have been reached again this much later.
REFUSAL_S = 2.0
# Callers that state longer deadlines than this must not keep others' streams from
# being taken up.
MAX_DEADLINE_S = 120.0
# Peers may know models of which this instance has read nothing yet.
MAX_UNREAD_MODELS = 64


def digest(text: str) -> int:
    """Return the number that represents a name in reports to peers."""
    return xxhash.xxh32_intdigest(text.encode())


def server_key(server: BackendServer) -> int:
    """Return the number that represents an incarnation in reports to peers."""
    return digest("|".join(map(str, server.incarnation)))


class View(MirrorListener):
    """The configuration in force, the backend servers, and the named versions.

    `replaced_keys` are the servers whose address another server has taken over
    before their entries are gone. `recent_software` has the software versions of
    each service lately, and `recent_targets` the services of each route;
    `longest_timeout_s` is that of any route so far, and `longest_deadline_s` the
    longest time that a caller was ready to wait. The gateway sets the callbacks,
    `is_reading`, which returns whether a change may have been made long before it
    was read, and `servers_age_s`, which returns when the servers were last read.
    """

    def __init__(self, decoder: RecordDecoder, rates: FleetRates, log: EventLog):
        self.decoder = decoder
        self.rates = rates
        self.log = log
        self.configuration: Configuration | None = None
        self.routes = RouteTable(())
        self.registry = ServerRegistry()
        self.servers: dict[str, dict[int, BackendServer]] = {}
        self.replaced_keys: set[int] = set()
        self._serving: dict[int, BackendServer] = {}
        self.named_versions = NamedVersions(suspended_s)
        self._unread_versions = NamedVersions(suspended_s)
        self.recent_software = RecentValues()
        self.recent_targets = RecentValues()
        self.longest_timeout_s = 0.0
        self.longest_deadline_s = 0.0
        self.refused_at: dict[int, float] = {}
        self.outage_cause = ""
        self.outage_began_at = -math.inf
        self.on_version_named: Callable[[], None] = lambda: None
        self.is_reading: Callable[[], bool] = lambda: False
        self.on_versions_changed: Callable[[int], None] = lambda key: None
        self.on_own_key_changed: Callable[[Change], None] = lambda change: None
        self.on_server_ended: Callable[[BackendServer], None] = lambda server: None
        self.on_server_started: Callable[[BackendServer], None] = lambda server: None
        self.servers_age_s: Callable[[], float | None] = lambda: None
        self.on_servers_changed: Callable[[], None] = lambda: None
        self.on_configuration_changed: Callable[[], None] = lambda: None
        self.now = asyncio.get_running_loop().time

    def on_change(self, change: Change) -> None:
        """Apply a change of the store; log a value that cannot be decoded."""
        try:
            self._apply(change)
        except MalformedError as error:
            self.log.write(Event.REVISION_REJECTED, key=change.key, cause=str(error))

    def on_store_lost(self, cause: str) -> None:
        """Keep servers whose entries lapse until the store has recovered."""
        self.outage_cause = cause
        self.outage_began_at = self.now()
        self.registry.record_store_loss()

    def on_store_present(self) -> None:
        """Remove servers whose entries are missing, since none has lapsed."""
        self.registry.record_store_presence()

    def on_store_recovered(self) -> None:
        """Wait for the entries that lapsed during an outage."""
        self.registry.record_store_recovery(self.now())

    def expire(self, responded_at: float) -> None:
        """Remove the servers that did not register again after an outage.

        `responded_at` is the time of the store's latest response.
        """
        if expired := self.registry.expire(self.now(), responded_at):
            for key in expired:
                self.log.write(Event.SERVER_LEFT, entry=key)
            self._index_servers()

    def record_replacement(self, server: BackendServer) -> None:
        """Record that another server responds at a server's address."""
        key = server_key(server)
        if key not in self.replaced_keys:
            self.replaced_keys.add(key)
            self.log.write(Event.SERVER_REPLACED, server=server.server_id)
            self._index_servers()
            self.on_server_ended(server)

    def record_refusal(self, server: BackendServer) -> None:
        """Record that no process listens at a server's address now."""
        self.refused_at[server_key(server)] = self.now()

    def is_doubtful(self, server: BackendServer) -> bool:
        """Return whether a server may have started again since its entry was read.

        Who refused a connection has ended, so whoever is there next is another
        start, whose entry tells its software.
        """
        refused_at = self.refused_at.get(server_key(server))
        if refused_at is None:
            return False
        return self._read_at() < refused_at + REFUSAL_S + REGISTRATION_S

    def record_deadline(self, deadline_s: float) -> None:
        """Record how long a caller waits, over all its attempts."""
        deadline_s = min(deadline_s, MAX_DEADLINE_S)
        self.longest_deadline_s = max(self.longest_deadline_s, deadline_s)

    def origin_of(self, server: BackendServer) -> StreamOrigin | None:
        """Return the origin of a stream that begins now, or None if uncertain."""
        key = f"{self.decoder.servers_prefix}{server.server_id}"
        entry = self.registry.servers.get(key)
        succeeded = entry is not None and entry.incarnation != server.incarnation
        if self.is_doubtful(server) or succeeded and entry.origin != server.origin:
            return None
        return server.origin

    def unread_since(self) -> float:
        """Return since when a server may have started whose entry is read now."""
        return self._read_at() - REGISTRATION_S

    def _read_at(self):
        age_s = self.servers_age_s()
        return -math.inf if age_s is None else self.now() - age_s

    def is_serving(self, service: str, key: int) -> bool:
        """Return whether a server takes requests for a service."""
        return key in self.servers.get(service, {})

    def engines_of(self, model: str) -> dict[int, BackendServer]:
        """Return the engines that have a model, by key."""
        return {
            key: server
            for servers in self.servers.values()
            for key, server in servers.items()
            if model in server.versions
        }

    def version_ages(self) -> tuple[VersionAge, ...]:
        """Return the ages of all named versions, with models as digests."""
        # Clocks are not read at one moment, and no report can hold a negative age.
        return tuple(
            replace(age, model=digest(model), age_s=max(0.0, age.age_s))
            for model in self.named_versions.models
            for age in self.named_versions.ages(model, self.now())
        )

    def update_version_ages(self, ages: Iterable[VersionAge]) -> None:
        """Apply a peer's ages, with models as digests."""
        models = {digest(model): model for model in self.named_versions.models}
        for age in ages:
            if age.model in models:
                known = replace(age, model=models[age.model])
                self._update_version_age(known, VersionSource.PEER)
            else:
                self._store_unread(age)

    def update_recorded_age(self, age: VersionAge) -> None:
        """Apply an age that the shared store has kept."""
        self._update_version_age(age, VersionSource.RECORDED)

    def log_replaced_weights(self, server: BackendServer, model: str) -> None:
        """Log that a request is sent to a server whose weights were replaced."""
        version = server.versions.get(model)
        if version is None:
            return
        age_s = self.named_versions.replaced_for_s(model, version, self.now())
        if age_s > 0.0:
            self.log.write_sampled(
                Event.REPLACED_WEIGHTS_USED,
                server=server.server_id,
                model=model,
                weights=version,
                age_s=round(age_s, 3),
            )

    def _apply(self, change):
        decoder = self.decoder
        if change.key == decoder.configuration_key:
            if change.item is not None:
                self._configure(decoder.configuration(change.item.value))
        elif change.key.startswith(decoder.versions_prefix):
            if change.item is not None:
                self._add_version(*decoder.named_version(change.item.value))
        elif change.key.startswith(decoder.servers_prefix):
            self._apply_server(change)
        else:
            # All other keys are the gateways' own.
            self.on_own_key_changed(change)

    def _configure(self, configuration):
        previous = self.configuration
        if previous is not None and configuration.version <= previous.version:
            return
        self.configuration = configuration
        self.routes = RouteTable(configuration.routes)
        self.recent_targets.update(
            {r.name: {t.service for t in r.targets} for r in configuration.routes},
            self.now(),
        )
        timeouts_s = (route.timeout_s for route in configuration.routes)
        self.longest_timeout_s = max(self.longest_timeout_s, *timeouts_s, 0.0)
        limits = {
            name: Limit(customer.rate, customer.burst)
            for name, customer in configuration.customers.items()
            if customer.rate > 0
        }
        self.rates.configure(limits, self.now())
        self.log.configuration_version = configuration.version
        self.log.write(
            Event.REVISION_IN_FORCE,
            routes=len(configuration.routes),
            customers=len(configuration.customers),
        )
        self.on_configuration_changed()

    def _add_version(self, model, version):
        if self.named_versions.add(model, version, self.now()):
            source = VersionSource.READ if self.is_reading() else VersionSource.SEEN
            if source is VersionSource.SEEN:
                self.named_versions.record_witness(model, version)
            self._log_version(model, version, source)
            for age in self._unread_versions.pop(digest(model), self.now()):
                known = replace(age, model=model)
                self._update_version_age(known, VersionSource.PEER)
            self._retain_versions(model)
            self.on_version_named()

    def _store_unread(self, age):
        unread = self._unread_versions
        if age.model in unread.models or len(unread.models) < MAX_UNREAD_MODELS:
            unread.add(age.model, age.version, self.now(), age.age_s)
            if age.witnessed:
                unread.record_witness(age.model, age.version)
            unread.retain(age.model, ())

    def _update_version_age(self, age, source):
        """Take over a greater age of a version; log a large correction."""
        named, now = self.named_versions, self.now()
        if age.witnessed:
            named.record_witness(age.model, age.version)
        believed_s = named.age_s(age.model, age.version, now)
        if age.age_s <= believed_s:
            return
        is_newest = named.add(age.model, age.version, now, age.age_s)
        self._retain_versions(age.model)
        corrected_by_s = named.age_s(age.model, age.version, now) - believed_s
        if is_newest:
            self._log_version(age.model, age.version, source)
        elif corrected_by_s > MIN_LOGGED_CORRECTION_S:
            self.log.write(
                Event.VERSION_AGE_CORRECTED,
                model=age.model,
                version=age.version,
                source=source.value,
                age_s=round(age.age_s, 3),
                corrected_by_s=round(corrected_by_s, 3),
            )

    def _retain_versions(self, model):
        servers = self.registry.servers.values()
        in_use = {s.versions[model] for s in servers if model in s.versions}
        self.named_versions.retain(model, in_use)

    def _log_version(self, model, version, source):
        age_s = self.named_versions.age_s(model, version, self.now())
        self.log.write(
            Event.VERSION_NAMED,
            model=model,
            version=version,
            source=source.value,
            age_s=round(age_s, 3),
        )

    def _apply_server(self, change):
        if change.item is None:
            self._remove_server(change.key)
        else:
            try:
                server = self.decoder.server(change.key, change.item.value)
            except MalformedError:
                # The server of the former value must no longer be used.
                self.registry.remove(change.key, self.now())
                self._index_servers()
                raise
            previous = self.registry.servers.get(change.key)
            self.registry.put(change.key, server)
            if previous == server:
                return
            if previous is not None and previous.versions != server.versions:
                self.on_versions_changed(server_key(server))
                self._log_loaded(server)
            else:
                self._log_server(previous, server)
            self.on_server_started(server)
        self._index_servers()

    def _remove_server(self, key):
        now = self.now()
        self.registry.remove(key, now)
        kept_until = self.registry.missing_until.get(key)
        if kept_until is None:
            self.log.write(Event.SERVER_LEFT, entry=key)
        else:
            for_s = round(max(0.0, kept_until - now), 3)
            self.log.write(
                Event.SERVER_KEPT,
                entry=key,
                for_s=for_s,
                outage_cause=self.outage_cause,
                outage_began_s_ago=round(now - self.outage_began_at, 3),
            )

    def _log_loaded(self, server):
        self.log.write(
            Event.LOAD_FINISHED,
            server=server.server_id,
            versions=str(server.versions),
        )

    def _log_server(self, previous, server):
        self.log.write(
            Event.SERVER_CHANGED if previous else Event.SERVER_JOINED,
            server=server.server_id,
            service=server.service,
            draining=server.draining,
            versions=str(server.versions),
        )

    def _index_servers(self):
        servers = {}
        keys = set()
        serving = {}
        for server in _newest_by_address(self.registry.servers.values()):
            key = server_key(server)
            keys.add(key)
            if not server.draining:
                serving[key] = server
            if not server.draining and key not in self.replaced_keys:
                servers.setdefault(server.service, {})[key] = server
        self.replaced_keys &= keys
        self.refused_at = {k: at for k, at in self.refused_at.items() if k in keys}
        self.servers = servers
        previous, self._serving = self._serving, serving
        for key in previous.keys() - keys:
            self.on_server_ended(previous[key])
        self._record_software()
        self.on_servers_changed()

    def _record_software(self):
        versions = {}
        for server in self.registry.servers.values():
            versions.setdefault(server.service, set()).add(server.software_version)
        self.recent_software.update(versions, self.now())


def _newest_by_address(servers):
    """Return the servers without those whose address another one has taken.

    The entry of a server that crashed stays for seconds after its successor
    has registered.
    """
    newest = {}
    for server in servers:
        previous = newest.get(server.address)
        if previous is None or server.started_at >= previous.started_at:
            newest[server.address] = server
    return newest.values()

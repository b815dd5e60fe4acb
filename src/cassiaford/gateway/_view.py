"""What a gateway believes of its surroundings, decoded and indexed."""

import asyncio
from collections.abc import Callable

import xxhash

from cassiaford.gateway._configuration import Configuration, RouteTable
from cassiaford.gateway._dialect import MalformedError, RecordDecoder
from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._messages import BackendServer
from cassiaford.gateway._mirror import MirrorListener
from cassiaford.gateway._store import Change
from cassiaford.gateway.policy import FleetRates, Limit, NamedVersions, ServerRegistry
from cassiaford.logs import Event


def digest(text: str) -> int:
    """Return the number under which instances speak of a name."""
    return xxhash.xxh32_intdigest(text.encode())


def server_key(server: BackendServer) -> int:
    """Return the number under which instances speak of an incarnation."""
    return digest("|".join(map(str, server.incarnation)))


class View(MirrorListener):
    """The configuration in force, the backend servers, and named versions."""

    def __init__(self, records: RecordDecoder, rates: FleetRates, log: EventLog):
        self.records = records
        self.rates = rates
        self.log = log
        self.configuration: Configuration | None = None
        self.routes = RouteTable(())
        self.registry = ServerRegistry()
        self.servers: dict[str, dict[int, BackendServer]] = {}
        self.replaced_keys: set[int] = set()
        self.named_versions = NamedVersions()
        self.on_versions_changed: Callable[[int], None] = lambda key: None
        self.on_own_key_changed: Callable[[Change], None] = lambda change: None
        self.on_servers_changed: Callable[[], None] = lambda: None
        self.on_configuration_changed: Callable[[], None] = lambda: None
        self.now = asyncio.get_running_loop().time

    def changed(self, change: Change) -> None:
        """Take in a change of the store; what cannot be read is passed over."""
        try:
            self._take_in(change)
        except MalformedError as error:
            self.log.write(Event.REVISION_REJECTED, key=change.key, cause=str(error))

    def store_lost(self) -> None:
        """Keep entries that lapse from now on, until the store is back."""
        self.registry.store_lost()

    def store_returned(self) -> None:
        """Wait for entries that lapsed during an outage."""
        self.registry.store_returned(self.now())

    def expire(self) -> None:
        """Drop servers whose entries did not come back."""
        if self.registry.expire(self.now()):
            self._index_servers()

    def record_replacement(self, server: BackendServer) -> None:
        """Take in that another server answers at a server's address."""
        key = server_key(server)
        if key not in self.replaced_keys:
            self.replaced_keys.add(key)
            self.log.write(Event.SERVER_REPLACED, server=server.server_id)
            self._index_servers()

    def engines_of(self, model: str) -> dict[int, BackendServer]:
        """Return the engines that have a model, by key."""
        return {
            key: server
            for servers in self.servers.values()
            for key, server in servers.items()
            if model in server.versions
        }

    def _take_in(self, change):
        records = self.records
        if change.key == records.configuration_key:
            if change.item is not None:
                self._configure(records.configuration(change.item.value))
        elif change.key.startswith(records.versions_prefix):
            if change.item is not None:
                self._name_version(*records.named_version(change.item.value))
        elif change.key.startswith(records.servers_prefix):
            self._server_changed(change)
        else:
            self.on_own_key_changed(change)

    def _configure(self, configuration):
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        self.routes = RouteTable(configuration.routes)
        limits = {
            name: Limit(customer.rate, customer.burst)
            for name, customer in configuration.customers.items()
            if customer.rate > 0
        }
        self.rates.configure(limits, self.now())
        self.log.configuration = configuration.version
        self.log.write(
            Event.REVISION_IN_FORCE,
            routes=len(configuration.routes),
            customers=len(configuration.customers),
        )
        self.on_configuration_changed()

    def _name_version(self, model, version):
        if self.named_versions.name(model, version, self.now()):
            self.log.write(Event.VERSION_NAMED, model=model, version=version)

    def _server_changed(self, change):
        if change.item is None:
            self.registry.remove(change.key, self.now())
            if change.key not in self.registry.servers:
                self.log.write(Event.SERVER_LEFT, entry=change.key)
        else:
            try:
                server = self.records.server(change.key, change.item.value)
            except MalformedError:
                # What stood there before is not to be used any more.
                self.registry.remove(change.key, self.now())
                self._index_servers()
                raise
            known = self.registry.servers.get(change.key)
            self.registry.put(change.key, server)
            if known == server:
                return
            if known is not None and known.versions != server.versions:
                self.on_versions_changed(server_key(server))
                self._log_loaded(server)
            else:
                self._log_server(known, server)
        self._index_servers()

    def _log_loaded(self, server):
        self.log.write(
            Event.LOAD_FINISHED,
            server=server.server_id,
            versions=str(server.versions),
        )

    def _log_server(self, known, server):
        self.log.write(
            Event.SERVER_CHANGED if known else Event.SERVER_JOINED,
            server=server.server_id,
            service=server.service,
            draining=server.draining,
            versions=str(server.versions),
        )

    def _index_servers(self):
        servers = {}
        known = set()
        for server in _newest_by_address(self.registry.servers.values()):
            key = server_key(server)
            known.add(key)
            if not server.draining and key not in self.replaced_keys:
                servers.setdefault(server.service, {})[key] = server
        self.replaced_keys &= known
        self.servers = servers
        self.on_servers_changed()


def _newest_by_address(servers):
    """Return the servers without those whose address another one has now.

    The entry of a server that crashed stays for seconds after its successor
    has registered.
    """
    newest = {}
    for server in servers:
        known = newest.get(server.address)
        if known is None or server.started_at >= known.started_at:
            newest[server.address] = server
    return newest.values()

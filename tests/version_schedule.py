"""Schedules of versions, restarts and lost reports, in virtual time.

The instances are gateways without their sockets: reports between them are delayed,
duplicated, reordered and lost, and the store is one in memory.
"""

import asyncio
import contextlib
import json
import random
from dataclasses import replace
from unittest import mock

from cassiaford.gateway import (
    ConnectionPool,
    Gateway,
    GatewayAddresses,
    GatewaySettings,
    RetryLimits,
)
from cassiaford.gateway._engine_control import EngineCallError, EngineControl
from cassiaford.gateway._own_keys import VERSIONS_PREFIX
from cassiaford.gateway._registration import encode_entry
from cassiaford.gateway._version_terms import RECORDS, decode_record
from cassiaford.gateway.policy import START_MARGIN_S
from cassiaford.platform import create_adapter
from tests.fakes_shared_store import FakeSharedStore
from tests.platform_case import MODEL

INSTANCES = 5
ENGINES = 6
DURATION_S = 30.0
LOST_REPORTS = 0.1
DUPLICATED_REPORTS = 0.1
REPORT_S = (0.0005, 0.05)
DOWN_S = (0.2, 4.0)
CHECK_INTERVAL_S = 0.1
# The users' bound binds instances that have been up for this long.
CONTACT_S = 3.0
# The interval of whole reports, and the lag of an undisturbed watch.
MAX_YOUNGER_S = 1.0 + 0.5
MAX_OLDER_S = 0.001
WEIGHTS_WITHIN_S = 6.0
TERM_S = WEIGHTS_WITHIN_S - START_MARGIN_S
RECORDS_PREFIX = VERSIONS_PREFIX + RECORDS


class UnreachableEngines(EngineControl):
    """Engines that get no order; the schedule has them load weights by itself."""

    async def report(self, server):
        """Fail."""
        raise EngineCallError("no response")

    async def order(self, server, order):
        """Fail."""
        raise EngineCallError("no response")


class Instance:
    """A gateway that follows the store and sends reports, without its sockets."""

    def __init__(self, fleet, name, incarnation):
        self.fleet = fleet
        number = int(name.rpartition("-")[2])
        address = f"10.0.0.{number}"
        settings = GatewaySettings(
            instance=name,
            data_centre="a",
            addresses=GatewayAddresses(*(f"{address}:{p}" for p in range(80, 85))),
            store_address="10.0.1.1:80",
            retry_limits=RetryLimits(ratio=0.2, slack=50, window_s=10),
            changes_within_s=2.0,
            rate_window_s=8.0,
            weights_within_s=WEIGHTS_WITHIN_S,
            drain_s=4.0,
            directory_ttl_s=1.0,
        )
        adapter = create_adapter(settings.store_address, ConnectionPool())
        adapter.store = fleet.store.client()
        rng = random.Random(f"{name}/{incarnation}/{fleet.rng.random()}")
        self.gateway = Gateway(settings, adapter, rng)
        self.gateway.log.write = lambda event, **details: None
        self.gateway.state = replace(self.gateway.state, incarnation=incarnation)
        self.gateway.peers.state = self.gateway.state
        self.gateway.sync.clock = fleet.loop.time
        self.gateway.peers.transport = self
        # Copies of the store would come over a socket.
        self.gateway.peers.on_newer_peer = lambda peer, revision: None
        self.started_at = fleet.loop.time()
        fleet.store.put(
            f"cassiaford/instances/{name}", encode_entry(self.gateway.state)
        )
        orderer = self.gateway.orderer
        orderer.control = UnreachableEngines()
        self.tasks = [
            fleet.loop.create_task(run())
            for run in (
                self.gateway.sync.run,
                self.gateway.peers.run,
                orderer.run,
                self.gateway.terms.run,
            )
        ]

    async def stop(self):
        """End the background tasks, as a kill does."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def replaced_for_s(self, version):
        """Return the seconds for which it believes a version to be replaced."""
        named = self.gateway.view.named_versions
        return named.replaced_for_s(MODEL, version, self.fleet.loop.time())

    # The transport of its reports.

    def is_closing(self):
        """Return whether nothing can be sent."""
        return False

    def sendto(self, data, address):
        """Send a report through the faulty network."""
        self.fleet.send(data, address)


class VersionSchedule:
    """One run; `wrong` has what instances believed wrongly, and when."""

    def __init__(self, seed, kill_all=False):
        self.kill_all = kill_all
        self.all_killed_at = self.up_again_at = float("-inf")
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.store = FakeSharedStore()
        self.instances: dict[str, Instance | None] = {}
        self.incarnations = 0
        self.named_at: list[tuple[int, float]] = []
        self.held = [1] * ENGINES
        self.wrong: list[str] = []
        self.checks = 0

    async def run(self):
        """Play the schedule to its end."""
        with self._virtual_clocks():
            await self._play()

    @contextlib.contextmanager
    def _virtual_clocks(self):
        with (
            mock.patch("cassiaford.gateway._orders.boot_time", self.loop.time),
            mock.patch("cassiaford.gateway._view.suspended_s", float),
        ):
            yield

    async def _play(self):
        self.name_version()
        for engine in range(ENGINES):
            self.put_engine(engine)
        for number in range(1, INSTANCES + 1):
            self.start(f"entry-{number}")
        await asyncio.sleep(CONTACT_S + 1.0)
        activities = (self._name_versions, self._load, self._restart, self._resync)
        if self.kill_all:
            activities = (self._name_versions, self._load, self._kill_all)
        tasks = [self.loop.create_task(run()) for run in activities]
        while self.loop.time() < DURATION_S:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._check()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.kill_instances()

    @contextlib.asynccontextmanager
    async def calm(self, instances=3):
        """Run some instances without trouble, after a second version was named."""
        with self._virtual_clocks():
            self.name_version()
            self.put_engine(0)
            for number in range(1, instances + 1):
                self.start(f"entry-{number}")
            await asyncio.sleep(CONTACT_S)
            self.name_version()
            try:
                yield
            finally:
                await self.kill_instances()

    async def kill_instances(self):
        """Kill all instances."""
        running = list(filter(None, self.instances.values()))
        self.instances = dict.fromkeys(self.instances)
        for instance in running:
            await instance.stop()

    def stored(self, prefix):
        """Return the keys below a prefix of the keys of versions."""
        prefix = VERSIONS_PREFIX + prefix
        return [key for key in self.store.items if key.startswith(prefix)]

    def start(self, name):
        """Start an instance, or the next incarnation of one."""
        self.incarnations += 1
        if self.up_again_at < self.all_killed_at:
            self.up_again_at = self.loop.time()
        self.instances[name] = Instance(self, name, self.incarnations)

    def name_version(self):
        """Name the next version, as operators do."""
        version = len(self.named_at) + 1
        document = {"Model": MODEL, "Version": version}
        self.store.put(f"op/version/{MODEL}", json.dumps(document).encode())
        self.named_at.append((version, self.loop.time()))

    def put_engine(self, engine):
        """Write an engine's entry with the weights that it holds."""
        document = {
            "Service": "engine",
            "Address": f"10.0.2.{engine + 1}:80",
            "Zone": "a",
            "Slots": 8,
            "State": "ready",
            "Models": [{"Name": MODEL, "Version": self.held[engine]}],
        }
        self.store.put(f"servers/i-{engine}", json.dumps(document).encode())

    def send(self, data, address):
        """Deliver a report late, twice or never."""
        copies = 2 if self.rng.random() < DUPLICATED_REPORTS else 1
        for _ in range(copies):
            if self.rng.random() >= LOST_REPORTS:
                delay_s = self.rng.uniform(*REPORT_S)
                self.loop.call_later(delay_s, self._deliver, data, address)

    def believed_s(self, name):
        """Return for how long an instance believes the first version replaced."""
        return self.instances[name].replaced_for_s(1)

    def true_age_s(self, version):
        """Return the seconds since a newer version than one was named."""
        newer = [at for named, at in self.named_at if named > version]
        return self.loop.time() - min(newer) if newer else 0.0

    def _deliver(self, data, address):
        instance = self.instances[f"entry-{address[0].rpartition('.')[2]}"]
        if instance is not None:
            instance.gateway.peers.receive(data, address)

    async def _name_versions(self):
        while True:
            await asyncio.sleep(self.rng.uniform(0.5, 6.0))
            for _ in range(self.rng.choice((1, 1, 2, 5, 30))):
                self.name_version()
                await asyncio.sleep(self.rng.uniform(0.0, 0.4))

    async def _load(self):
        while True:
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            engine = self.rng.randrange(1, ENGINES)
            self.held[engine] = len(self.named_at)
            self.put_engine(engine)

    async def _restart(self):
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            if len(self._informed()) > 2:
                up = [name for name, instance in self.instances.items() if instance]
                self.loop.create_task(self._restart_one(self.rng.choice(up)))

    async def _restart_one(self, name):
        instance, self.instances[name] = self.instances[name], None
        await instance.stop()
        await asyncio.sleep(self.rng.uniform(*DOWN_S))
        self.start(name)

    async def _kill_all(self):
        while True:
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))
            if self._is_recorded():
                self.all_killed_at = self.loop.time()
                names = list(self.instances)
                await asyncio.gather(*(self._restart_one(name) for name in names))
                await asyncio.sleep(self.rng.uniform(1.0, 8.0))

    def _is_recorded(self):
        """Return whether a record in the store has the newest version."""
        version = len(self.named_at)
        return any(
            key.startswith(RECORDS_PREFIX)
            and version in decode_record(item.value, 0).versions
            for key, item in self.store.items.items()
        )

    async def _resync(self):
        while True:
            await asyncio.sleep(self.rng.uniform(1.0, 5.0))
            self.store.compact()
            if self.rng.random() < 0.5:
                self.store.reset_connections()

    def _informed(self):
        """Return the instances that have been up for long enough."""
        now = self.loop.time()
        return [
            name
            for name, instance in self.instances.items()
            if instance is not None and now - instance.started_at > CONTACT_S
        ]

    def _check(self):
        informed = self._informed()
        for name, instance in self.instances.items():
            if instance is None:
                continue
            for version in set(self.held):
                self._check_one(name, instance, version, name in informed)

    def _check_one(self, name, instance, version, informed):
        self.checks += 1
        true = self.true_age_s(version)
        believed = instance.replaced_for_s(version)
        what = f"{self.loop.time():.3f} {name} {version}: {believed:.3f} of {true:.3f}"
        if believed > true + MAX_OLDER_S:
            self.wrong.append(f"older {what}")
        if informed and believed < self._least_age_s(version) - MAX_YOUNGER_S:
            self.wrong.append(f"younger {what}")

    def _least_age_s(self, version):
        """Return what the instances together can know of a version's age."""
        true = self.true_age_s(version)
        now = self.loop.time()
        if true <= now - self.all_killed_at:
            # While all were down, nobody saw a version.
            return min(true, now - self.up_again_at)
        # Of a version named before all were killed, the store has only kept
        # whether its time is over.
        return TERM_S + MAX_YOUNGER_S if true > TERM_S + MAX_YOUNGER_S else 0.0

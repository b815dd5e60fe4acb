"""The time in which a fleet is whole again after the store lost its newest changes.

Gateways without their sockets run in virtual time against a store in memory, which
is away for a moment and comes back from a copy that has none of their entries. They
exchange no reports. An instance is whole once it is registered and has read every
section in the new era. Watches count as reads; leases and transactions as writes.

    python -m bench.restored_store
"""

import argparse
import asyncio
import bisect
import json
import pathlib
import random
import statistics
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from unittest import mock

from cassiaford.gateway import (
    ConnectionPool,
    Gateway,
    GatewayAddresses,
    GatewaySettings,
    RetryLimits,
)
from cassiaford.gateway._orders import LEASE_S
from cassiaford.gateway._own_keys import INSTANCES_PREFIX
from cassiaford.platform import create_adapter
from tests.fakes_shared_store import FakeSharedStore, FakeStoreClient
from tests.platform_case import MODEL
from tests.version_schedule import UnreachableEngines
from tests.virtual_time import run_in_virtual_time

SIZES = (6, 30, 70)
SEEDS = 20
WARM_UP_S = 10.0
AWAY_S = 0.5
OBSERVED_S = 6.0
CHECK_INTERVAL_S = 0.005
WINDOW_S = 0.1
MAX_WHOLE_S = 2.0
MAX_ORDERS_S = 1.5 * LEASE_S
# Calls a second that a site grants, reads and writes; the smaller of two sites'
# where none is of the size.
SITE_RATES = {6: (2000, 400), 30: (2000, 400), 70: (6000, 1200)}
MAX_SHARE = 0.5


@dataclass(frozen=True)
class Result:
    """One run: times since the store's return, and most calls in any window."""

    instances: int
    seed: int
    whole_s: float
    orders_s: float
    reads: int
    writes: int


class CountingClient(FakeStoreClient):
    """Records when it calls the store."""

    def __init__(self, store):
        super().__init__(store)
        self.reads: list[float] = []
        self.writes: list[float] = []

    async def _call(self, timeout_s, respond, *arguments):
        is_read = respond in (self._page, self._changes)
        calls = self.reads if is_read else self.writes
        calls.append(asyncio.get_running_loop().time())
        return await super()._call(timeout_s, respond, *arguments)


class RestoredFleet:
    """A fleet whose store comes back from an older copy."""

    def __init__(self, instances, seed):
        self.instances = instances
        self.seed = seed
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.store = FakeSharedStore()
        self.gateways = []
        self.tasks = []

    async def run(self) -> Result:
        """Play the return and measure it."""
        with (
            mock.patch("cassiaford.gateway._orders.boot_time", self.loop.time),
            mock.patch("cassiaford.gateway._view.suspended_s", float),
        ):
            return await self._run()

    async def _run(self):
        self._put_documents()
        copy = self.store.copy()
        for number in range(1, self.instances + 1):
            self._start(number)
        await asyncio.sleep(WARM_UP_S + self.rng.random() * LEASE_S)
        if not (all(map(self._is_whole, self.gateways)) and self._orders()):
            raise RuntimeError("the fleet was not whole before the store went away")
        self.store.refusing = True
        self.store.reset_connections()
        await asyncio.sleep(AWAY_S)
        self.store.restore(copy)
        self.store.refusing = False
        result = await self._measure(self.loop.time())
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        return result

    async def _measure(self, returned_at):
        whole_s = orders_s = float("inf")
        while self.loop.time() < returned_at + OBSERVED_S:
            since_s = round(self.loop.time() - returned_at, 3)
            if whole_s > since_s and all(map(self._is_whole, self.gateways)):
                whole_s = since_s
            if orders_s > since_s and self._orders():
                orders_s = since_s
            await asyncio.sleep(CHECK_INTERVAL_S)
        clients = [gateway.adapter.store for gateway in self.gateways]
        until = returned_at + min(whole_s, OBSERVED_S)
        reads = [at for c in clients for at in c.reads if returned_at <= at <= until]
        writes = [at for c in clients for at in c.writes if returned_at <= at <= until]
        return Result(
            self.instances, self.seed, whole_s, orders_s, _most(reads), _most(writes)
        )

    def _put_documents(self):
        document = {"Model": MODEL, "Version": 2}
        self.store.put(f"op/version/{MODEL}", json.dumps(document).encode())
        for engine in range(3 * self.instances):
            document = {
                "Service": "engine",
                "Address": f"10.0.2.{engine + 1}:80",
                "Zone": "a",
                "Slots": 8,
                "State": "ready",
                "Models": [{"Name": MODEL, "Version": 1}],
            }
            self.store.put(f"servers/i-{engine}", json.dumps(document).encode())

    def _start(self, number):
        address = f"10.0.0.{number}"
        settings = GatewaySettings(
            instance=f"entry-{number}",
            data_centre="a",
            addresses=GatewayAddresses(*(f"{address}:{p}" for p in range(80, 85))),
            store_address="10.0.1.1:80",
            retry_limits=RetryLimits(ratio=0.2, slack=50, window_s=10),
            changes_within_s=2.0,
            rate_window_s=8.0,
            weights_within_s=6.0,
            drain_s=4.0,
            directory_ttl_s=1.0,
        )
        adapter = create_adapter(settings.store_address, ConnectionPool())
        adapter.store = CountingClient(self.store)
        rng = random.Random(f"{number}/{self.seed}")
        gateway = Gateway(settings, adapter, rng)
        gateway.log.write = lambda event, **details: None
        gateway.sync.clock = self.loop.time
        gateway.peers.on_newer_peer = lambda peer, revision: None
        gateway.orderer.control = UnreachableEngines()
        self.gateways.append(gateway)
        delay_s = rng.random()
        self.tasks += [
            self.loop.create_task(_run_after(delay_s, run))
            for run in (gateway.sync.run, gateway.orderer.run, gateway.registration.run)
        ]

    def _is_whole(self, gateway):
        mirror, registration = gateway.mirror, gateway.registration
        return (
            mirror.complete
            and mirror.era == self.store.era
            and registration.registered
            and registration.lease_era == self.store.era
            and INSTANCES_PREFIX + gateway.state.name in self.store.items
        )

    def _orders(self):
        """Return whether an instance orders in the present era."""
        holders = [g.orderer for g in self.gateways if g.orderer.holds_lease]
        return any(orderer.lease_era == self.store.era for orderer in holders)


async def _run_after(delay_s, run):
    await asyncio.sleep(delay_s)
    await run()


def _most(times):
    """Return the most calls in any window."""
    times = sorted(times)
    return max(
        (bisect.bisect_left(times, at + WINDOW_S) - n for n, at in enumerate(times)),
        default=0,
    )


def measure(instances: int, seed: int) -> Result:
    """Play one return of the store."""

    async def run():
        return await RestoredFleet(instances, seed).run()

    return run_in_virtual_time(run())


def summarize(results: Sequence[Result]) -> dict[str, object]:
    """Return the medians and worst values of runs, and the goals that they miss."""
    size = results[0].instances
    reads, writes = (MAX_SHARE * WINDOW_S * rate for rate in SITE_RATES[size])
    goals = {
        "whole_s": MAX_WHOLE_S,
        "orders_s": MAX_ORDERS_S,
        "reads": reads,
        "writes": writes,
    }
    summary = {"instances": size, "seeds": len(results)}
    for name, goal in goals.items():
        values = [getattr(result, name) for result in results]
        summary[name] = {
            "median": statistics.median(values),
            "worst": max(values),
            "goal": goal,
            "met": max(values) <= goal,
        }
    return summary


def main(argv: Sequence[str] | None = None) -> None:
    """Measure all sizes, print a summary of each, and write every run to a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first of the seeds")
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--output", type=pathlib.Path)
    options = parser.parse_args(argv)
    runs = []
    for size in options.sizes:
        seeds = range(options.seed, options.seed + options.seeds)
        results = [measure(size, seed) for seed in seeds]
        print(json.dumps(summarize(results)), flush=True)
        runs += map(asdict, results)
    if options.output:
        options.output.write_text(json.dumps(runs, indent=1) + "\n")


if __name__ == "__main__":
    main()

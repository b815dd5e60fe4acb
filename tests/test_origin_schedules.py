"""Schedules of kills, cuts and lost messages while callers take up their streams.

Run as ``python -m tests.test_origin_schedules 50`` to try many seeds; it prints
the shares of new and of taken up streams that go on.
"""

import asyncio
import itertools
import random
import sys
import unittest
from dataclasses import dataclass, field

from cassiaford.gateway._peer_codec import decode_message
from cassiaford.gateway._shared_origins import SharedStreamOrigins
from cassiaford.gateway.policy import PeerState, PeerTable
from cassiaford.origins import may_continue, origin_of
from tests.virtual_time import run_in_virtual_time

SEEDS = 6
INSTANCES = 7
SCHEDULE_S = 20.0
STREAMS_PER_S = 40.0
SERVICE = "chat"
VERSIONS = ("v1", "v2", "v3")
EVENTS_PER_STREAM = 12
MAX_TAKE_UPS = 6
# Fewer streams taken up would show nothing.
MIN_TAKEN_UP = 12
# From this time after its start on, an instance counts.
UP_S = 3.0
# Of the streams taken up, at least this fraction of the share of new ones goes on.
MIN_SHARE_OF_NEW = 0.5


@dataclass(frozen=True)
class Server:
    """A backend server; a restart makes another one."""

    number: int
    version: str


@dataclass
class Stream:
    """A caller's stream: the software version that made each event that it has."""

    attempt_id: str
    versions: list[str] = field(default_factory=list)

    @property
    def complete(self):
        """Whether the caller has every event."""
        return len(self.versions) == EVENTS_PER_STREAM


class Instance:
    """An instance that serves streams, until it is killed."""

    def __init__(self, schedule, name, incarnation):
        self.schedule = schedule
        self.name = name
        self.state = PeerState(name, incarnation, "a", f"front-{name}", name)
        self.started_at = schedule.now()
        self.alive = True
        self.table = PeerTable()
        self.origins = SharedStreamOrigins(self.table)
        self.origins.remember(origin_of(SERVICE, version) for version in VERSIONS)
        self.origins.send = lambda data, to: schedule.send_datagram(self, to, data)

    async def serve(self, stream, resumed):
        """Relay a stream's events; return whether any event was relayed."""
        schedule = self.schedule
        origin = await self.origins.find(stream.attempt_id) if resumed else None
        relayed = False
        while self.alive and not stream.complete:
            server = schedule.choose_server(origin, begun=resumed or relayed)
            if server is None:
                break
            await asyncio.sleep(schedule.rng.uniform(0.06, 0.15))
            while schedule.is_serving(server) and self.alive and not stream.complete:
                if schedule.rng.random() < schedule.crash_fraction:
                    schedule.replace(server)
                    break
                if not relayed:
                    relayed = True
                    origin = origin_of(SERVICE, server.version)
                    self.origins.record(stream.attempt_id, origin)
                stream.versions.append(server.version)
                if schedule.rng.random() < schedule.break_fraction:
                    return True
                await asyncio.sleep(schedule.rng.uniform(0.005, 0.04))
        return relayed


class Schedule:
    """One seeded run; counts what began, was taken up and went on."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = asyncio.get_running_loop().time
        self.crash_fraction = self.rng.uniform(0.001, 0.02)
        self.break_fraction = self.rng.uniform(0.005, 0.05)
        self.loss = self.rng.choice((0.0, 0.02, 0.1))
        self.duplication = self.rng.choice((0.0, 0.1))
        self.late = self.rng.choice((0.0, 0.05))
        self.numbers = itertools.count()
        self.servers = {
            self._new_server(VERSIONS[0]),
            *(self._new_server() for _ in range(7)),
        }
        self.cuts = set()
        self.instances = {}
        for number in range(INSTANCES):
            self._start_instance(f"entry-{number}")
        self.began = self.new = 0
        self.went_on = self.taken_up = 0
        self.joined = []

    # The network and the servers.

    def send_datagram(self, sender, receiver, data):
        """Lose, duplicate, delay or deliver a datagram."""
        for _ in range(2 if self.rng.random() < self.duplication else 1):
            if self.rng.random() < self.loss or self._is_cut(sender.name, receiver):
                continue
            late = self.rng.random() < self.late
            delay_s = self.rng.uniform(0.1, 4.0) if late else self.rng.uniform(0, 0.003)
            asyncio.get_running_loop().call_later(
                delay_s, self._deliver, sender.name, receiver, data
            )

    def _deliver(self, sender, receiver, data):
        instance = self.instances[receiver]
        if instance.alive:
            instance.origins.receive(decode_message(data), sender)

    def _is_cut(self, one, other):
        return frozenset((one, other)) in self.cuts

    def is_serving(self, server):
        """Return whether a server still serves."""
        return server in self.servers

    def choose_server(self, origin, begun):
        """Return a server, of the origin's software version if a stream has begun."""
        fitting = [
            server
            for server in sorted(self.servers, key=lambda server: server.number)
            if not begun or may_continue(origin, SERVICE, server.version)
        ]
        return self.rng.choice(fitting) if fitting else None

    def replace(self, server):
        """Crash a server; another one starts, perhaps of another version."""
        if server in self.servers:
            self.servers.remove(server)
            self.servers.add(self._new_server())

    def _new_server(self, version=None):
        return Server(next(self.numbers), version or self.rng.choice(VERSIONS))

    def _start_instance(self, name):
        instance = Instance(self, name, next(self.numbers) + 1)
        for other in self.instances.values():
            if other.alive:
                other.table.register(instance.state, self.now())
                instance.table.register(other.state, self.now())
        self.instances[name] = instance

    # What goes on at the same time.

    async def run(self):
        """Run the schedule to its end."""
        faults = [
            asyncio.create_task(run())
            for run in (self._report, self._kill, self._cut, self._roll_out)
        ]
        callers = []
        while self.now() < SCHEDULE_S:
            await asyncio.sleep(self.rng.expovariate(STREAMS_PER_S))
            stream = Stream(f"attempt-{next(self.numbers)}")
            callers.append(asyncio.create_task(self._call(stream)))
        await asyncio.gather(*callers)
        for task in faults:
            task.cancel()
        await asyncio.gather(*faults, return_exceptions=True)

    async def _report(self):
        while True:
            for sender in self.instances.values():
                for receiver in self.instances.values():
                    if sender is receiver or not (sender.alive and receiver.alive):
                        continue
                    if self.rng.random() < self.loss:
                        continue
                    if not self._is_cut(sender.name, receiver.name):
                        receiver.table.update_from_peer(sender.state, self.now())
            for instance in self.instances.values():
                instance.table.expire(self.now())
            await asyncio.sleep(0.3)

    async def _kill(self):
        while True:
            await asyncio.sleep(self.rng.uniform(0.5, 2.0))
            victims = self.rng.sample(
                sorted(self.instances), self.rng.choice((1, 1, 2, 3))
            )
            for name in victims:
                self.instances[name].alive = False
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
            for name in victims:
                self._start_instance(name)

    async def _cut(self):
        while True:
            await asyncio.sleep(self.rng.uniform(1.0, 4.0))
            side = set(self.rng.sample(sorted(self.instances), self.rng.randint(1, 3)))
            self.cuts = {
                frozenset((one, other))
                for one in side
                for other in set(self.instances) - side
            }
            await asyncio.sleep(self.rng.uniform(0.3, 2.0))
            self.cuts = set()

    async def _roll_out(self):
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))
            self.replace(self.rng.choice(sorted(self.servers, key=lambda s: s.number)))

    async def _call(self, stream):
        """Start a stream as its caller, and take it up wherever it breaks off."""
        await self._attempt(stream, resumed=False)
        for _ in range(MAX_TAKE_UPS):
            if not stream.versions or stream.complete:
                break
            await asyncio.sleep(self.rng.uniform(0.005, 0.05))
            if not await self._attempt(stream, resumed=True):
                break
        if len(set(stream.versions)) > 1:
            self.joined.append(stream)

    async def _attempt(self, stream, resumed):
        """Send a stream's request to an instance; return whether it went on."""
        running = [i for i in self.instances.values() if i.alive]
        if not running:
            return False
        instance = self.rng.choice(running)
        counts = self.now() - instance.started_at >= UP_S
        if resumed:
            counts = counts and self._matching_servers(stream) >= 2
        relayed = await instance.serve(stream, resumed)
        # A kill of this instance would count against new streams as well.
        if counts and resumed and self._matching_servers(stream) >= 2:
            self.taken_up += 1
            self.went_on += relayed
        elif counts and not resumed:
            self.new += 1
            self.began += relayed
        return relayed

    def _matching_servers(self, stream):
        return sum(server.version == stream.versions[0] for server in self.servers)


async def _run_schedule(seed):
    schedule = Schedule(seed)
    await schedule.run()
    return schedule


def run_schedule(seed):
    """Run the schedule of a seed and return it with its counts."""
    return run_in_virtual_time(_run_schedule(seed))


class OriginScheduleTest(unittest.TestCase):
    def test_no_schedule_joins_versions_and_most_streams_go_on(self):
        for seed in range(1, SEEDS + 1):
            with self.subTest(seed=seed):
                schedule = run_schedule(seed)
                self.assertEqual(schedule.joined, [])
                self.assertGreaterEqual(schedule.taken_up, MIN_TAKEN_UP)
                share_new = schedule.began / schedule.new
                share_taken_up = schedule.went_on / schedule.taken_up
                self.assertGreaterEqual(share_taken_up, MIN_SHARE_OF_NEW * share_new)

    def test_a_schedule_that_ignores_origins_would_join_versions(self):
        # Shows that the schedules meet the fault that the others guard against.
        class Careless(Schedule):
            def choose_server(self, origin, begun):
                return super().choose_server(None, begun=False)

        async def run():
            schedule = Careless(1)
            await schedule.run()
            return schedule

        self.assertGreater(len(run_in_virtual_time(run()).joined), 4)


def main(seeds):
    """Print the counts of many seeds; return whether none joined versions."""
    joined = 0
    for seed in range(1, seeds + 1):
        schedule = run_schedule(seed)
        joined += len(schedule.joined)
        new, taken_up = max(1, schedule.new), max(1, schedule.taken_up)
        print(
            f"seed {seed}: new {schedule.began}/{schedule.new}"
            f" {schedule.began / new:.3f}, taken up"
            f" {schedule.went_on}/{schedule.taken_up}"
            f" {schedule.went_on / taken_up:.3f}, joined {len(schedule.joined)}"
        )
    return joined == 0


if __name__ == "__main__":
    sys.exit(0 if main(int(sys.argv[1])) else 1)

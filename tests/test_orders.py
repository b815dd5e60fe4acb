"""Tests of who orders loads of weights, on seeded schedules of failures."""

import random
import unittest
from dataclasses import dataclass, field

from cassiaford.policy import (
    DesiredVersion,
    Load,
    LoadTable,
    Orderer,
    OrderLimits,
    SendOrder,
    WriteTable,
)
from tests.schedules import seeds

MODEL = "binder-7b"
LIMITS = OrderLimits(2, 3.0, 2.0, 20.0, 0.2)
STEP_S = 0.1
CHANGE_EVERY_S = 2.5
CHANGES_END_S = 50.0
LAST_VERSION = "v30"
CALM_AT_S = 60.0
END_S = 90.0


@dataclass
class Engine:
    """Applies orders, those in flight late and out of order."""

    checks_fencing: bool
    load_s: float
    version: str = "v01"
    highest: int = 0
    seen: set = field(default_factory=set)
    loading: dict = field(default_factory=dict)
    taken: list = field(default_factory=list)

    def take(self, load, now):
        if self.checks_fencing and load.order_id in self.seen:
            return
        # One that ignores fencing numbers keeps no identifiers either.
        if load.version in (self.version, *(v for _, v in self.loading.values())):
            return
        if self.checks_fencing and load.fencing < self.highest:
            return
        self.highest = max(self.highest, load.fencing)
        self.seen.add(load.order_id)
        self.taken.append((load.order_id, load.version))
        self.loading[load.order_id] = (now + self.load_s, load.version)

    def advance(self, now):
        for order_id, (at, version) in tuple(self.loading.items()):
            if at <= now:
                self.version = version
                del self.loading[order_id]


class Schedule:
    """Three orderers before a few engines, paused, cut and answered late."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        count = self.rng.choice((2, 4))
        load_s = self.rng.choice((0.3, 1.3))
        self.engines = {f"engine-{n}": Engine(n == 0, load_s) for n in range(count)}
        self.names = ("entry-0", "entry-1", "entry-2")
        self.orderers = {n: Orderer(n, f"{n}/1", LIMITS) for n in self.names}
        self.paused = dict.fromkeys(self.names, 0.0)
        self.read = {}
        self.table, self.version = LoadTable(), 0
        self.pending, self.flights = {}, []
        self.faults = []

    def run(self):
        now = 0.0
        while now < END_S:
            wanted = f"v{int(min(now, CHANGES_END_S) / CHANGE_EVERY_S) + 10}"
            for name in self.names:
                if self.paused[name] <= now:
                    self.turn(name, wanted, now)
            self.land(now)
            self.check(now)
            now += STEP_S
        self.versions = {engine.version for engine in self.engines.values()}

    def turn(self, name, wanted, now):
        calm = now >= CALM_AT_S
        orderer = self.orderers[name]
        # A pause strikes between a decision and its effect as well: what was
        # decided before it is done only now, after a look at the clock.
        for load in self.pending.pop(name, ()):
            self.send(orderer, load, now, calm)
        wants = [
            DesiredVersion(server, MODEL, wanted, engine.checks_fencing)
            for server, engine in self.engines.items()
        ]
        orderer.configure(wants, now)
        for server, engine in self.engines.items():
            orderer.record_report(server, {MODEL: engine.version}, now)
        orderer.apply_table(self.table, now)
        self.read[name] = self.version
        live = [n for n in self.names if calm or self.rng.random() < 0.9]
        for action in orderer.step(live, now):
            if isinstance(action, SendOrder):
                self.pending.setdefault(name, []).append(action.load)
            elif isinstance(action, WriteTable):
                self.swap(name, action.table, now, calm)
        likely = 0.3 if name in self.pending else 0.03
        if not calm and self.rng.random() < likely:
            self.paused[name] = now + self.rng.choice((0.5, 4.0, 12.0))

    def swap(self, name, table, now, calm):
        # Another instance may come between the read and the write.
        if self.read[name] != self.version or self.rng.random() < 0.1:
            return
        self.table, self.version = table, self.version + 1
        lost = not calm and self.rng.random() < 0.3
        if not lost:
            self.orderers[name].apply_table(table, now)

    def send(self, orderer, load, now, calm):
        if not orderer.may_send(load, now):
            return
        orderer.record_order_sent(load, now)
        flight = 0.0 if calm else self.rng.choice((0.0, 0.5, 1.9))
        self.flights.append((now + flight, load))
        if calm or (flight == 0.0 and self.rng.random() < 0.6):
            orderer.record_order_reply(load, True)

    def land(self, now):
        due = [flight for flight in self.flights if flight[0] <= now]
        self.flights = [flight for flight in self.flights if flight[0] > now]
        for _, load in due:
            self.engines[load.server].take(load, now)
        for engine in self.engines.values():
            engine.advance(now)

    def check(self, now):
        loading = sum(len(engine.loading) for engine in self.engines.values())
        if loading > LIMITS.loads_at_once:
            self.faults.append(f"{now:.1f}: {loading} loads at once")
        if all(engine.loading for engine in self.engines.values()):
            self.faults.append(f"{now:.1f}: no engine serves")
        for name, engine in self.engines.items():
            taken = [version for _, version in engine.taken]
            if taken != sorted(taken):
                self.faults.append(f"{now:.1f}: {name} took {taken}")


class OrdererTest(unittest.TestCase):
    def orderer(self, name="entry-0", limits=LIMITS):
        return Orderer(name, f"{name}/1", limits)

    def test_schedules_of_pauses_and_lost_answers(self):
        for seed in seeds(30):
            with self.subTest(seed=seed):
                schedule = Schedule(seed)
                schedule.run()
                self.assertEqual(schedule.faults[:3], [])
                self.assertEqual(schedule.versions, {LAST_VERSION})

    def test_the_last_serving_server_is_not_reloaded(self):
        orderer = self.orderer()
        orderer.configure(
            [DesiredVersion("a", MODEL, "v2"), DesiredVersion("b", MODEL, "v2")], 0.0
        )
        orderer.record_report("a", {MODEL: "v1"}, 5.0)
        orderer.record_report("b", {}, 5.0)
        (write,) = orderer.step(["entry-0"], 5.0)
        self.assertEqual([load.server for load in write.table.loads], ["b"])
        orderer.apply_table(write.table, 5.0)
        steps = [a for a in orderer.step(["entry-0"], 5.0) if type(a) is WriteTable]
        self.assertEqual(steps, [])

    def test_a_holder_that_wakes_after_its_lease_sends_nothing(self):
        orderer = self.orderer()
        orderer.configure([DesiredVersion("a", MODEL, "v2")], 0.0)
        orderer.record_report("a", {}, 5.0)
        (write,) = orderer.step(["entry-0"], 5.0)
        orderer.apply_table(write.table, 5.0)
        (give,) = orderer.step(["entry-0"], 5.0)
        self.assertTrue(orderer.may_send(give.load, 7.9))
        self.assertFalse(orderer.may_send(give.load, 8.0))

    def test_another_order_waits_for_the_flight_of_an_inherited_one(self):
        load = Load("a", MODEL, "v2", "load-1", "entry-9/1", "entry-9/1/1", 1)
        for checks_fencing, over in ((True, True), (False, False)):
            with self.subTest(checks_fencing=checks_fencing):
                orderer = self.orderer()
                want = DesiredVersion("a", MODEL, "v3", checks_fencing)
                orderer.configure([want], 0.0)
                orderer.apply_table(LoadTable(1, (load,)), 5.0)
                (write,) = orderer.step(["entry-0"], 5.0)
                self.assertEqual(write.table.loads[0].order_id, "load-1")
                self.assertEqual(write.table.loads[0].fencing, 2)
                orderer.apply_table(write.table, 5.0)
                orderer.record_report("a", {MODEL: "v2"}, 6.0)
                written = [a.table for a in orderer.step(["entry-0"], 6.0)]
                self.assertEqual(written == [LoadTable(2)], over)
                (write,) = orderer.step(["entry-0"], 10.5)
                orderer.apply_table(write.table, 10.5)


if __name__ == "__main__":
    unittest.main()

"""Tests of the orders to load weights, on seeded schedules of failures."""

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
CHANGE_INTERVAL_S = 2.5
CHANGES_END_S = 50.0
LAST_VERSION = "v30"
FAULTS_END_S = 60.0
END_S = 90.0


@dataclass
class Engine:
    """An engine that executes orders, also late ones and out of order."""

    checks_fencing: bool
    load_s: float
    version: str = "v01"
    highest_fencing: int = 0
    seen: set = field(default_factory=set)
    loading: dict = field(default_factory=dict)
    accepted: list = field(default_factory=list)

    def receive(self, load, now):
        if self.checks_fencing and load.order_id in self.seen:
            return
        # An engine that ignores fencing numbers stores no identifiers either.
        if load.version in (self.version, *(v for _, v in self.loading.values())):
            return
        if self.checks_fencing and load.fencing < self.highest_fencing:
            return
        self.highest_fencing = max(self.highest_fencing, load.fencing)
        self.seen.add(load.order_id)
        self.accepted.append((load.order_id, load.version))
        self.loading[load.order_id] = (now + self.load_s, load.version)

    def advance(self, now):
        for order_id, (ready_at, version) in tuple(self.loading.items()):
            if ready_at <= now:
                self.version = version
                del self.loading[order_id]


class Schedule:
    """Three orderers and a few engines, with pauses and lost or late messages."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        count = self.rng.choice((2, 4))
        load_s = self.rng.choice((0.3, 1.3))
        self.engines = {f"engine-{n}": Engine(n == 0, load_s) for n in range(count)}
        self.names = ("entry-0", "entry-1", "entry-2")
        self.orderers = {n: Orderer(n, f"{n}/1", LIMITS) for n in self.names}
        self.paused_until = dict.fromkeys(self.names, 0.0)
        self.read_versions = {}
        self.table, self.version = LoadTable(), 0
        self.decided, self.in_flight = {}, []
        self.faults = []

    def run(self):
        now = 0.0
        while now < END_S:
            version = f"v{int(min(now, CHANGES_END_S) / CHANGE_INTERVAL_S) + 10}"
            for name in self.names:
                if self.paused_until[name] <= now:
                    self.run_instance(name, version, now)
            self.deliver(now)
            self.check(now)
            now += STEP_S
        self.versions = {engine.version for engine in self.engines.values()}

    def run_instance(self, name, version, now):
        faults_over = now >= FAULTS_END_S
        orderer = self.orderers[name]
        # A pause may fall between a decision and its effect: orders that were
        # decided before the pause are sent now, if the time still allows it.
        for load in self.decided.pop(name, ()):
            self.send(orderer, load, now, faults_over)
        targets = [
            DesiredVersion(server, MODEL, version, engine.checks_fencing)
            for server, engine in self.engines.items()
        ]
        orderer.configure(targets, now)
        for server, engine in self.engines.items():
            orderer.record_report(server, {MODEL: engine.version}, now)
        orderer.apply_table(self.table, now)
        self.read_versions[name] = self.version
        live = [n for n in self.names if faults_over or self.rng.random() < 0.9]
        for action in orderer.step(live, now):
            if isinstance(action, SendOrder):
                self.decided.setdefault(name, []).append(action.load)
            elif isinstance(action, WriteTable):
                self.swap(name, action.table, now, faults_over)
        pause_probability = 0.3 if name in self.decided else 0.03
        if not faults_over and self.rng.random() < pause_probability:
            self.paused_until[name] = now + self.rng.choice((0.5, 4.0, 12.0))

    def swap(self, name, table, now, faults_over):
        # Another instance may write between the read and the write.
        if self.read_versions[name] != self.version or self.rng.random() < 0.1:
            return
        self.table, self.version = table, self.version + 1
        lost = not faults_over and self.rng.random() < 0.3
        if not lost:
            self.orderers[name].apply_table(table, now)

    def send(self, orderer, load, now, faults_over):
        if not orderer.may_send(load, now):
            return
        orderer.record_order_sent(load, now)
        delay_s = 0.0 if faults_over else self.rng.choice((0.0, 0.5, 1.9))
        self.in_flight.append((now + delay_s, load))
        if faults_over or (delay_s == 0.0 and self.rng.random() < 0.6):
            orderer.record_order_reply(load, True)

    def deliver(self, now):
        due = [item for item in self.in_flight if item[0] <= now]
        self.in_flight = [item for item in self.in_flight if item[0] > now]
        for _, load in due:
            self.engines[load.server].receive(load, now)
        for engine in self.engines.values():
            engine.advance(now)

    def check(self, now):
        loading = sum(len(engine.loading) for engine in self.engines.values())
        if loading > LIMITS.loads_at_once:
            self.faults.append(f"{now:.1f}: {loading} loads at once")
        if all(engine.loading for engine in self.engines.values()):
            self.faults.append(f"{now:.1f}: no engine serves")
        for name, engine in self.engines.items():
            accepted = [version for _, version in engine.accepted]
            if accepted != sorted(accepted):
                self.faults.append(f"{now:.1f}: {name} accepted {accepted}")


class OrdererTest(unittest.TestCase):
    def orderer(self, name="entry-0", limits=LIMITS):
        return Orderer(name, f"{name}/1", limits)

    def test_schedules_of_pauses_and_lost_replies(self):
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

    def test_a_holder_that_resumes_after_its_lease_sends_nothing(self):
        orderer = self.orderer()
        orderer.configure([DesiredVersion("a", MODEL, "v2")], 0.0)
        orderer.record_report("a", {}, 5.0)
        (write,) = orderer.step(["entry-0"], 5.0)
        orderer.apply_table(write.table, 5.0)
        (send,) = orderer.step(["entry-0"], 5.0)
        self.assertTrue(orderer.may_send(send.load, 7.9))
        self.assertFalse(orderer.may_send(send.load, 8.0))

    def test_another_order_waits_until_an_inherited_one_has_arrived(self):
        load = Load("a", MODEL, "v2", "load-1", "entry-9/1", "entry-9/1/1", 1)
        for checks_fencing, is_dropped in ((True, True), (False, False)):
            with self.subTest(checks_fencing=checks_fencing):
                orderer = self.orderer()
                target = DesiredVersion("a", MODEL, "v3", checks_fencing)
                orderer.configure([target], 0.0)
                orderer.apply_table(LoadTable(1, (load,)), 5.0)
                (write,) = orderer.step(["entry-0"], 5.0)
                self.assertEqual(write.table.loads[0].order_id, "load-1")
                self.assertEqual(write.table.loads[0].fencing, 2)
                orderer.apply_table(write.table, 5.0)
                orderer.record_report("a", {MODEL: "v2"}, 6.0)
                written = [a.table for a in orderer.step(["entry-0"], 6.0)]
                self.assertEqual(written == [LoadTable(2)], is_dropped)
                (write,) = orderer.step(["entry-0"], 10.5)
                orderer.apply_table(write.table, 10.5)


if __name__ == "__main__":
    unittest.main()

"""Tests of a rollout of new weights to all engines while requests run."""

import json
import threading
import types
import unittest

from cassiaford.config import BackendServer, Configuration, Model, PutModel
from cassiaford.engines import (
    EngineControl,
    EngineError,
    LoadReport,
    OrderResponse,
    cache_scope,
)
from cassiaford.fleet import create_order_runner
from cassiaford.fleet._orders import TABLE_KEY
from cassiaford.logs import Event
from cassiaford.pipeline import ServedVersions
from cassiaford.settings import OrderSettings
from cassiaford.timeline import HybridClock, Journal
from tests.dispatcher_case import DispatcherCase
from tests.fakes import full_stream, model_request
from tests.fakes_keyvalue import FakeKeyValueService
from tests.process_case import MODEL, ProcessCase, classify_response, expected_text


class FakeControl(EngineControl):
    """Engines that load at once.

    The responses to the next `lost_responses` orders are lost.
    """

    def __init__(self):
        self.models = {"a:1": {MODEL: "v1"}, "b:1": {MODEL: "v1"}}
        self.orders = []
        self.lost_responses = 0

    def load(self, address):
        models = tuple(self.models[address].items())
        return LoadReport("1", 0, 0, 0, models)

    def order(self, address, order):
        self.orders.append(order)
        self.models[address][order.model] = order.version
        if self.lost_responses:
            self.lost_responses -= 1
            raise EngineError("lost")
        return OrderResponse(True)

    def cache_events(self, address, after):
        raise NotImplementedError

    def cancel(self, address, request_id):
        raise NotImplementedError


class OrderRunnerTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.events = []
        self.key_value = FakeKeyValueService()
        self.control = FakeControl()
        clock = HybridClock(lambda: self.now)
        journal = Journal("entry-1", 1, clock, write=lambda *line: None)
        journal.record = lambda event, *_, **__: self.events.append(event)
        member = types.SimpleNamespace(instance="entry-1", leaving=False)
        self.fleet = types.SimpleNamespace(
            members=lambda: (member,),
            configuration=types.SimpleNamespace(current=self.configuration("v1")),
        )
        self.runner = create_order_runner(
            OrderSettings(settle_s=1.0),
            self.key_value,
            self.control,
            self.fleet,
            journal,
            "entry-1",
            lambda: self.now,
        )
        self.run_for(2.0)

    def configuration(self, version):
        servers = {
            name: BackendServer(name, f"127.0.0.1:{port}", "cluj", models=(MODEL,))
            for name, port in (("a", 1), ("b", 2))
        }
        for server in servers.values():
            object.__setattr__(server, "address", f"{server.name}:1")
        return Configuration(models={MODEL: Model(MODEL, version)}, servers=servers)

    def run_for(self, seconds):
        end = self.now + seconds
        while self.now < end:
            for name in ("a", "b"):
                self.runner.observe_load(name, self.control.load(f"{name}:1"))
            self.runner.tick()
            self.now += 0.5

    def test_no_calls_while_all_engines_match(self):
        calls = self.key_value.calls
        self.run_for(10.0)
        self.assertEqual(self.key_value.calls, calls)

    def test_lost_responses_are_resolved_by_polling_the_engines(self):
        self.control.lost_responses = 1
        self.key_value.lost_responses = 1
        self.fleet.configuration.current = self.configuration("v2")
        self.run_for(30.0)
        self.assertEqual([order.version for order in self.control.orders], ["v2"] * 2)
        self.assertEqual(self.events.count(Event.LOAD_FINISHED), 2)

    def test_no_orders_are_sent_in_an_outage(self):
        self.key_value.set_down(True)
        self.fleet.configuration.current = self.configuration("v2")
        self.run_for(10.0)
        self.assertEqual(self.control.orders, [])
        self.assertEqual(self.events.count(Event.ORDERS_SUSPENDED), 1)
        self.assertTrue(self.runner.is_serving("a", MODEL))
        self.key_value.set_down(False)
        self.run_for(10.0)
        self.assertEqual(len(self.control.orders), 2)

    def test_a_version_is_current_only_once_confirmed(self):
        first, second = Model(MODEL, "v1"), Model(MODEL, "v2")
        self.assertTrue(self.runner.is_current("a", first))
        self.fleet.configuration.current = self.configuration("v2")
        self.run_for(0.5)
        self.assertFalse(self.runner.is_current("a", first))
        self.assertFalse(self.runner.is_current("a", second))
        # Reverted before any order was recorded; one may still be in flight.
        self.fleet.configuration.current = self.configuration("v1")
        self.run_for(0.5)
        self.assertFalse(self.runner.is_current("a", first))
        self.run_for(80.0)
        self.assertTrue(self.runner.is_current("a", first))


class FixedVersions(ServedVersions):
    """Versions that load on some servers and are or are not confirmed on all."""

    def __init__(self, loading=(), confirmed=True):
        self.loading = loading
        self.confirmed = confirmed

    def is_serving(self, server, model):
        return server not in self.loading

    def is_current(self, server, model):
        return self.confirmed


class DispatcherTest(DispatcherCase):
    def test_a_loading_engine_gets_no_request(self):
        loading, other = self.serve(), self.serve(full_stream())
        setup = self.dispatch(loading, other, versions=FixedVersions(("engine-0",)))
        response, _ = setup.ask(model_request())
        self.assertEqual(response.status, 200)

    def test_an_unconfirmed_version_gets_its_own_cache_salt(self):
        salts = []

        def script(connection):
            salts.append(connection.request.headers["x-cache-salt"])
            connection.respond()

        server = self.serve(*[script] * 4)
        for confirmed in (True, False):
            setup = self.dispatch(server, versions=FixedVersions(confirmed=confirmed))
            for number in (1, 2):
                setup.ask(model_request(number))
        self.assertEqual(salts[0], salts[1])
        self.assertEqual(len(set(salts)), 3)


class RolloutTest(ProcessCase):
    engines = 4
    order_settings = {"settle_s": 1.0, "order_flight_s": 2.0, "lease_s": 2.0}

    def test_all_engines_reach_the_version_and_no_request_is_refused(self):
        # Right after a start the rate shares are not distributed yet; the test
        # begins once every instance serves requests.
        for name in self.names:
            warm = self.wait_until(lambda name=name: self.is_served(name))
            self.assertTrue(warm)
        verdicts, stopped = [], threading.Event()

        def ask(name):
            while not stopped.is_set():
                question = f"{name} {len(verdicts)}"
                response = self.chat(name, question, tokens=10)
                verdicts.append(
                    classify_response(response, expected_text(question, 10))
                )

        callers = [threading.Thread(target=ask, args=(n,)) for n in self.names]
        for caller in callers:
            caller.start()
        try:
            self.cluster.apply((PutModel(Model(MODEL, "v2", 200)),))
            reached = self.wait_until(lambda: set(self.versions()) == {"v2"})
        finally:
            stopped.set()
            for caller in callers:
                caller.join()
        self.assertTrue(reached, self.versions())
        self.assertEqual(set(verdicts), {"complete"})
        self.check_loads()
        self.check_salts()

    def test_all_loads_finish_despite_a_paused_orderer_and_lost_responses(self):
        key_value = self.cluster.connect_key_value()
        self.addCleanup(key_value.close)
        self.cluster.apply((PutModel(Model(MODEL, "v2", 200)),))

        def holder():
            value = key_value.get(TABLE_KEY).value
            loads = json.loads(value)["loads"] if value else []
            return next((load["holder"].partition("/")[0] for load in loads), None)

        self.assertTrue(self.wait_until(holder))
        self.set_faults(lose_write_answers=2)
        paused = holder() or self.names[0]
        self.cluster.group.pause(paused)
        reached = self.wait_until(lambda: set(self.versions()) == {"v2"})
        # Others take over the loads of the paused instance.
        taken_over = self.wait_until(lambda: holder() is None)
        self.cluster.group.resume(paused)
        self.assertTrue(reached, self.versions())
        self.assertTrue(taken_over)
        self.assertTrue(self.wait_until(lambda: self.is_served(paused)))
        self.assertEqual(set(self.versions()), {"v2"})
        self.check_loads()

    def check_loads(self):
        counts = self.control("weight_store", "/control/counts")
        self.assertEqual(counts["loads"], self.engines)
        self.assertLessEqual(counts["most_at_once"], 2)

    def check_salts(self):
        """Check that no cache scope was used with two versions of the weights."""
        shared = {cache_scope("academy", MODEL, version) for version in ("v1", "v2")}
        used_salts = set()
        for name in self.cluster.engine_names:
            versions = {}
            for record in self.cluster.run_records()[name]:
                if record.started:
                    salt = int(record.headers["x-cache-salt"], 16)
                    versions.setdefault(salt, set()).add(record.version)
            used_salts.update(versions)
            self.assertEqual([v for v in versions.values() if len(v) > 1], [])
        self.assertLessEqual(shared, used_salts)

    def is_served(self, name):
        return (
            classify_response(self.chat(name, "warm", 10), expected_text("warm", 10))
            == "complete"
        )

    def versions(self):
        names = self.cluster.engine_names
        return [self.control(name, "/v1/load")["models"][MODEL] for name in names]

    def control(self, name, path):
        address = self.cluster.group.addresses[name]
        return self.http.request("GET", f"http://{address}{path}").json()


if __name__ == "__main__":
    unittest.main()

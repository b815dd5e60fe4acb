"""Tests of gateways under faults and changes of the store, entries and settings."""

import asyncio
import os
import signal

from cassiaford.gateway import GatewaySettings
from cassiaford.gateway._registration import RENEWAL_INTERVAL_S
from standins.platform_worker import Behaviour, PlatformWorker
from tests.platform_case import (
    API_KEY,
    MODEL,
    PlatformCase,
    configuration,
    read_response,
    route,
)


class StoreOutageTest(PlatformCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.store.put("op/config", configuration())
        await self.start_worker("i-0", "desk")

    async def test_requests_are_served_while_the_store_is_down(self):
        gateway = await self.start_gateway()
        self.store.faults.refuse = True
        for _ in range(3):
            self.assertEqual((await self.call(gateway, "/book/1")).status, 200)

    async def test_an_instance_without_configuration_is_not_ready_and_refuses(self):
        self.store.faults.refuse = True
        gateway = await self.start_gateway(ready=False)
        await self.wait_until(lambda: gateway.sync.failing)
        self.assertFalse(gateway.ready)
        response = await self.call(gateway, "/book/1")
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers["retry-after"]), 0)

    async def test_an_instance_reports_its_readiness_immediately(self):
        await self.store.put("op/config", configuration())
        await self.start_worker("i-0", "desk")
        gateway = await self.start_gateway(ready=False)
        await self.wait_until(lambda: gateway.ready)
        self.assertTrue(gateway.peers.state.ready)

    async def test_a_restarted_instance_serves_from_its_peer_s_copy(self):
        first = await self.start_gateway("entry-1")
        second = await self.start_gateway("entry-2")
        await self.wait_until(lambda: first.table.live(first.loop.time()))
        self.store.faults.refuse = True
        third = await self.start_gateway("entry-3", ready=False)
        # While the store is down, the third instance cannot register, so its peers
        # would not send it reports. Registering it with them stands in for that.
        for peer in (first, second):
            peer.table.register(third.state, peer.loop.time())
        await self.wait_until(lambda: third.ready)
        self.assertEqual((await self.call(third, "/book/1")).status, 200)

    async def test_a_lost_history_leads_to_a_full_read(self):
        gateway = await self.start_gateway()
        await self.store.compact_history()
        await self.store.put("op/config", configuration(9))
        await self.wait_until(lambda: gateway.view.configuration.version == 9)

    async def test_an_entry_that_expired_in_an_outage_and_returned_is_used(self):
        gateway = await self.start_gateway()
        self.store.faults.refuse = True
        await self.store.remove("servers/i-0")
        await self.store.compact_history()
        await self.wait_until(lambda: gateway.sync.in_outage)
        self.store.faults.refuse = False
        await self.wait_until(lambda: gateway.sync.reachable)
        self.assertEqual((await self.call(gateway, "/book/1")).status, 200)
        await self.register(self.workers["i-0"])
        await self.wait_until(lambda: not gateway.view.registry.missing_until)
        self.assertEqual((await self.call(gateway, "/book/1")).status, 200)

    async def test_a_lost_response_to_a_write_leaves_the_instance_registered(self):
        self.store.faults.lose_write_responses = 1
        gateway = await self.start_gateway()
        await self.wait_until(lambda: gateway.registration.registered)
        self.assertIn("cassiaford/instances/entry-1", self.store.items)

    async def test_an_entry_that_was_removed_is_written_again(self):
        gateway = await self.start_gateway()
        await self.wait_until(lambda: gateway.registration.registered)
        await self.store.expire_lease(gateway.registration.lease)
        await self.wait_until(
            lambda: "cassiaford/instances/entry-1" in self.store.items
        )


class BadEntryTest(PlatformCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.store.put("op/config", configuration())
        await self.start_worker("i-0", "desk")

    async def test_malformed_and_unknown_entries_are_ignored(self):
        entry = self.workers["i-0"].entry()
        bad = {
            "servers/bytes": b"\xff\xfe\x00",
            "servers/list": b"[1, 2]",
            "servers/state": {**entry, "State": "tired"},
            "servers/address": {**entry, "Address": 7},
            "servers/none": {},
            "op/version/x": {"Model": 3, "Version": "new"},
            "op/unknown": {"a": 1},
            "cassiaford/instances/x": b"nothing",
        }
        for key, value in bad.items():
            await self.store.put(key, value)
        gateway = await self.start_gateway()
        self.assertEqual((await self.call(gateway, "/book/1")).status, 200)
        self.assertEqual(list(gateway.view.registry.servers), ["servers/i-0"])

    async def test_an_invalid_configuration_leaves_the_previous_one_in_force(self):
        gateway = await self.start_gateway()
        await self.store.put("op/config", {"Version": 5, "Routes": [{"Name": 1}]})
        await self.store.put("op/version/m1", {"Model": "m1", "Version": 2})
        await self.wait_until(lambda: gateway.view.named_versions.newest("m1") == 2)
        self.assertEqual(gateway.view.configuration.version, 1)

    async def test_an_older_configuration_changes_nothing(self):
        gateway = await self.start_gateway()
        await self.store.put("op/config", configuration(7))
        await self.wait_until(lambda: gateway.view.configuration.version == 7)
        await self.store.put("op/config", configuration(6, Tenants=[]))
        await self.store.put("op/version/m1", {"Model": "m1", "Version": 2})
        await self.wait_until(lambda: gateway.view.named_versions.newest("m1") == 2)
        self.assertEqual((await self.call(gateway, "/book/1", X_Key="no")).status, 401)

    async def test_an_entry_that_becomes_invalid_removes_its_server(self):
        gateway = await self.start_gateway()
        await self.store.put("servers/i-0", b"not JSON")
        await self.wait_until(lambda: gateway.view.servers == {})


class ChangeTest(PlatformCase):
    async def test_a_withdrawn_key_is_refused_on_an_open_connection(self):
        await self.store.put("op/config", configuration())
        await self.start_worker("i-0", "desk")
        gateway = await self.start_gateway()
        host, _, port = gateway.settings.addresses.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(self.request("/book/1"))
        self.assertEqual((await read_response(reader)).status, 200)
        tenant = {"Name": "academy", "ApiKeys": ["another"]}
        await self.store.put("op/config", configuration(2, Tenants=[tenant]))
        await self.wait_until(lambda: gateway.view.configuration.version == 2)
        writer.write(self.request("/book/1"))
        self.assertEqual((await read_response(reader)).status, 401)
        writer.close()

    async def test_a_draining_server_gets_no_new_request(self):
        await self.store.put("op/config", configuration())
        leaving = await self.start_worker("i-0", "desk")
        await self.start_worker("i-1", "desk")
        gateway = await self.start_gateway()
        leaving.state = "draining"
        await self.register(leaving)
        await self.wait_until(lambda: self._has_all_workers(gateway))
        for _ in range(6):
            self.assertEqual((await self.call(gateway, "/book/1")).status, 200)
        self.assertEqual(leaving.ran, [])

    async def test_a_route_moves_to_another_service(self):
        await self.store.put("op/config", configuration())
        await self.start_worker("i-0", "desk")
        other = await self.start_worker("i-1", "annex")
        gateway = await self.start_gateway()
        routes = [route("book", "/book/", "unsafe", "annex")]
        await self.store.put("op/config", configuration(2, Routes=routes))
        await self.wait_until(lambda: gateway.view.configuration.version == 2)
        await self.call(gateway, "/book/1", attempt="b1")
        self.assertEqual(other.ran, ["b1"])

    async def test_a_customer_over_its_rate_is_refused(self):
        tenant = {
            "Name": "academy",
            "ApiKeys": [API_KEY],
            "Unit": "tokens",
            "RatePerS": 10,
            "Burst": 5000,
            "PlainTokens": 400,
        }
        await self.store.put("op/config", configuration(Tenants=[tenant]))
        worker = await self.start_worker("i-0", "desk")
        gateway = await self.start_gateway()
        responses = [await self.call(gateway, "/book/1") for _ in range(6)]
        refused = [response for response in responses if response.status == 429]
        self.assertGreaterEqual(len(refused), 4)
        self.assertTrue(all(float(a.headers["retry-after"]) > 0 for a in refused))
        self.assertEqual(len(worker.ran), 6 - len(refused))


class StopTest(PlatformCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.store.put("op/config", configuration())
        await self.start_worker("i-0", "desk")

    async def test_a_planned_stop_finishes_accepted_requests(self):
        gateway = await self.start_gateway(drain_s=2.0)
        worker = self.workers["i-0"]
        worker.behaviours = [Behaviour.SLOW]
        call = asyncio.create_task(self.call(gateway, "/book/1", attempt="b1"))
        await self.wait_until(lambda: worker.ran)
        gateway.stopping.set()
        await self.wait_until(lambda: gateway.front.leaving)
        worker.released.set()
        response = await call
        self.assertEqual((response.status, response.body), (200, b"answer to b1"))

    async def test_a_stopping_instance_leaves_the_directory_and_the_store(self):
        gateway = await self.start_gateway(drain_s=2.0)
        await self.wait_until(lambda: gateway.registration.registered)
        gateway.stopping.set()
        await self.wait_until(lambda: not self.instance_keys())
        self.assertFalse(gateway.ready)

    async def test_a_stopping_instance_does_not_register_again(self):
        gateway = await self.start_gateway(drain_s=8.0)
        await self.wait_until(lambda: gateway.registration.registered)
        gateway.stopping.set()
        await self.wait_until(lambda: not self.instance_keys())
        # Longer than the longest interval between two renewals.
        await asyncio.sleep(1.2 * RENEWAL_INTERVAL_S + 0.2)
        self.assertEqual(self.instance_keys(), [])

    async def test_settings_are_reloaded_on_a_signal(self):
        gateway = await self.start_gateway()
        changed = GatewaySettings(
            **{**vars(gateway.settings), "weights_within_s": 9.0, "drain_s": 3.0}
        )
        gateway.reload = lambda: changed
        os.kill(os.getpid(), signal.SIGHUP)
        await self.wait_until(lambda: gateway.settings.drain_s == 3.0)
        self.assertEqual((await self.call(gateway, "/book/1")).status, 200)

    def instance_keys(self):
        return [k for k in self.store.items if k.startswith("cassiaford/instances/")]


class OrdererTest(PlatformCase):
    async def test_another_instance_takes_over_orders_after_a_planned_stop(self):
        await self.store.put("op/config", configuration())
        worker = await self.start_worker("i-0", "engine")
        await self.store.put(f"op/version/{MODEL}", {"Model": MODEL, "Version": 2})
        first = await self.start_gateway("entry-1", drain_s=1.0)
        await self.wait_until(lambda: worker.orders)
        await self.register(worker)
        second = await self.start_gateway("entry-2")
        await self.wait_until(lambda: first.orderer.fencing)
        first.stopping.set()
        await self.wait_until(lambda: "cassiaford/orderer" not in self.store.items)
        await self.store.put(f"op/version/{MODEL}", {"Model": MODEL, "Version": 3})
        await self.wait_until(lambda: len(worker.orders) == 2)
        self.assertTrue(second.orderer.holds_lease)
        tokens = [order["FencingToken"] for order in worker.orders]
        self.assertLess(tokens[0], tokens[1])


class PrefixStoreTest(PlatformCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.prefixes = await PlatformWorker("i-store", "memory").start()
        self.addAsyncCleanup(self.prefixes.stop)
        store = {
            "Name": "memory",
            "KvStoreAddr": self.prefixes.address,
            "Zone": "a",
            "LinkMbps": 1000.0,
        }
        services = [*configuration()["Services"], store]
        await self.store.put("op/config", configuration(Services=services))
        self.worker = await self.start_worker("i-0", "engine")
        self.gateway = await self.start_gateway()

    async def test_engines_fetch_and_save_prefixes_at_a_reachable_store(self):
        await self.call_engine(self.gateway)
        headers = self.worker.calls[0].headers
        self.assertEqual(headers["x-kv-fetch"], self.prefixes.address)
        self.assertEqual(headers["x-kv-save"], self.prefixes.address)

    async def test_no_engine_is_referred_to_an_unreachable_store(self):
        await self.prefixes.stop()
        await self.wait_until(lambda: self.gateway.placer.unreachable_stores)
        await self.call_engine(self.gateway)
        headers = self.worker.calls[-1].headers
        self.assertNotIn("x-kv-fetch", headers)
        self.assertNotIn("x-kv-save", headers)


class FirstTokenTest(PlatformCase):
    async def test_each_attempt_records_one_first_token(self):
        await self.store.put("op/config", configuration())
        for number in range(2):
            await self.start_worker(f"i-{number}", "engine", events=40)
        gateway = await self.start_gateway()
        recorded = []
        first_token = gateway.placer.record_first_token
        gateway.placer.record_first_token = lambda *given: (
            recorded.append(given),
            first_token(*given),
        )
        await self.call_engine(gateway)
        chosen = next(worker for worker in self.workers.values() if worker.ran)
        chosen.behaviours = [Behaviour.BREAK_IN_EVENT]
        await self.call_engine(gateway)
        # One complete attempt, one that broke off, and one that resumed.
        self.assertEqual(len(recorded), 3)

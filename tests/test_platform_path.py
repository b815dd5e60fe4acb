"""Tests of requests from callers through a gateway to workers on the platform."""

import asyncio

from cassiaford.gateway import RequestMetadata
from cassiaford.gateway._placer import Choice
from cassiaford.gateway.policy import EngineView, GenerationRequest
from standins.platform_worker import Behaviour
from tests.platform_case import MODEL, PlatformCase, configuration, read_response, route


class RequestTest(PlatformCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.store.put("op/config", configuration())

    async def start(self, *services):
        for number, service in enumerate(services):
            await self.start_worker(f"i-{number}", service)
        return await self.start_gateway()

    def attempts_run(self):
        return [attempt for worker in self.workers.values() for attempt in worker.ran]

    async def test_a_response_is_relayed_unchanged(self):
        gateway = await self.start("desk")
        response = await self.call(gateway, "/book/1?x=%20y", attempt="b1")
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, b"answer to b1")
        self.assertEqual(response.headers["x-response-seal"], "seal-i-0")
        call = self.workers["i-0"].calls[0]
        self.assertEqual((call.path, call.query), ("/book/1", {"x": " y"}))
        self.assertEqual(call.body, b"{}")

    async def test_a_server_sees_the_customer_and_no_key(self):
        gateway = await self.start("desk")
        await self.call(gateway, "/book/1", X_Tenant="forged", X_Hold="forged")
        headers = self.workers["i-0"].calls[0].headers
        self.assertEqual(headers["x-tenant"], "academy")
        self.assertNotIn("x-key", headers)
        self.assertNotIn("x-hold", headers)
        self.assertLessEqual(int(headers["x-deadline-ms"]), 8000)

    async def test_an_unknown_key_and_an_unknown_route(self):
        gateway = await self.start("desk")
        self.assertEqual((await self.call(gateway, "/book/1", X_Key="no")).status, 401)
        self.assertEqual((await self.call(gateway, "/other/1")).status, 404)
        self.assertEqual(self.attempts_run(), [])

    async def test_an_unsafe_request_is_not_retried_after_a_reset(self):
        await self.check_not_retried(Behaviour.RESET)

    async def test_an_unsafe_request_is_not_retried_after_an_invalid_response(self):
        await self.check_not_retried(Behaviour.GARBAGE)

    async def test_an_unsafe_request_is_not_retried_after_a_truncated_response(self):
        await self.check_not_retried(Behaviour.TRUNCATE)

    async def check_not_retried(self, behaviour):
        gateway = await self.start("desk", "desk")
        for worker in self.workers.values():
            worker.behaviours = [behaviour]
        response = await self.call(gateway, "/book/1")
        self.assertEqual(response.status, 502)
        self.assertEqual(len(self.attempts_run()), 1)

    async def test_a_503_without_a_not_run_statement_may_have_run(self):
        gateway = await self.start("desk")
        self.workers["i-0"].behaviours = [Behaviour.PLAIN_503]
        response = await self.call(gateway, "/book/1")
        self.assertEqual(response.status, 502)
        self.assertNotIn("x-response-seal", response.headers)

    async def test_an_unsafe_request_that_all_servers_reject_has_not_run(self):
        gateway = await self.start("desk", "desk")
        for worker in self.workers.values():
            worker.behaviours = [Behaviour.REJECT]
        first = await self.call(gateway, "/book/1")
        # Both servers rejected it, so it has not run, and the caller may retry.
        self.assertEqual(first.status, 503)
        self.assertGreater(float(first.headers["retry-after"]), 0)
        self.assertEqual(self.attempts_run(), [])

    async def test_a_safe_request_is_retried_after_a_server_error(self):
        await self.check_retried(Behaviour.FAIL)

    async def test_a_safe_request_is_retried_after_a_reset(self):
        await self.check_retried(Behaviour.RESET)

    async def test_a_safe_request_is_retried_after_a_truncated_response(self):
        await self.check_retried(Behaviour.TRUNCATE)

    async def check_retried(self, behaviour):
        gateway = await self.start("desk", "desk", "desk")
        bad = self.workers["i-1"]
        bad.behaviours = [behaviour]
        responses = []
        while bad.behaviours:
            responses.append(
                await self.call(gateway, "/read/1", method="GET", body=b"")
            )
        self.assertEqual({response.status for response in responses}, {200})
        self.assertTrue(all(response.complete for response in responses))
        self.assertEqual(len(self.attempts_run()), len(responses) + 1)

    async def test_a_success_without_signature_is_not_relayed(self):
        gateway = await self.start("desk")
        self.workers["i-0"].behaviours = [Behaviour.UNSIGNED]
        self.assertEqual((await self.call(gateway, "/book/1")).status, 502)

    async def test_a_surplus_response_reaches_no_caller(self):
        await self.check_matching_responses(Behaviour.EXTRA_RESPONSE)

    async def test_a_mismatched_response_reaches_no_caller(self):
        await self.check_matching_responses(Behaviour.OTHER_RESPONSE_FIRST)

    async def check_matching_responses(self, behaviour):
        gateway = await self.start("desk")
        self.workers["i-0"].behaviours = [behaviour]
        for attempt in ("b1", "b2", "b3"):
            response = await self.call(gateway, "/book/1", attempt=attempt)
            self.assertEqual(response.body, f"answer to {attempt}".encode())

    async def test_a_connection_closed_without_notice_fails_no_request(self):
        gateway = await self.start("desk")
        self.workers["i-0"].behaviours = [Behaviour.CLOSE_AFTER] * 30
        statuses = [(await self.call(gateway, "/book/1")).status for _ in range(30)]
        self.assertEqual(statuses, [200] * 30)

    async def test_a_delayed_close_of_a_connection_fails_no_request(self):
        gateway = await self.start("desk")
        worker = self.workers["i-0"]
        worker.close_after_s = 0.03
        worker.behaviours = [Behaviour.CLOSE_AFTER] * 10
        statuses = []
        for _ in range(10):
            # The next request is in flight when the server closes the connection.
            await asyncio.sleep(0.015)
            statuses.append((await self.call(gateway, "/book/1")).status)
        self.assertEqual(statuses, [200] * 10)

    async def test_a_response_without_length_ends_with_its_connection(self):
        gateway = await self.start("desk")
        self.workers["i-0"].behaviours = [Behaviour.UNFRAMED]
        response = await self.call(gateway, "/book/1", attempt="b1")
        self.assertEqual((response.body, response.complete), (b"answer to b1", True))

    async def test_another_server_at_an_address_gets_no_request(self):
        gateway = await self.start("desk")
        self.workers["i-0"].server_id = "i-another"
        response = await self.call(gateway, "/book/1")
        self.assertEqual((response.status, self.attempts_run()), (503, []))

    async def test_a_caller_that_disconnects_cancels_its_request(self):
        gateway = await self.start("desk")
        worker = self.workers["i-0"]
        worker.behaviours = [Behaviour.HANG]
        host, _, port = gateway.settings.addresses.front.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(self.request("/book/1", attempt="b1"))
        await self.wait_until(lambda: worker.ran)
        writer.close()
        await self.wait_until(lambda: worker.cancelled == ["b1"])

    async def test_metrics_have_route_class_server_and_verdict(self):
        gateway = await self.start("desk")
        self.workers["i-0"].behaviours = [Behaviour.SERVE, Behaviour.RESET]
        for _ in range(2):
            await self.call(gateway, "/book/1")
        text = gateway._metrics_body("/metrics").decode()
        labels = 'route="book",class="standard",verdict='
        for line in (
            f'cassiaford_requests_total{{{labels}"ran"}} 1',
            f'cassiaford_requests_total{{{labels}"may_have_run"}} 1',
            'cassiaford_server_requests_total{server="i-0",verdict="ran"} 1',
            'cassiaford_server_sends_total{service="desk",kind="first"} 2',
            'cassiaford_refusals_total{reason="backend_server_failed"} 1',
            'cassiaford_time_to_first_token_seconds_count{route="book"} 1',
            "cassiaford_customers_over_rate 0",
            "cassiaford_resends_left_least 40",
        ):
            self.assertIn(line, text)

    async def test_time_spent_on_connecting_is_not_given_to_the_server(self):
        gateway = await self.start("desk")
        connect = gateway.adapter.pool.connect

        async def connect_slowly(address, timeout_s=1.0):
            await asyncio.sleep(0.3)
            return await connect(address, timeout_s)

        gateway.adapter.pool.connect = connect_slowly
        await self.call(gateway, "/book/1", X_Deadline_Ms="2000")
        (call,) = self.workers["i-0"].calls
        self.assertLessEqual(int(call.headers["x-deadline-ms"]), 2000 - 300)

    async def test_a_request_ends_at_its_route_s_timeout(self):
        await self.store.put(
            "op/config",
            configuration(
                2, Routes=[route("book", "/book/", "unsafe", "desk", TimeoutMs=200)]
            ),
        )
        gateway = await self.start("desk")
        self.workers["i-0"].behaviours = [Behaviour.HANG]
        response = await self.call(gateway, "/book/1")
        self.assertEqual(response.status, 504)

    async def test_only_the_first_of_two_pipelined_requests_is_forwarded(self):
        gateway = await self.start("desk")
        host, _, port = gateway.settings.addresses.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            self.request("/book/1", attempt="b1") + b"GET /read/1 HTTP/1.1\r\n"
        )
        await read_response(reader)
        self.assertEqual(self.attempts_run(), ["b1"])
        writer.close()

    async def test_a_body_with_two_framings_is_refused(self):
        gateway = await self.start("desk")
        request = self.request("/book/1", body=b"0\r\n\r\nGET /read/1 HTTP/1.1\r\n\r\n")
        request = request.replace(
            b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n", 1
        )
        host, _, port = gateway.settings.addresses.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request)
        self.assertEqual((await read_response(reader)).status, 400)
        self.assertEqual(self.attempts_run(), [])
        writer.close()


class StreamTest(PlatformCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.store.put("op/config", configuration())
        for number in range(2):
            await self.start_worker(f"i-{number}", "engine")
        self.gateway = await self.start_gateway()

    def stream_body(self):
        return b"".join(b"id: %d\ndata: piece %d of v1\n\n" % (n, n) for n in (1, 2, 3))

    async def test_a_stream_arrives_complete(self):
        response = await self.call_engine(self.gateway)
        self.assertEqual((response.body, response.complete), (self.stream_body(), True))

    async def test_a_resumable_stream_resumes_after_its_last_complete_event(self):
        for worker in self.workers.values():
            worker.behaviours = [Behaviour.BREAK_IN_EVENT]
        response = await self.call_engine(self.gateway)
        resumed = [
            call.headers["last-event-id"]
            for worker in self.workers.values()
            for call in worker.calls
            if "last-event-id" in call.headers
        ]
        self.assertEqual(resumed, ["1"])
        # Both engines broke off, and the route allows no third attempt.
        self.assertFalse(response.complete)

    async def test_a_resumed_stream_is_complete_and_has_the_first_signature(self):
        chosen = await self.first_choice()
        chosen.behaviours = [Behaviour.BREAK_IN_EVENT]
        response = await self.call_engine(self.gateway)
        self.assertEqual((response.body, response.complete), (self.stream_body(), True))
        seal = f"seal-{chosen.server_id}"
        self.assertEqual(response.headers["x-response-seal"], seal)

    async def test_a_broken_stream_that_is_not_resumable_is_truncated(self):
        chosen = await self.first_choice("/mark/1")
        chosen.behaviours = [Behaviour.BREAK_IN_EVENT]
        response = await self.call_engine(self.gateway, "/mark/1")
        self.assertFalse(response.complete)
        self.assertEqual(response.body, self.stream_body()[: len(response.body)])
        self.assertNotIn(b"id: 2", response.body)

    async def test_cached_prefixes_are_scoped_by_weights(self):
        await self.call_engine(self.gateway)
        calls = [call for w in self.workers.values() for call in w.calls]
        self.assertEqual(calls[0].headers["x-cache-salt"], "/1")
        self.assertEqual(calls[0].headers["x-expect-version"], "1")

    async def test_cached_prefixes_of_an_isolated_customer_are_its_own(self):
        tenant = {"Name": "academy", "ApiKeys": ["key-of-academy"], "Isolated": True}
        await self.store.put("op/config", configuration(2, Tenants=[tenant]))
        await self.wait_until(lambda: self.gateway.view.configuration.version == 2)
        await self.call_engine(self.gateway)
        calls = [call for w in self.workers.values() for call in w.calls]
        self.assertEqual(calls[0].headers["x-cache-salt"], "academy/1")

    async def test_the_same_prefix_goes_to_the_same_engine(self):
        for _ in range(6):
            await self.call_engine(self.gateway)
        used = [worker for worker in self.workers.values() if worker.calls]
        self.assertEqual(len(used), 1)

    async def first_choice(self, path="/ask/1"):
        """Send a request and return the engine that requests of its prefix go to."""
        await self.call_engine(self.gateway, path)
        return next(worker for worker in self.workers.values() if worker.ran)


class WeightsTest(PlatformCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.store.put("op/config", configuration())
        for number in range(3):
            await self.start_worker(f"i-{number}", "engine")

    async def test_one_holder_orders_all_engines_to_the_named_version(self):
        await self.start_gateway("entry-1")
        await self.start_gateway("entry-2")
        await self.store.put(f"op/version/{MODEL}", {"Model": MODEL, "Version": 4})
        workers = self.workers.values()

        async def follow():
            while not all(w.versions[MODEL] == 4 for w in workers):
                for worker in workers:
                    await self.register(worker)
                await asyncio.sleep(0.05)

        async with asyncio.timeout(30):
            await follow()
        orders = [order for worker in workers for order in worker.orders]
        self.assertEqual(len(orders), 3)
        self.assertEqual(len({order["Holder"] for order in orders}), 1)
        self.assertEqual(len({order["FencingToken"] for order in orders}), 1)

    async def start_quiet_pair(self):
        """Start two instances, the first of which sends no periodic reports."""
        first = await self.start_gateway("entry-1")
        second = await self.start_gateway("entry-2")
        await self.wait_until(lambda: second.table.live(second.loop.time()))
        for task in first._tasks:
            task.cancel()
        return first, second

    async def test_a_long_prompt_is_reported_immediately(self):
        first, second = await self.start_quiet_pair()
        key = next(iter(first.view.engines_of(MODEL)))
        engine = EngineView(key, "i-0", 64, 200_000)
        request = GenerationRequest("r1", (), 32_000, 40)
        placement = first.engines.place(request, [engine], 0.0, first.rng)
        self.assertEqual(second.engines.running_tokens(key), 0)
        choice = Choice(key, first.view.engines_of(MODEL)[key], placement)
        metadata = RequestMetadata("r1", "a", model=MODEL, prompt_tokens=32_000)
        first.placer.record_start(choice, metadata, None, first.loop.time())
        await self.wait_until(lambda: second.engines.running_tokens(key) >= 32_000)

    async def test_an_engine_out_of_use_is_reported_immediately(self):
        first, second = await self.start_quiet_pair()
        key = next(iter(first.view.engines_of(MODEL)))
        first.peers.set_out_of_use(frozenset({key}))
        self.assertIn(key, first.placer.out_of_use)
        await self.wait_until(lambda: key in second.placer.out_of_use)


class ReplacedServerTest(PlatformCase):
    async def test_an_entry_whose_address_has_a_successor_is_not_used(self):
        await self.store.put("op/config", configuration())
        old = await self.start_worker("i-old", "desk")
        gateway = await self.start_gateway()
        old.server_id = "i-new"
        await self.register(old)
        await self.wait_until(lambda: "servers/i-new" in gateway.view.registry.servers)
        for number in range(4):
            response = await self.call(gateway, "/book/1", attempt=f"b{number}")
            self.assertEqual(response.status, 200)
        self.assertEqual(old.ran, ["b0", "b1", "b2", "b3"])

    async def test_one_request_detects_that_a_server_was_replaced(self):
        await self.store.put("op/config", configuration())
        old = await self.start_worker("i-old", "desk")
        gateway = await self.start_gateway()
        old.server_id = "i-new"
        await self.call(gateway, "/book/1")
        self.assertEqual(gateway.view.servers, {})

    async def test_an_order_detects_that_an_engine_was_replaced(self):
        await self.store.put("op/config", configuration())
        old = await self.start_worker("i-old", "engine")
        gateway = await self.start_gateway()
        old.server_id = "i-new"
        await self.store.put(f"op/version/{MODEL}", {"Model": MODEL, "Version": 4})
        await self.wait_until(lambda: gateway.view.servers == {})
        self.assertEqual(old.orders, [])

"""Tests that no request begins on weights that were replaced too long ago."""

import asyncio
import dataclasses
import math
import os
import signal
import unittest

from cassiaford.gateway import PromptPart, RequestMetadata, StoreError
from cassiaford.gateway._placer import ServerQuery
from cassiaford.gateway._server_connection import ExchangeError
from cassiaford.gateway._start_limit import start_limit
from cassiaford.gateway.policy import NamedVersions, Rollout, RolloutServer
from cassiaford.logs import Event
from cassiaford.verdict import Failure
from standins.platform_worker import Behaviour
from tests.platform_case import MODEL, PlatformCase, configuration, route
from tests.virtual_time import run_in_virtual_time

# The users' bound: the settings of the tests' gateways.
WEIGHTS_WITHIN_S = 6.0


class ReplacedWeightsTest(PlatformCase):
    """An engine whose weights are replaced, and an instance that gives no orders."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.store.put("op/config", configuration())
        self.old = await self.start_worker("i-old", "engine")
        self.gateway = await self.start_gateway()
        self.gateway.orderer.stopping = True
        self.lines = []
        self.gateway.log.write = lambda event, **details: self.lines.append(
            (event, details)
        )

    async def start_new_engine(self):
        """Start an engine with the newer weights and wait until it is known."""
        new = await self.start_worker("i-new", "engine")
        new.versions = {MODEL: 2}
        await self.register(new)
        await self.wait_until(lambda: self.key_of(new) is not None)
        return new

    def key_of(self, worker):
        """Return the key of a worker whose entry is known with its weights."""
        for key, server in self.gateway.view.servers["engine"].items():
            if server.server_id == worker.server_id:
                return key if server.versions == worker.versions else None
        return None

    def name_newer(self, age_s):
        """Let newer weights have been named some time ago."""
        now = self.gateway.loop.time()
        self.gateway.view.named_versions.add(MODEL, 2, now - age_s)

    def add_backlog(self, worker, seconds):
        """Make the gateway assume that an engine has a backlog."""
        queue = self.gateway.engines._queue(self.key_of(worker))
        queue.busy_until = self.gateway.loop.time() + seconds

    def chosen_engine(self, route_name):
        """Return the engine chosen for a prompt of a route, or None."""
        routes = self.gateway.view.configuration.routes
        chosen_route = next(found for found in routes if found.name == route_name)
        metadata = RequestMetadata(
            "r1",
            "a.example",
            model=MODEL,
            prompt_tokens=1200,
            output_tokens=10,
            parts=(PromptPart("aa", 600), PromptPart("bb", 600)),
        )
        now = self.gateway.loop.time()
        query = ServerQuery("engine", metadata, None, chosen_route)
        choice = self.gateway.placer.choose(query, now)
        return choice.server.server_id if choice is not None else None

    def causes(self, event):
        """Return the causes in the log lines of an event."""
        return [details["cause"] for logged, details in self.lines if logged is event]

    async def test_no_request_is_placed_where_its_queue_ends_after_the_bound(self):
        new = await self.start_new_engine()
        self.name_newer(4.5)
        self.add_backlog(self.old, 2.0)
        self.add_backlog(new, 4.0)
        self.assertEqual(self.chosen_engine("mark"), "i-new")

    async def test_an_engine_with_new_weights_is_used_though_others_are_overdue(self):
        new = await self.start_new_engine()
        self.name_newer(WEIGHTS_WITHIN_S)
        # Peers report late that the engine is in use again.
        self.gateway.placer.out_of_use = frozenset({self.key_of(new)})
        self.assertEqual(self.chosen_engine("mark"), "i-new")

    async def test_a_failed_call_to_the_store_does_not_end_the_bound(self):
        self.name_newer(WEIGHTS_WITHIN_S)
        sync = self.gateway.sync
        started_at = sync.clock()
        sync.record_success("another client")
        sync.record_failure("a client", StoreError("lost"), started_at - 1.0)
        response = await self.call_engine(self.gateway, "/mark/1")
        self.assertEqual((response.status, self.old.ran), (503, []))

    async def test_a_broken_connection_to_the_store_does_not_end_the_bound(self):
        self.name_newer(WEIGHTS_WITHIN_S)
        sync = self.gateway.sync
        sync.record_failure("a client", StoreError("lost"), sync.clock())
        response = await self.call_engine(self.gateway, "/mark/1")
        self.assertEqual((response.status, self.old.ran), (503, []))

    async def test_a_request_that_waits_at_an_engine_is_withdrawn_before_the_bound(
        self,
    ):
        await self.check_withdrawal(Behaviour.QUEUE)

    async def test_a_stream_without_an_event_is_withdrawn_before_the_bound(self):
        await self.check_withdrawal(Behaviour.QUEUE_AFTER_HEAD)

    async def check_withdrawal(self, behaviour):
        """Check that a request does not wait on when newer weights are named."""
        self.old.behaviours = [behaviour]
        request = asyncio.create_task(self.call_engine(self.gateway))
        await self.wait_until(lambda: self.old.queued)
        new = await self.start_new_engine()
        self.name_newer(WEIGHTS_WITHIN_S)
        self.assertEqual((await request).status, 200)
        self.assertEqual((self.old.ran, len(new.ran)), ([], 1))
        (cause,) = self.causes(Event.REQUEST_RETRIED)
        self.assertIn("weights", cause)

    async def test_a_request_that_may_run_only_once_is_not_withdrawn(self):
        await self.check_no_withdrawal("/mark/1")

    async def test_a_request_whose_begin_cannot_be_seen_is_not_withdrawn(self):
        read = route("read", "/read/", "safe", "engine", TargetLatencyMs=5000)
        await self.store.put("op/config", configuration(2, Routes=[read]))
        view = self.gateway.view
        await self.wait_until(lambda: view.configuration.version == 2)
        await self.check_no_withdrawal("/read/1")

    async def check_no_withdrawal(self, path):
        """Check that a request stays at its engine when newer weights are named."""
        self.old.behaviours = [Behaviour.QUEUE]
        request = asyncio.create_task(self.call_engine(self.gateway, path))
        await self.wait_until(lambda: self.old.queued)
        new = await self.start_new_engine()
        self.name_newer(WEIGHTS_WITHIN_S)
        # Longer than the interval at which waiting requests are checked.
        await asyncio.sleep(0.5)
        self.old.released.set()
        self.assertEqual((await request).status, 200)
        self.assertEqual((len(self.old.ran), new.ran), (1, []))

    async def test_a_request_that_an_order_throws_back_runs_elsewhere(self):
        self.old.behaviours = [Behaviour.QUEUE]
        request = asyncio.create_task(self.call_engine(self.gateway, "/mark/1"))
        await self.wait_until(lambda: self.old.queued)
        new = await self.start_new_engine()
        self.gateway.orderer.stopping = False
        await self.store.put(f"op/version/{MODEL}", {"Model": MODEL, "Version": 2})
        self.assertEqual((await request).status, 200)
        self.assertEqual((self.old.ran, len(new.ran)), ([], 1))
        self.assertEqual(len(self.old.orders), 1)

    async def test_nothing_is_sent_if_the_bound_passes_while_a_connection_opens(self):
        pool = self.gateway.adapter.pool
        connect, opened, passed = pool.connect, asyncio.Event(), asyncio.Event()

        async def connect_slowly(address, *arguments):
            connection = await connect(address, *arguments)
            if address == self.old.address and not passed.is_set():
                opened.set()
                await passed.wait()
            return connection

        pool.connect = connect_slowly
        call = asyncio.create_task(self.call_engine(self.gateway, "/mark/1"))
        await opened.wait()
        new = await self.start_new_engine()
        self.name_newer(WEIGHTS_WITHIN_S)
        passed.set()
        self.assertEqual((await call).status, 200)
        self.assertEqual((self.old.calls, len(new.ran)), ([], 1))

    async def test_a_reloaded_bound_is_in_force_for_placement(self):
        self.name_newer(3.0)
        shorter = dataclasses.replace(self.gateway.settings, weights_within_s=3.0)
        self.gateway.reload = lambda: shorter
        os.kill(os.getpid(), signal.SIGHUP)
        await self.wait_until(lambda: self.gateway.settings.weights_within_s == 3.0)
        self.assertIsNone(self.chosen_engine("mark"))

    async def test_a_refusal_tells_to_come_back_once_an_engine_has_loaded(self):
        self.name_newer(WEIGHTS_WITHIN_S)
        response = await self.call_engine(self.gateway, "/mark/1")
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers["retry-after"]), 1.0)

    async def test_an_engine_of_unknown_weights_must_have_the_newest(self):
        self.old.versions = {}
        await self.register(self.old)
        await self.wait_until(lambda: self.key_of(self.old) is not None)
        self.name_newer(WEIGHTS_WITHIN_S)
        response = await self.call_engine(self.gateway, "/mark/1")
        self.assertEqual(self.old.calls[0].headers.get("x-expect-version"), "2")
        self.assertEqual((response.status, self.old.ran), (503, []))


class StartLimitTest(unittest.TestCase):
    """The limit on the time until a request begins, in virtual time."""

    def run_limited(self, limit_at, needed_s):
        """Return when a wait ended, and whether it was withdrawn."""

        async def run():
            now = asyncio.get_running_loop().time
            try:
                async with start_limit(lambda: limit_at(now())):
                    await asyncio.sleep(needed_s)
            except ExchangeError as error:
                self.assertIs(error.failure, Failure.WITHDRAWN)
                return now(), True
            return now(), False

        return run_in_virtual_time(run())

    def test_a_request_is_withdrawn_at_the_limit(self):
        self.assertEqual(self.run_limited(lambda now: 1.1, 3.0), (1.1, True))
        self.assertEqual(self.run_limited(lambda now: 1.1, 1.0), (1.0, False))

    def test_a_limit_that_is_set_while_a_request_waits_counts(self):
        def limit_at(now):
            return 2.1 if now >= 1.4 else math.inf

        self.assertEqual(self.run_limited(limit_at, 3.0), (2.1, True))

    def test_a_limit_may_move_on_while_a_request_waits(self):
        # In an outage the limit is always some time ahead.
        ended_at, withdrawn = self.run_limited(lambda now: min(now, 5.0) + 1.0, 20.0)
        self.assertEqual((ended_at, withdrawn), (6.0, True))

    def test_another_time_limit_is_not_a_withdrawal(self):
        async def run():
            async with asyncio.timeout(1.0), start_limit(lambda: 2.0):
                await asyncio.sleep(3.0)

        with self.assertRaises(TimeoutError):
            run_in_virtual_time(run())


class LastOrdersTest(unittest.TestCase):
    def test_all_engines_are_ordered_once_none_may_get_requests(self):
        named = NamedVersions()
        rollout = Rollout(named, deadline_s=WEIGHTS_WITHIN_S)
        named.add("m", 2, 0.0)
        engines = [RolloutServer(n, "m", 1, 0, unstarted=1) for n in range(9)]
        ordered = set()
        for step in range(round(10 * WEIGHTS_WITHIN_S)):
            orders = rollout.plan(engines, step / 10, demand=9.0)
            ordered |= {order.key for order in orders}
        self.assertEqual(len(ordered), 9)


if __name__ == "__main__":
    unittest.main()

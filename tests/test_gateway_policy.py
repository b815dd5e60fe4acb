"""Tests of the gateway's decisions: placement, rollout, health, budget, registry."""

import random
import unittest

from cassiaford.gateway import BackendServer
from cassiaford.gateway.policy import (
    DecodeTimes,
    EnginePlacer,
    EngineView,
    GenerationRequest,
    NamedVersions,
    PeerState,
    PeerTable,
    PlacedWork,
    Prefix,
    RetryBudget,
    Rollout,
    RolloutServer,
    ServerHealth,
    ServerRegistry,
)


def generation(number, section, own=1000, target_s=0.6):
    """Return a request whose prompt shares a section of a document."""
    prefixes = (Prefix(b"binder", 500), Prefix(b"section-%d" % section, 5000))
    return GenerationRequest(f"r{number}", prefixes, 5000 + own, 40, target_s)


def engine_views(count, **fields):
    """Return engines that differ only in their names."""
    return [
        EngineView(f"e{n}", f"e{n}", 32, 220_000, version=1, **fields)
        for n in range(count)
    ]


class EnginePlacerTest(unittest.TestCase):
    def test_instances_choose_the_same_home_for_a_section(self):
        homes = set()
        for seed in range(6):
            placer = EnginePlacer()
            placement = placer.place(
                generation(1, 7), engine_views(9), 0.0, random.Random(seed)
            )
            homes.add(placement.engine.key)
        self.assertEqual(len(homes), 1)

    def test_a_section_stays_on_one_engine_under_moderate_load(self):
        placer = EnginePlacer()
        rng = random.Random(3)
        engines_by_section = {}
        for number in range(400):
            now = number * 0.08
            request = generation(number, number % 20)
            placement = placer.place(request, engine_views(9), now, rng)
            placer.record_start(request, placement, now)
            placer.record_first_token(
                request.request_id, placement.engine.key, now + 0.1
            )
            placer.record_end(request.request_id, placement.engine.key)
            engines_by_section.setdefault(number % 20, set()).add(placement.engine.key)
        self.assertEqual({len(engines) for engines in engines_by_section.values()}, {1})

    def test_a_popular_section_spreads_over_engines_under_load(self):
        placer = EnginePlacer()
        views = engine_views(9, fetch_tokens_per_s=250_000.0)
        rng = random.Random(3)
        engines = set()
        for number in range(60):
            request = generation(number, 1, own=8000)
            placement = placer.place(request, views, 0.0, rng)
            placer.record_start(request, placement, 0.0)
            engines.add(placement.engine.key)
        self.assertGreater(len(engines), 4)

    def test_a_request_placed_elsewhere_fetches_from_the_engine_with_its_section(self):
        placer = EnginePlacer()
        views = engine_views(3, fetch_tokens_per_s=250_000.0)
        rng = random.Random(1)
        first = placer.place(generation(0, 1), views, 0.0, rng)
        placer.record_start(generation(0, 1), first, 0.0)
        others = [view for view in views if view.key != first.engine.key]
        versions = {view.key: 1 for view in views}
        second = placer.place(generation(1, 1), others, 0.1, rng, versions)
        self.assertEqual(second.source, first.engine.key)

    def test_no_prefix_is_fetched_from_an_engine_of_other_weights(self):
        placer = EnginePlacer()
        views = engine_views(3, fetch_tokens_per_s=250_000.0)
        rng = random.Random(1)
        first = placer.place(generation(0, 1), views, 0.0, rng)
        placer.record_start(generation(0, 1), first, 0.0)
        others = [view for view in views if view.key != first.engine.key]
        versions = {view.key: 1 for view in others} | {first.engine.key: 2}
        second = placer.place(generation(1, 1), others, 0.1, rng, versions)
        self.assertIsNone(second.source)

    def test_work_placed_by_peers_counts_on_an_engine(self):
        placer = EnginePlacer()
        views = engine_views(2)
        rng = random.Random(1)
        home = placer.place(generation(0, 1), views, 0.0, rng).engine.key
        placer.update_from_peer("b", {home: PlacedWork(0, 0, 0)}, True, 0.0)
        placer.update_from_peer("b", {home: PlacedWork(180_000, 8, 90_000)}, False, 0.1)
        moved = placer.place(generation(1, 1), views, 0.1, rng).engine.key
        self.assertNotEqual(moved, home)

    def test_an_engine_without_memory_gets_no_request(self):
        placer = EnginePlacer()
        view = EngineView("e", "e", 32, 20_000)
        rng = random.Random(1)
        for number in range(3):
            request = generation(number, number)
            placement = placer.place(request, [view], 0.0, rng)
            if placement is not None:
                placer.record_start(request, placement, 0.0)
        self.assertIsNone(placement)

    def test_new_weights_clear_the_cached_prefixes_of_an_engine(self):
        placer = EnginePlacer()
        views = engine_views(3)
        rng = random.Random(1)
        request = generation(0, 1)
        placement = placer.place(request, views, 0.0, rng)
        placer.record_start(request, placement, 0.0)
        placer.clear_cached_prefixes(placement.engine.key)
        self.assertEqual(
            placer.prefix_locations.engines(request.placement_prefix, 0.1), {}
        )

    def test_the_prefill_speed_is_estimated_from_first_tokens(self):
        placer = EnginePlacer()
        views = engine_views(1)
        rng = random.Random(1)
        for number in range(200):
            now = number * 2.0
            request = generation(number, number, own=5000)
            placement = placer.place(request, views, now, rng)
            placer.record_start(request, placement, now)
            elapsed_s = 0.07 + 10_000 / 30_000
            placer.record_first_token(request.request_id, "e0", now + elapsed_s)
            placer.record_end(request.request_id, "e0")
            placer.clear_cached_prefixes("e0")
        self.assertAlmostEqual(placer.speed.tokens_per_s, 30_000, delta=3000)


class DecodeTimesTest(unittest.TestCase):
    def test_the_expected_decode_time_follows_the_responses_of_a_route(self):
        rng = random.Random(3)
        times = DecodeTimes()
        for _ in range(200):
            times.record("tag", rng.uniform(0.02, 0.06))
            times.record("digest", rng.uniform(0.4, 1.2))
        self.assertAlmostEqual(times.expected_s("tag"), 0.04, delta=0.02)
        self.assertAlmostEqual(times.expected_s("digest"), 0.8, delta=0.25)


class RolloutTest(unittest.TestCase):
    def engines(self, versions):
        return [RolloutServer(k, "m", v, 0) for k, v in versions.items()]

    def simulate(self, names, load_s, until_s):
        """Simulate versions named at some times.

        Return the engines' versions, the loads, and the longest time for which
        an engine kept a replaced version.
        """
        named = NamedVersions()
        rollout = Rollout(named, deadline_s=6.0)
        versions = {f"e{n}": 1 for n in range(9)}
        loading, loads, lag = {}, [], 0.0
        for step in range(round(until_s / 0.1)):
            now = step * 0.1
            for version, at in names.items():
                if abs(at - now) < 0.05:
                    named.add("m", version, now)
            for key, (version, done_at) in tuple(loading.items()):
                if now >= done_at:
                    versions[key] = version
                    del loading[key]
            for order in rollout.plan(self.engines(versions), now):
                loading[order.key] = (order.version, now + load_s)
                loads.append((now, order))
            for version in versions.values():
                lag = max(lag, named.replaced_for_s("m", version, now))
        return versions, loads, lag

    def test_every_engine_gets_a_version_in_time(self):
        versions, loads, lag = self.simulate({2: 1.0}, load_s=0.6, until_s=8.0)
        self.assertEqual(set(versions.values()), {2})
        self.assertEqual(len(loads), 9)
        self.assertLess(lag, 5.0)

    def test_versions_in_quick_succession_are_loaded_in_time(self):
        names = {2: 1.0, 3: 3.4, 4: 5.8, 5: 8.2}
        versions, _, lag = self.simulate(names, load_s=0.5, until_s=16.0)
        self.assertEqual(set(versions.values()), {5})
        # No request may start on weights replaced for over six seconds.
        self.assertLess(lag, 5.0)

    def test_a_version_replaced_before_an_engines_turn_is_never_loaded(self):
        names = {2: 1.0, 3: 2.0, 4: 3.0}
        versions, loads, _ = self.simulate(names, load_s=1.0, until_s=16.0)
        self.assertEqual(set(versions.values()), {4})
        self.assertLess(len(loads), 27)

    def test_only_a_third_of_the_engines_is_out_of_use(self):
        named = NamedVersions()
        rollout = Rollout(named, deadline_s=6.0)
        named.add("m", 2, 0.0)
        rollout.plan(self.engines({f"e{n}": 1 for n in range(9)}), 0.0)
        self.assertEqual(len(rollout.out_of_use), 3)

    def test_requests_on_an_engine_get_first_tokens_before_it_is_ordered(self):
        named = NamedVersions()
        rollout = Rollout(named, deadline_s=6.0)
        named.add("m", 2, 0.0)

        def orders(now, unstarted):
            return rollout.plan([RolloutServer("e", "m", 1, 900, unstarted)], now)

        self.assertEqual(orders(0.0, 2), [])
        self.assertEqual(orders(0.3, 1), [])
        self.assertEqual(len(orders(0.4, 0)), 1)

    def test_a_request_without_a_first_token_does_not_block_an_order(self):
        named = NamedVersions()
        rollout = Rollout(named, deadline_s=6.0)
        named.add("m", 2, 0.0)
        engines = [RolloutServer("e", "m", 1, 900, 1)]
        self.assertEqual(rollout.plan(engines, 0.0), [])
        self.assertEqual(len(rollout.plan(engines, 0.7)), 1)

    def test_the_first_work_of_a_known_peer_on_an_engine_counts(self):
        engines = [EngineView(f"e{n}", f"e{n}", 8, 100_000) for n in range(2)]
        placer, peer = EnginePlacer(), EnginePlacer()
        placer.update_from_peer("a", peer.own_work(), True, 0.0)
        request = GenerationRequest("r1", (), 32_000, 10)
        placement = peer.place(request, engines, 0.0, random.Random(1))
        peer.record_start(request, placement, 0.0)
        placer.update_from_peer("a", peer.own_work(), False, 0.01)
        busy = placer.place(
            GenerationRequest("r2", (), 500, 4), engines, 0.01, random.Random(1)
        )
        self.assertNotEqual(busy.engine, placement.engine)

    def test_the_work_of_a_peer_before_its_first_report_does_not_count(self):
        placer, peer = EnginePlacer(), EnginePlacer()
        engines = [EngineView("e0", "e0", 8, 100_000)]
        request = GenerationRequest("r1", (), 32_000, 10)
        peer.record_start(request, peer.place(request, engines, 0.0, None), 0.0)
        peer.record_end("r1", "e0")
        placer.update_from_peer("a", peer.own_work(), True, 60.0)
        later = placer.place(GenerationRequest("r2", (), 500, 4), engines, 60.0, None)
        self.assertLess(later.first_token_s, 0.2)

    def test_peers_count_the_requests_that_wait_for_their_first_token(self):
        engines = [EngineView("e0", "e0", 8, 100_000)]
        placer, peer = EnginePlacer(), EnginePlacer()
        request = GenerationRequest("r1", (), 1000, 10)
        placement = placer.place(request, engines, 0.0, random.Random(1))
        placer.record_start(request, placement, 0.0)
        peer.update_from_peer("a", placer.own_work(), True, 0.1)
        self.assertEqual((placer.unstarted("e0"), peer.unstarted("e0")), (1, 1))
        placer.record_first_token("r1", "e0", 0.1)
        peer.update_from_peer("a", placer.own_work(), True, 0.2)
        self.assertEqual((placer.unstarted("e0"), peer.unstarted("e0")), (0, 0))

    def test_an_order_without_effect_is_repeated(self):
        named = NamedVersions()
        rollout = Rollout(named, deadline_s=6.0)
        named.add("m", 2, 0.0)
        engines = self.engines({"e": 1})
        times = [t / 10 for t in range(60) if rollout.plan(engines, t / 10)]
        self.assertGreaterEqual(len(times), 2)


class ServerHealthTest(unittest.TestCase):
    def test_a_server_that_fails_some_requests_costs_more(self):
        health = ServerHealth()
        for number in range(30):
            now = number * 0.1
            (health.record_failure if number % 2 else health.record_success)(
                "failing", now
            )
            health.record_success("healthy", now)
        self.assertGreater(health.cost_s("failing", 3.0), 0.3)
        self.assertEqual(health.cost_s("healthy", 3.0), 0.0)

    def test_backoff_grows_and_ends_with_a_response(self):
        health = ServerHealth()
        for _ in range(4):
            health.record_unreachable("unreachable", 0.0)
        self.assertTrue(health.is_backing_off("unreachable", 2.0))
        health.record_success("unreachable", 2.0)
        self.assertFalse(health.is_backing_off("unreachable", 2.0))


class RetryBudgetTest(unittest.TestCase):
    def test_the_fleet_stays_within_its_budget_when_all_requests_fail(self):
        budgets = [RetryBudget(0.2, 52.0, 10.0) for _ in range(6)]
        retries, requests = [], []
        for step in range(6000):
            now = step * 0.005
            budget = budgets[step % 6]
            budget.record_request(now)
            requests.append(now)
            if budget.take(now, instances=6):
                retries.append(now)
        for start in range(0, 20):
            window = [t for t in retries if start <= t < start + 10]
            requested = [t for t in requests if start <= t < start + 10]
            self.assertLessEqual(len(window), 0.2 * len(requested) + 52)


class ServerRegistryTest(unittest.TestCase):
    def test_a_server_removed_without_an_outage_is_removed_immediately(self):
        registry = ServerRegistry()
        registry.put("servers/a", BackendServer("a", "s", "10.0.0.1:80", "x", 8))
        registry.remove("servers/a", now=10.0)
        self.assertEqual(registry.servers, {})

    def test_an_entry_written_again_after_an_outage_is_kept(self):
        server = BackendServer("a", "s", "10.0.0.1:80", "x", 8)
        registry = ServerRegistry()
        registry.put("servers/a", server)
        registry.record_store_recovery(now=10.0)
        registry.remove("servers/a", now=10.1)
        registry.put("servers/a", server)
        registry.expire(now=20.0, responded_at=20.0)
        self.assertEqual(list(registry.servers), ["servers/a"])

    def test_an_entry_removed_after_an_outage_expires(self):
        registry = ServerRegistry()
        registry.put("servers/a", BackendServer("a", "s", "10.0.0.1:80", "x", 8))
        registry.record_store_recovery(now=10.0)
        registry.remove("servers/a", now=11.4)
        # The server may have left by itself and must not get requests for long.
        self.assertTrue(registry.expire(now=12.3, responded_at=12.3))

    def test_an_entry_that_lapses_in_an_outage_is_kept_until_the_store_recovers(self):
        registry = ServerRegistry()
        registry.put("servers/a", BackendServer("a", "s", "10.0.0.1:80", "x", 8))
        registry.record_store_loss()
        registry.remove("servers/a", now=10.0)
        self.assertFalse(registry.expire(now=20.0, responded_at=20.0))
        registry.record_store_recovery(now=20.0)
        self.assertFalse(registry.expire(now=21.0, responded_at=21.0))
        self.assertTrue(registry.expire(now=22.5, responded_at=22.5))


class PeerTableTest(unittest.TestCase):
    def peer(self, incarnation=1):
        return PeerState("b", incarnation, "x", "10.0.0.2:80", "10.0.0.2:7600")

    def test_a_silent_peer_is_expected_but_not_live(self):
        table = PeerTable()
        table.register(self.peer(), 0.0)
        table.update_from_peer(self.peer(), 0.0)
        self.assertEqual(table.live(5.0), [])
        self.assertEqual(table.expected(), ["b"])

    def test_a_report_of_an_earlier_incarnation_is_ignored(self):
        table = PeerTable()
        table.update_from_peer(self.peer(2), 0.0)
        table.update_from_peer(self.peer(1), 5.0)
        self.assertEqual(table.live(5.0), [])

    def test_a_peer_that_reports_is_live_after_its_entry_lapsed(self):
        table = PeerTable()
        table.register(self.peer(), 0.0)
        table.unregister("b")
        table.update_from_peer(self.peer(), 9.0)
        self.assertEqual(table.expire(10.0), [])
        self.assertEqual(len(table.live(10.0)), 1)


if __name__ == "__main__":
    unittest.main()

"""Tests of the gateway's decisions, each with the load that it answers."""

import random
import unittest

from cassiaford.gateway import BackendServer
from cassiaford.gateway.policy import (
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
    RollOutServer,
    RunTimes,
    ServerHealth,
    ServerRegistry,
)


def generation(number, section, own=1000, target_s=0.6):
    """Return a request about a section of the binder."""
    levels = (Prefix(b"binder", 500), Prefix(b"section-%d" % section, 5000))
    return GenerationRequest(f"r{number}", levels, 5000 + own, 40, target_s)


def engine_views(count, **fields):
    """Return engines that differ in nothing but their names."""
    return [
        EngineView(f"e{n}", f"e{n}", 32, 220_000, version=1, **fields)
        for n in range(count)
    ]


class EngineBookTest(unittest.TestCase):
    def test_instances_agree_on_the_home_of_a_section(self):
        homes = set()
        for seed in range(6):
            book = EnginePlacer()
            placement = book.place(
                generation(1, 7), engine_views(9), 0.0, random.Random(seed)
            )
            homes.add(placement.engine.key)
        self.assertEqual(len(homes), 1)

    def test_a_section_stays_at_home_under_usual_load(self):
        book = EnginePlacer()
        rng = random.Random(3)
        used = {}
        for number in range(400):
            now = number * 0.08
            request = generation(number, number % 20)
            placement = book.place(request, engine_views(9), now, rng)
            book.started(request, placement, now)
            book.first_token(request.request_id, placement.engine.key, now + 0.1)
            book.ended(request.request_id, placement.engine.key)
            used.setdefault(number % 20, set()).add(placement.engine.key)
        self.assertEqual({len(engines) for engines in used.values()}, {1})

    def test_a_hot_section_spreads_before_its_home_is_late(self):
        book = EnginePlacer()
        views = engine_views(9, fetch_tokens_per_s=250_000.0)
        rng = random.Random(3)
        engines = set()
        for number in range(60):
            request = generation(number, 1, own=8000)
            placement = book.place(request, views, 0.0, rng)
            book.started(request, placement, 0.0)
            engines.add(placement.engine.key)
        self.assertGreater(len(engines), 4)

    def test_a_spilled_request_names_an_engine_that_holds_its_section(self):
        book = EnginePlacer()
        views = engine_views(3, fetch_tokens_per_s=250_000.0)
        rng = random.Random(1)
        first = book.place(generation(0, 1), views, 0.0, rng)
        book.started(generation(0, 1), first, 0.0)
        others = [view for view in views if view.key != first.engine.key]
        versions = {view.key: 1 for view in views}
        spilled = book.place(generation(1, 1), others, 0.1, rng, versions)
        self.assertEqual(spilled.source, first.engine.key)

    def test_no_prefix_is_fetched_from_an_engine_of_other_weights(self):
        book = EnginePlacer()
        views = engine_views(3, fetch_tokens_per_s=250_000.0)
        rng = random.Random(1)
        first = book.place(generation(0, 1), views, 0.0, rng)
        book.started(generation(0, 1), first, 0.0)
        others = [view for view in views if view.key != first.engine.key]
        versions = {view.key: 1 for view in others} | {first.engine.key: 2}
        spilled = book.place(generation(1, 1), others, 0.1, rng, versions)
        self.assertIsNone(spilled.source)

    def test_work_that_peers_placed_makes_an_engine_busy(self):
        book = EnginePlacer()
        views = engine_views(2)
        rng = random.Random(1)
        home = book.place(generation(0, 1), views, 0.0, rng).engine.key
        book.update_from_peer("b", {home: PlacedWork(0, 0, 0)}, True, 0.0)
        book.update_from_peer("b", {home: PlacedWork(180_000, 8, 90_000)}, False, 0.1)
        moved = book.place(generation(1, 1), views, 0.1, rng).engine.key
        self.assertNotEqual(moved, home)

    def test_an_engine_without_memory_gets_no_request(self):
        book = EnginePlacer()
        view = EngineView("e", "e", 32, 20_000)
        rng = random.Random(1)
        for number in range(3):
            request = generation(number, number)
            placement = book.place(request, [view], 0.0, rng)
            if placement is not None:
                book.started(request, placement, 0.0)
        self.assertIsNone(placement)

    def test_new_weights_empty_an_engine(self):
        book = EnginePlacer()
        views = engine_views(3)
        rng = random.Random(1)
        request = generation(0, 1)
        placement = book.place(request, views, 0.0, rng)
        book.started(request, placement, 0.0)
        book.clear_cached_prefixes(placement.engine.key)
        self.assertEqual(book.prefix_locations.engines(request.unit, 0.1), {})

    def test_the_speed_of_engines_is_learned_from_first_tokens(self):
        book = EnginePlacer()
        views = engine_views(1)
        rng = random.Random(1)
        for number in range(200):
            now = number * 2.0
            request = generation(number, number, own=5000)
            placement = book.place(request, views, now, rng)
            book.started(request, placement, now)
            took_s = 0.07 + 10_000 / 30_000
            book.first_token(request.request_id, "e0", now + took_s)
            book.ended(request.request_id, "e0")
            book.clear_cached_prefixes("e0")
        self.assertAlmostEqual(book.speed.tokens_per_s, 30_000, delta=3000)


class RunTimesTest(unittest.TestCase):
    def test_a_route_is_known_by_how_long_its_answers_ran(self):
        rng = random.Random(3)
        times = RunTimes()
        for _ in range(200):
            times.ended("tag", rng.uniform(0.02, 0.06))
            times.ended("digest", rng.uniform(0.4, 1.2))
        self.assertAlmostEqual(times.expected("tag"), 0.04, delta=0.02)
        self.assertAlmostEqual(times.expected("digest"), 0.8, delta=0.25)


class RollOutTest(unittest.TestCase):
    def engines(self, versions):
        return [RollOutServer(k, "m", v, 0) for k, v in versions.items()]

    def play(self, names, load_s, until_s):
        """Play versions named at some times; return loads and each one's lag."""
        named = NamedVersions()
        roll_out = Rollout(named, deadline_s=6.0)
        versions = {f"e{n}": 1 for n in range(9)}
        loading, loads, lag = {}, [], 0.0
        for step in range(round(until_s / 0.1)):
            now = step * 0.1
            for version, at in names.items():
                if abs(at - now) < 0.05:
                    named.name("m", version, now)
            for key, (version, done_at) in tuple(loading.items()):
                if now >= done_at:
                    versions[key] = version
                    del loading[key]
            for order in roll_out.plan(self.engines(versions), now):
                loading[order.key] = (order.version, now + load_s)
                loads.append((now, order))
            for version in versions.values():
                lag = max(lag, named.behind_for("m", version, now))
        return versions, loads, lag

    def test_every_engine_has_a_version_in_time(self):
        versions, loads, lag = self.play({2: 1.0}, load_s=0.6, until_s=8.0)
        self.assertEqual(set(versions.values()), {2})
        self.assertEqual(len(loads), 9)
        self.assertLess(lag, 5.0)

    def test_versions_in_quick_succession_all_come_in_time(self):
        names = {2: 1.0, 3: 3.4, 4: 5.8, 5: 8.2}
        versions, _, lag = self.play(names, load_s=0.5, until_s=16.0)
        self.assertEqual(set(versions.values()), {5})
        # No request may begin on weights replaced for over six seconds.
        self.assertLess(lag, 5.0)

    def test_a_version_overtaken_before_an_engine_s_turn_is_never_loaded(self):
        names = {2: 1.0, 3: 2.0, 4: 3.0}
        versions, loads, _ = self.play(names, load_s=1.0, until_s=16.0)
        self.assertEqual(set(versions.values()), {4})
        self.assertLess(len(loads), 27)

    def test_only_a_third_of_the_engines_is_out_of_use(self):
        named = NamedVersions()
        roll_out = Rollout(named, deadline_s=6.0)
        named.name("m", 2, 0.0)
        roll_out.plan(self.engines({f"e{n}": 1 for n in range(9)}), 0.0)
        self.assertEqual(len(roll_out.held), 3)

    def test_requests_on_a_held_engine_begin_before_it_is_ordered(self):
        named = NamedVersions()
        roll_out = Rollout(named, deadline_s=6.0)
        named.name("m", 2, 0.0)

        def orders(now, unstarted):
            return roll_out.plan([RollOutServer("e", "m", 1, 900, unstarted)], now)

        self.assertEqual(orders(0.0, 2), [])
        self.assertEqual(orders(0.3, 1), [])
        self.assertEqual(len(orders(0.4, 0)), 1)

    def test_a_request_that_never_begins_does_not_keep_an_engine_from_its_order(self):
        named = NamedVersions()
        roll_out = Rollout(named, deadline_s=6.0)
        named.name("m", 2, 0.0)
        engines = [RollOutServer("e", "m", 1, 900, 1)]
        self.assertEqual(roll_out.plan(engines, 0.0), [])
        self.assertEqual(len(roll_out.plan(engines, 0.7)), 1)

    def test_the_first_work_of_a_known_peer_on_an_engine_counts(self):
        engines = [EngineView(f"e{n}", f"e{n}", 8, 100_000) for n in range(2)]
        book, peer = EnginePlacer(), EnginePlacer()
        book.update_from_peer("a", peer.own_work(), True, 0.0)
        request = GenerationRequest("r1", (), 32_000, 10)
        placement = peer.place(request, engines, 0.0, random.Random(1))
        peer.started(request, placement, 0.0)
        book.update_from_peer("a", peer.own_work(), False, 0.01)
        busy = book.place(
            GenerationRequest("r2", (), 500, 4), engines, 0.01, random.Random(1)
        )
        self.assertNotEqual(busy.engine, placement.engine)

    def test_the_work_that_a_peer_did_before_it_was_known_does_not_count(self):
        book, peer = EnginePlacer(), EnginePlacer()
        engines = [EngineView("e0", "e0", 8, 100_000)]
        request = GenerationRequest("r1", (), 32_000, 10)
        peer.started(request, peer.place(request, engines, 0.0, None), 0.0)
        peer.ended("r1", "e0")
        book.update_from_peer("a", peer.own_work(), True, 60.0)
        later = book.place(GenerationRequest("r2", (), 500, 4), engines, 60.0, None)
        self.assertLess(later.first_token_s, 0.2)

    def test_peers_count_the_requests_that_wait_for_their_first_token(self):
        engines = [EngineView("e0", "e0", 8, 100_000)]
        book, peer = EnginePlacer(), EnginePlacer()
        request = GenerationRequest("r1", (), 1000, 10)
        placement = book.place(request, engines, 0.0, random.Random(1))
        book.started(request, placement, 0.0)
        peer.update_from_peer("a", book.own_work(), True, 0.1)
        self.assertEqual((book.unstarted("e0"), peer.unstarted("e0")), (1, 1))
        book.first_token("r1", "e0", 0.1)
        peer.update_from_peer("a", book.own_work(), True, 0.2)
        self.assertEqual((book.unstarted("e0"), peer.unstarted("e0")), (0, 0))

    def test_an_order_without_effect_is_given_again(self):
        named = NamedVersions()
        roll_out = Rollout(named, deadline_s=6.0)
        named.name("m", 2, 0.0)
        engines = self.engines({"e": 1})
        times = [t / 10 for t in range(60) if roll_out.plan(engines, t / 10)]
        self.assertGreaterEqual(len(times), 2)


class ServerTrustTest(unittest.TestCase):
    def test_a_server_that_fails_part_of_its_requests_costs_more(self):
        trust = ServerHealth()
        for number in range(30):
            now = number * 0.1
            (trust.record_failure if number % 2 else trust.record_success)("grey", now)
            trust.record_success("sound", now)
        self.assertGreater(trust.cost_s("grey", 3.0), 0.3)
        self.assertEqual(trust.cost_s("sound", 3.0), 0.0)

    def test_backoff_grows_and_ends_with_an_answer(self):
        trust = ServerHealth()
        for _ in range(4):
            trust.unreachable("dark", 0.0)
        self.assertTrue(trust.away("dark", 2.0))
        trust.record_success("dark", 2.0)
        self.assertFalse(trust.away("dark", 2.0))


class SendBudgetTest(unittest.TestCase):
    def test_the_fleet_stays_within_its_budget_when_all_requests_fail(self):
        budgets = [RetryBudget(0.2, 52.0, 10.0) for _ in range(6)]
        resends, requests = [], []
        for step in range(6000):
            now = step * 0.005
            budget = budgets[step % 6]
            budget.record_request(now)
            requests.append(now)
            if budget.take(now, instances=6):
                resends.append(now)
        for start in range(0, 20):
            window = [t for t in resends if start <= t < start + 10]
            asked = [t for t in requests if start <= t < start + 10]
            self.assertLessEqual(len(window), 0.2 * len(asked) + 52)


class ServerRegistryTest(unittest.TestCase):
    def test_a_server_removed_while_the_store_is_steady_is_gone_at_once(self):
        registry = ServerRegistry()
        registry.put("servers/a", BackendServer("a", "s", "10.0.0.1:80", "x", 8))
        registry.remove("servers/a", now=10.0)
        self.assertEqual(registry.servers, {})

    def test_an_entry_that_comes_back_after_an_outage_is_kept(self):
        server = BackendServer("a", "s", "10.0.0.1:80", "x", 8)
        registry = ServerRegistry()
        registry.put("servers/a", server)
        registry.store_returned(now=10.0)
        registry.remove("servers/a", now=10.1)
        registry.put("servers/a", server)
        registry.expire(now=20.0)
        self.assertEqual(list(registry.servers), ["servers/a"])

    def test_an_entry_removed_after_an_outage_is_gone_in_time(self):
        registry = ServerRegistry()
        registry.put("servers/a", BackendServer("a", "s", "10.0.0.1:80", "x", 8))
        registry.store_returned(now=10.0)
        registry.remove("servers/a", now=11.4)
        # It may have left by itself, and then gets no request for long.
        self.assertTrue(registry.expire(now=12.3))

    def test_an_entry_that_lapses_while_the_store_is_away_waits_for_it(self):
        registry = ServerRegistry()
        registry.put("servers/a", BackendServer("a", "s", "10.0.0.1:80", "x", 8))
        registry.store_lost()
        registry.remove("servers/a", now=10.0)
        self.assertFalse(registry.expire(now=20.0))
        registry.store_returned(now=20.0)
        self.assertFalse(registry.expire(now=21.0))
        self.assertTrue(registry.expire(now=22.5))


class PeerTableTest(unittest.TestCase):
    def peer(self, incarnation=1):
        return PeerState("b", incarnation, "x", "10.0.0.2:80", "10.0.0.2:7600")

    def test_a_peer_that_falls_silent_is_not_named_to_callers(self):
        table = PeerTable()
        table.register(self.peer(), 0.0)
        table.hear(self.peer(), 0.0)
        self.assertEqual(table.live(5.0), [])
        self.assertEqual(table.expected(), ["b"])

    def test_a_report_of_an_earlier_start_is_passed_over(self):
        table = PeerTable()
        table.hear(self.peer(2), 0.0)
        table.hear(self.peer(1), 5.0)
        self.assertEqual(table.live(5.0), [])

    def test_a_peer_heard_is_live_while_the_store_forgets_it(self):
        table = PeerTable()
        table.register(self.peer(), 0.0)
        table.unregister("b")
        table.hear(self.peer(), 9.0)
        self.assertEqual(table.expire(10.0), [])
        self.assertEqual(len(table.live(10.0)), 1)


if __name__ == "__main__":
    unittest.main()

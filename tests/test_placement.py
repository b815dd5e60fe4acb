"""Tests of placement: homes, estimated caches and queues, and bounded memory."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaford.engines import (
    CacheEvent,
    CacheEventKind,
    CacheEvents,
    LoadReport,
    block_chain,
    cache_scope,
)
from cassiaford.policy import PlacementRequest, ServerView, create_placement

NAMES = tuple(f"engine-{number}" for number in range(10))
TEXT = b"binder " * 4096
CHAIN = block_chain(cache_scope("ramen", "chef", "v1"), TEXT)


def views(names=NAMES, **changes):
    return [ServerView(name, slots=8, **changes) for name in names]


def request(number=0, chain=CHAIN, excluded=()):
    tokens = 1024 * len(chain) + 100
    return PlacementRequest(f"r{number}", tokens, 16, chain, frozenset(excluded))


def stored(*blocks, incarnation="a#1", kind=CacheEventKind.STORED):
    events = tuple(CacheEvent(n, kind, block) for n, block in enumerate(blocks))
    return CacheEvents(incarnation, events, len(events), gap=False)


def load(incarnation="a#1", queued_tokens=0, running=0):
    return LoadReport(incarnation, running, 0, queued_tokens, ())


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.policy = create_placement()
        self.rng = random.Random(7)

    def place(self, request, servers=None, now=1.0):
        return self.policy.place(request, servers or views(), now, self.rng)

    def serve(self, request, now=1.0, servers=None):
        placement = self.place(request, servers, now)
        self.policy.record_start(placement, request, now)
        self.policy.record_first_token(request.request_id, now + 0.1)
        self.policy.record_end(request.request_id, now + 0.2)
        return placement

    def other_than_home(self):
        home = self.place(request()).server
        return next(name for name in NAMES if name != home)

    def test_new_instances_agree_without_communication(self):
        for count in (10, 100):
            names = [f"engine-{number}" for number in range(count)]
            chosen = {
                create_placement()
                .place(request(), views(names), 5.0, random.Random(seed))
                .server
                for seed in range(20)
            }
            self.assertEqual(len(chosen), 1)

    def test_server_that_leaves_moves_only_its_own_prefixes(self):
        chains = [(number * 7919 + 1,) for number in range(50)]
        before = {chain: self.place(request(chain=chain)).server for chain in chains}
        remaining = views(NAMES[1:])
        for chain in chains:
            after = self.place(request(chain=chain), remaining).server
            if before[chain] != NAMES[0]:
                self.assertEqual(after, before[chain])

    def test_unusable_servers_are_never_chosen(self):
        servers = [
            ServerView("excluded", slots=8),
            ServerView("suspected", slots=8, suspected=True),
            ServerView("full", slots=8, in_flight=8),
        ]
        self.assertIsNone(self.place(request(excluded=["excluded"]), servers))
        servers.append(ServerView("free", slots=8, in_flight=7))
        chosen = self.place(request(excluded=["excluded"]), servers)
        self.assertEqual(chosen.server, "free")
        many = views([f"engine-{number}" for number in range(50)], in_flight=8)
        self.assertIsNone(self.place(request(), many))
        self.assertEqual(self.place(request(), [*many, *servers[3:]]).server, "free")

    def test_server_filled_by_others_gets_no_requests(self):
        for name in NAMES:
            self.policy.observe_load(name, load(f"{name}#1", running=20), 1.0)
        self.assertIsNone(self.place(request(), now=1.5))
        self.policy.observe_load(NAMES[3], load(f"{NAMES[3]}#1", running=7), 2.0)
        self.assertEqual(self.place(request(), now=2.1).server, NAMES[3])

    def test_old_reports_do_not_keep_a_server_full_for_ever(self):
        for name in NAMES:
            self.policy.observe_load(name, load(f"{name}#1", running=20), 1.0)
        self.assertIsNotNone(self.place(request(), now=10.0))

    def test_home_is_found_whatever_the_order_of_the_servers(self):
        names = [f"engine-{number}" for number in range(60)]
        home = self.place(request(), views(names)).server
        self.serve(request(), servers=views(names))
        for seed in range(10):
            shuffled = names[1:-1]
            random.Random(seed).shuffle(shuffled)
            servers = views([names[0], *shuffled, names[-1]])
            self.assertEqual(self.place(request(), servers).server, home)

    def test_no_servers_and_no_chain(self):
        self.assertIsNone(self.policy.place(request(), [], 1.0, self.rng))
        for count in (1, 3, 40):
            names = [f"engine-{number}" for number in range(count)]
            self.assertIsNotNone(self.place(request(chain=()), views(names)))

    def test_a_prompt_that_a_peer_sent_counts_until_a_report_includes_it(self):
        home = self.serve(request()).server
        self.policy.observe_load(home, load(f"{home}#1"), 1.0)
        self.policy.record_peer_start(home, 400_000, 1.05)
        self.assertNotEqual(self.place(request(1), now=1.1).server, home)
        self.policy.observe_load(home, load(f"{home}#1"), 1.5)
        self.assertEqual(self.place(request(1), now=1.5).server, home)

    def test_a_prompt_that_a_peer_sent_expires_without_a_report(self):
        home = self.serve(request()).server
        self.policy.record_peer_start(home, 400_000, 1.0)
        self.assertNotEqual(self.place(request(1), now=1.1).server, home)
        self.assertEqual(self.place(request(1), now=3.0).server, home)

    def test_cache_events_draw_requests_away_from_the_home(self):
        caching_server = self.other_than_home()
        self.policy.observe_events(caching_server, stored(*CHAIN), 1.0)
        placement = self.place(request())
        self.assertEqual(placement.server, caching_server)
        self.assertEqual(placement.cached_tokens, 1024 * len(CHAIN))
        evicted = stored(*CHAIN, kind=CacheEventKind.EVICTED)
        self.policy.observe_events(caching_server, evicted, 2.0)
        self.assertNotEqual(self.place(request()).server, caching_server)

    def test_lost_event_does_not_hide_the_rest_of_the_prefix(self):
        caching_server = self.other_than_home()
        self.policy.observe_events(caching_server, stored(CHAIN[0], CHAIN[-1]), 1.0)
        self.assertEqual(self.place(request()).server, caching_server)

    def test_new_incarnation_clears_the_cached_blocks(self):
        caching_server = self.other_than_home()
        self.policy.observe_events(caching_server, stored(*CHAIN), 1.0)
        self.policy.observe_load(caching_server, load("a#2"), 2.0)
        self.assertNotEqual(self.place(request()).server, caching_server)

    def test_late_events_of_a_dead_incarnation_are_ignored(self):
        caching_server = self.other_than_home()
        self.policy.observe_events(caching_server, stored(CHAIN[0]), 1.0)
        self.policy.observe_load(caching_server, load("a#2"), 2.0)
        self.policy.observe_events(caching_server, stored(*CHAIN), 2.5)
        self.policy.observe_load(caching_server, load("a#1"), 2.6)
        self.assertNotEqual(self.place(request()).server, caching_server)
        self.policy.observe_events(
            caching_server, stored(*CHAIN, incarnation="a#2"), 2.7
        )
        self.assertEqual(self.place(request()).server, caching_server)

    def test_removed_server_is_assumed_to_cache_nothing(self):
        caching_server = self.other_than_home()
        self.policy.observe_events(caching_server, stored(*CHAIN), 1.0)
        self.policy.remove_server(caching_server)
        self.policy.observe_events(caching_server, stored(*CHAIN), 1.5)
        self.assertNotEqual(self.place(request()).server, caching_server)

    def test_mask_of_a_removed_server_carries_over_no_blocks(self):
        self.policy.observe_events("gone", stored(*CHAIN), 1.0)
        self.policy.remove_server("gone")
        self.policy.observe_load("new", load("new#1"), 2.0)
        placement = self.place(request(), views(["new"]))
        self.assertEqual(placement.cached_tokens, 0)

    def test_cached_blocks_are_not_shared_by_customers_or_versions(self):
        self.serve(request())
        for scope in (("other", "chef", "v1"), ("ramen", "chef", "v2")):
            chain = block_chain(cache_scope(*scope), TEXT)
            self.assertEqual(self.place(request(1, chain)).cached_tokens, 0)

    def test_request_that_failed_before_its_first_token_caches_nothing(self):
        placement = self.place(request())
        self.policy.record_start(placement, request(), 1.0)
        self.policy.record_end("r0", 1.1)
        self.assertEqual(self.place(request(1)).cached_tokens, 0)
        self.assertEqual(
            self.policy.server_states.loads[placement.server].own_tokens, 0
        )

    def test_request_started_again_counts_once(self):
        first, second = NAMES[:2]
        for name in (first, second):
            placement = self.place(request(), views([name]))
            self.policy.record_start(placement, request(), 1.0)
        self.assertEqual(self.policy.server_states.loads[first].own_tokens, 0)
        self.policy.record_end("r0", 2.0)
        self.assertEqual(self.policy.server_states.loads[second].own_tokens, 0)

    def test_own_requests_count_before_any_report(self):
        chains = [(number + 1,) * 20 for number in range(200)]
        chosen = []
        for number, chain in enumerate(chains):
            placement = self.place(request(number, chain))
            self.policy.record_start(placement, request(number, chain), 1.0)
            chosen.append(placement.server)
        fewest = min(chosen.count(name) for name in NAMES)
        self.assertGreater(fewest, 10)

    def test_hot_prefix_gets_more_homes(self):
        homes = set()
        for number in range(200):
            now = 1.0 + number * 0.01
            homes.add(self.serve(request(number), now).server)
        prompt_homes = self.policy.homes(request(), views(), 3.0)
        self.assertEqual(prompt_homes.needed, len(NAMES))
        for number in range(400):
            cold = request(1000 + number, (number * 31 + 5,))
            self.serve(cold, 3.0 + number * 0.01)
        self.assertLess(self.policy.homes(request(), views(), 7.0).needed, 8)

    def test_speed_is_learned(self):
        name = NAMES[0]
        for number in range(100):
            chain = (number + 1,) * 10
            placement = self.place(request(number, chain), views([name]))
            self.policy.record_start(placement, request(number, chain), float(number))
            self.policy.record_first_token(f"r{number}", number + 10_340 / 40_000)
            self.policy.record_end(f"r{number}", number + 0.5)
        speed = self.policy.server_states.loads[name].tokens_per_s
        self.assertAlmostEqual(speed, 40_000, delta=2_500)

    def test_memory_stays_bounded_and_nothing_leaks(self):
        self.policy = create_placement(max_blocks=100)
        for number in range(500):
            chain = tuple(range(number * 10 + 1, number * 10 + 11))
            self.serve(request(number, chain), float(number))
            name = NAMES[number % 10]
            events = stored(*range(10**6 + number, 10**6 + number + 20))
            self.policy.observe_events(name, events, number + 0.5)
            if number % 50 == 0:
                self.policy.remove_server(name)
        self.assertLessEqual(len(self.policy.table), 100)
        self.assertFalse(
            any(load.sent for load in self.policy.server_states.loads.values())
        )
        self.assertEqual(self.policy.awaiting_first_token, 0)

    def test_weights_stay_finite_over_a_long_time(self):
        for day in range(40):
            self.serve(request(day), day * 86_400.0)
        self.assertLess(self.policy.table.total_weight, float("inf"))
        self.assertGreaterEqual(self.policy.homes(request(), views(), 4e6).needed, 1)

    @settings(max_examples=50, deadline=None, derandomize=True)
    @given(st.data())
    def test_no_order_of_messages_assumes_blocks_that_are_not_cached(self, data):
        policy = create_placement(max_blocks=64)
        actual = {}
        reported = set()
        kinds = st.sampled_from(["restart", "event", "load", "forget", "serve"])
        for step in range(data.draw(st.integers(1, 40))):
            name = data.draw(st.sampled_from(NAMES[:3]))
            number, cached = actual.setdefault(name, (1, set()))
            incarnation, now = f"{name}#{number}", step * 0.1
            kind = data.draw(kinds)
            if kind == "restart":
                actual[name] = (number + 1, set())
                policy.observe_load(name, load(f"{name}#{number + 1}"), now)
                reported.add(name)
            elif kind == "event" and name in reported:
                old = f"{name}#{data.draw(st.integers(1, number))}"
                block = data.draw(st.sampled_from(CHAIN))
                policy.observe_events(name, stored(block, incarnation=old), now)
                if old == incarnation:
                    cached.add(block)
            elif kind == "load":
                policy.observe_load(name, load(incarnation), now)
                reported.add(name)
            elif kind == "forget":
                policy.remove_server(name)
                reported.discard(name)
                actual[name] = (number + 1, set())
            elif kind == "serve":
                chosen = policy.place(request(step), views(NAMES[:3]), now, self.rng)
                policy.record_start(chosen, request(step), now)
                policy.record_first_token(f"r{step}", now)
                policy.record_end(f"r{step}", now)
                actual.setdefault(chosen.server, (1, set()))[1].update(CHAIN)
        for name, (_, cached) in actual.items():
            self.assertLessEqual(assumed_blocks(policy, name), cached)


def assumed_blocks(policy, name):
    mask = (
        policy.server_states.loads[name].mask
        if name in policy.server_states.loads
        else 0
    )
    return {
        block
        for block in CHAIN
        if (state := policy.table.find(block)) and state.server_mask & mask
    }


if __name__ == "__main__":
    unittest.main()

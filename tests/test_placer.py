"""Tests of the choice of engines while new weights are loaded."""

import dataclasses
import random
import types
import unittest

from cassiaford.gateway import (
    BackendServer,
    Configuration,
    EngineSpec,
    PromptPart,
    RequestKind,
    RequestMetadata,
    Route,
    Service,
    Target,
)
from cassiaford.gateway._placer import Placer, ServerQuery
from cassiaford.gateway.policy import (
    EnginePlacer,
    NamedVersions,
    ServerHealth,
    ServicePlacer,
    WeightsBound,
)


def route(name, target_s):
    """Return a route to the engines."""
    targets = (Target("engine", 1.0),)
    return Route(name, "a", "/", RequestKind.STREAM, targets, 3.0, target_s)


TAG = route("tag", 0.4)
DIGEST = route("digest", 0.8)


def request_metadata(number, own_tokens, output_tokens):
    """Return the metadata of a prompt with a short shared part."""
    parts = (PromptPart("binder", 500), PromptPart(f"own-{number}", own_tokens))
    return RequestMetadata(
        f"r{number}",
        "a",
        model="m",
        prompt_tokens=500 + own_tokens,
        output_tokens=output_tokens,
        parts=parts,
    )


class PlacerTest(unittest.TestCase):
    """Two engines, of which the first has the newest weights."""

    def setUp(self):
        named = NamedVersions()
        named.add("m", 1, 0.0)
        named.add("m", 2, 9.0)
        servers = {
            key: BackendServer(f"e{key}", "engine", f"h:{key}", "a", 64, versions=held)
            for key, held in ((1, {"m": 2}), (2, {"m": 1}))
        }
        service = Service("engine", 300, EngineSpec(64, 220_000))
        view = types.SimpleNamespace(
            servers={"engine": servers},
            configuration=Configuration(1, (TAG, DIGEST), {"engine": service}),
            named_versions=named,
        )
        self.placer = Placer(
            view,
            EnginePlacer(),
            ServicePlacer(),
            ServerHealth(),
            "a",
            weights_bound=WeightsBound(named, within_s=11.0),
            rng=random.Random(1),
        )

    def place(self, request, requested_route, now):
        """Place and start a request; return the engine's key."""
        query = ServerQuery("engine", request, None, requested_route)
        choice = self.placer.choose(query, now)
        self.placer.record_start(choice, request, None, now)
        return choice.key

    def fitting(self, *keys, now=10.0):
        """Return the key of the server chosen for a stream that these fit."""
        addresses = {f"h:{key}" for key in keys}
        query = ServerQuery(
            "engine",
            request_metadata(1, 1500, 90),
            None,
            TAG,
            may_continue=lambda server: server.address in addresses,
        )
        choice = self.placer.choose(query, now)
        return choice and choice.key

    def test_a_begun_stream_goes_only_where_it_fits(self):
        self.assertEqual([self.fitting(1), self.fitting(2)], [1, 2])
        self.assertIsNone(self.fitting())

    def test_a_begun_stream_goes_to_a_server_that_is_avoided_rather_than_nowhere(self):
        for _ in range(3):
            self.placer.health.record_unreachable(2, 9.9)
        self.assertEqual(self.fitting(2), 2)
        self.assertEqual(self.fitting(1, 2), 1)
        self.placer.out_of_use = frozenset({1})
        self.assertEqual(self.fitting(1, 2), 1)

    def test_a_begun_stream_goes_to_a_full_engine_rather_than_nowhere(self):
        long = request_metadata(9, 97_000, 900)
        for number in range(2):
            request = dataclasses.replace(long, attempt_id=f"long-{number}")
            query = ServerQuery("engine", request, None, TAG, tried={2})
            choice = self.placer.choose(query, 10.0)
            self.placer.record_start(choice, request, None, 10.0)
        short = request_metadata(1, 1500, 90)
        query = ServerQuery("engine", short, None, TAG, tried={2})
        self.assertIsNone(self.placer.choose(query, 10.0))
        self.assertEqual(self.fitting(1), 1)
        self.assertEqual(self.fitting(1, 2), 2)

    def test_a_begun_stream_never_goes_to_weights_that_are_past_their_bound(self):
        self.placer.weights_bound.within_s = 0.5
        self.assertIsNone(self.fitting(2))

    def test_new_weights_are_preferred_on_idle_engines(self):
        self.assertEqual(self.place(request_metadata(1, 1500, 90), TAG, 10.0), 1)

    def test_a_short_response_does_not_wait_behind_a_long_prompt_for_new_weights(self):
        # Tag requests state ninety output tokens and get four. The ones that
        # have ended show that another hardly delays an engine's load.
        for number in range(20):
            self.placer.record_response(TAG, 9.0 + number / 100, 9.04 + number / 100)
        self.assertEqual(self.place(request_metadata(1, 32_000, 900), DIGEST, 10.0), 1)
        self.assertEqual(self.place(request_metadata(2, 1500, 90), TAG, 10.01), 2)

    def test_a_long_response_is_not_started_where_weights_are_about_to_load(self):
        for number in range(20):
            self.placer.record_response(DIGEST, 8.0 + number / 100, 9.2 + number / 100)
        self.assertEqual(self.place(request_metadata(1, 12_000, 900), DIGEST, 10.0), 1)
        self.assertEqual(self.place(request_metadata(2, 6000, 900), DIGEST, 10.01), 1)

    def test_a_request_is_placed_on_replaced_weights_while_it_starts_in_time(self):
        self.placer.view.servers["engine"].pop(1)
        for tenth in range(100, 200):
            now = tenth / 10
            request = request_metadata(tenth, 30_000, 10)
            query = ServerQuery("engine", request, None, TAG)
            choice = self.placer.choose(query, now)
            # Half a second for its own 30,000 tokens, one for the margin.
            self.assertEqual(choice is None, now > 18.4, f"at {now}")


if __name__ == "__main__":
    unittest.main()

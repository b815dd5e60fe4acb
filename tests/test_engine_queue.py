"""Tests of the estimates of an engine's queue, under a simulated load."""

import random
import statistics
import unittest

from cassiaford.gateway.policy import (
    EnginePlacer,
    EngineView,
    GenerationRequest,
    PlacedWork,
)
from cassiaford.gateway.policy._engine_queue import EngineQueue
from cassiaford.gateway.policy._prefill_speed import PrefillSpeed
from tests.event_replay import EventReplay

# One engine whose prefill speed the instances have to estimate.
ENGINE = EngineView("e", "e", 1000, 100_000_000)
TOKENS_PER_S = 90_000.0
INSTANCES = 7
REPORT_DELAY_S = 0.002
# Some prompts miss a prefix that was expected to be cached; prefill takes longer.
MISSED_FRACTION = 0.2
MISSED_FACTOR = 3
END_S = 40.0
LOAD_FRACTION = 0.8
MEAN_TOKENS = 8000 * (1 + MISSED_FRACTION * (MISSED_FACTOR - 1))


class Replay(EventReplay):
    """Seven instances and one engine that prefills prompts in their order.

    Prompts have 1,000 to 15,000 tokens and use `LOAD_FRACTION` of the
    engine's prefill speed. Instances report each to their peers, as they do for
    long prompts.
    """

    def __init__(self, seed):
        super().__init__()
        self.rng = random.Random(seed)
        self.placers = [EnginePlacer() for _ in range(INSTANCES)]
        self.free_at = 0.0
        self.errors = []
        for number, _placer in enumerate(self.placers):
            self.report(0.0, number)
        now = 0.0
        while now < END_S:
            now += self.rng.expovariate(LOAD_FRACTION * TOKENS_PER_S / MEAN_TOKENS)
            self.at(now, self.arrive, self.rng.randrange(INSTANCES))

    def arrive(self, now, number):
        placer = self.placers[number]
        tokens = self.rng.randrange(1000, 15_000)
        request = GenerationRequest(f"r{next(self.count)}", (), tokens, 50)
        placement = placer.place(request, [ENGINE], now, self.rng)
        placer.record_start(request, placement, now)
        missed = self.rng.random() < MISSED_FRACTION
        prefilled = tokens * (MISSED_FACTOR if missed else 1)
        self.free_at = max(now, self.free_at) + prefilled / TOKENS_PER_S
        first_token_at = self.free_at + 0.07
        error = abs(placement.first_token_s - (first_token_at - now))
        if now > END_S / 2:
            self.errors.append(error)
        self.at(now + REPORT_DELAY_S, self.report, number)
        self.at(first_token_at, self.first_token, placer, request.request_id)

    def first_token(self, now, placer, request_id):
        placer.record_first_token(request_id, "e", now)
        placer.record_end(request_id, "e")

    def report(self, now, number):
        placer = self.placers[number]
        work, speed = placer.own_work(), placer.speed.own_tokens_per_s
        for peer in self.placers:
            if peer is not placer:
                peer.update_from_peer(f"i{number}", work, True, now)
                peer.speed.update_from_peer(f"i{number}", speed)


class EngineQueueTest(unittest.TestCase):
    def test_estimates_agree_and_are_accurate_despite_missed_prefixes(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                replay = Replay(seed)
                replay.run()
                speeds = [placer.speed.tokens_per_s for placer in replay.placers]
                # Only with similar speeds do tokens mean the same to all instances.
                self.assertLess(max(speeds) / min(speeds), 4 / 3)
                # Half of the shortest target, 0.4 s.
                self.assertLess(statistics.median(replay.errors), 0.2)

    def test_an_instance_with_few_samples_uses_the_estimates_of_its_peers(self):
        speed = PrefillSpeed()
        for number in range(6):
            speed.update_from_peer(f"i{number}", 30_000 + number)
        self.assertAlmostEqual(speed.tokens_per_s, 30_000, delta=10)
        for number in range(6):
            speed.remove_peer(f"i{number}")
        self.assertEqual(speed.tokens_per_s, speed.own_tokens_per_s)

    def test_a_late_first_token_lengthens_the_estimated_queue(self):
        queue = EngineQueue(PrefillSpeed())
        queue.record_start("r1", 6000, 6000, 0.0)
        expected = queue.busy_until
        # The first token of r1 comes a second late, since the engine prefilled an
        # unreported prompt before it.
        queue.record_start("r2", 6000, 6000, 0.01)
        queue.record_first_token("r1", 1.17)
        self.assertGreater(queue.busy_until, expected + 0.4)

    def test_an_early_first_token_shortens_the_estimated_queue(self):
        queue = EngineQueue(PrefillSpeed())
        queue.update_from_peer("b", PlacedWork(120_000, 9, 9000), True, 0.0)
        queue.record_start("r1", 6000, 6000, 0.0)
        queue.record_first_token("r1", 0.2)
        self.assertLess(queue.busy_until, 1.3)

    def test_a_rejected_request_leaves_no_work(self):
        queue = EngineQueue(PrefillSpeed())
        queue.record_start("r1", 6000, 6000, 0.0)
        queue.cancel("r1")
        self.assertEqual((queue.running, queue.tokens, queue.unstarted), (0, 0, 0))
        self.assertEqual(queue.busy_until, 0.0)
        self.assertEqual(queue.own_work().prefill_tokens, 0)


if __name__ == "__main__":
    unittest.main()

"""Tests of which requests wait while engines are behind, under replayed load."""

import random
import unittest
from dataclasses import dataclass

from cassiaford.gateway.policy import (
    EnginePlacer,
    EngineView,
    GenerationRequest,
    Placement,
    WaitingPrompts,
    should_wait,
)
from tests.event_replay import EventReplay

ENGINES = [EngineView(f"e{n}", f"e{n}", 64, 10_000_000) for n in range(3)]
TOKENS_PER_S = 60_000.0
LOOK_AGAIN_S = 0.03
PATIENCE_S = 2.4
UNTIL_S = 12.0


@dataclass(frozen=True)
class Kind:
    """A kind of prompt and the time in which its answer should begin."""

    tokens: int
    target_s: float


TAG = Kind(2400, 0.4)
DIGEST = Kind(12_000, 0.8)


class Replay(EventReplay):
    """Prompts before three engines that each read in the order of arrival.

    Load is 0.6 of what the engines read, and 1.8 between the second and the
    fourth second. `waits` decides whether a request waits.
    """

    def __init__(self, seed, waits):
        super().__init__()
        self.rng = random.Random(seed)
        self.waits = waits
        self.book = EnginePlacer()
        self.waiting = WaitingPrompts()
        self.free_at = dict.fromkeys((view.key for view in ENGINES), 0.0)
        self.begun = []
        self.arrivals = 0
        self._draw_arrivals()

    def _draw_arrivals(self):
        mean_tokens = 0.85 * TAG.tokens + 0.15 * DIGEST.tokens
        now = 0.0
        while now < UNTIL_S:
            load = 1.8 if 2.0 <= now < 4.0 else 0.6
            rate = load * len(ENGINES) * TOKENS_PER_S / mean_tokens
            now += self.rng.expovariate(rate)
            kind = DIGEST if self.rng.random() < 0.15 else TAG
            self.at(now, self.look, f"r{next(self.count)}", kind, now)
            self.arrivals += 1

    @property
    def in_time(self):
        """How many requests began in time."""
        return sum(took <= kind.target_s for kind, took in self.begun)

    @property
    def left(self):
        """How many callers had left before."""
        return sum(took >= PATIENCE_S for _, took in self.begun)

    def look(self, now, name, kind, arrived_at):
        request = GenerationRequest(name, (), kind.tokens, 50, kind.target_s)
        placement = self.book.place(request, ENGINES, now, self.rng)
        self.waiting.remove(name)
        waiting_s = self.waiting.per_engine_s(1, len(ENGINES))
        age_s = now - arrived_at
        if self.waits(placement, age_s, kind.target_s, PATIENCE_S, waiting_s):
            self.waiting.add(name, placement.prefill_s)
            self.at(now + LOOK_AGAIN_S, self.look, name, kind, arrived_at)
            return
        self.book.started(request, placement, now)
        key = placement.engine.key
        begins_at = max(now, self.free_at[key]) + kind.tokens / TOKENS_PER_S
        self.free_at[key] = begins_at
        self.at(begins_at + 0.07, self.first_token, name, key, kind, arrived_at)

    def first_token(self, now, name, key, kind, arrived_at):
        self.book.first_token(name, key, now)
        self.book.ended(name, key)
        self.begun.append((kind, now - arrived_at))


def never(*_):
    """Send every request at once, as before requests waited."""
    return False


class LateRequestsTest(unittest.TestCase):
    def test_more_requests_are_in_time_and_none_is_lost_over_capacity(self):
        for seed in range(20):
            with self.subTest(seed=seed):
                at_once, waiting = Replay(seed, never), Replay(seed, should_wait)
                at_once.run()
                waiting.run()
                self.assertGreater(waiting.in_time, at_once.in_time)
                self.assertLessEqual(waiting.left, at_once.left)
                self.assertEqual(len(waiting.begun), waiting.arrivals)

    def test_a_request_that_can_be_in_time_goes_at_once(self):
        placement = Placement(
            ENGINES[0], first_token_s=0.39, prefill_s=0.0, queue_s=0.3
        )
        self.assertFalse(should_wait(placement, 0.0, TAG.target_s, PATIENCE_S))

    def test_a_late_request_goes_once_a_queue_is_short(self):
        placement = Placement(ENGINES[0], first_token_s=0.2, prefill_s=0.0, queue_s=0.1)
        self.assertFalse(should_wait(placement, 0.9, TAG.target_s, PATIENCE_S))

    def test_a_late_request_goes_before_its_caller_would_leave(self):
        placement = Placement(ENGINES[0], first_token_s=0.6, prefill_s=0.0, queue_s=0.5)
        self.assertTrue(should_wait(placement, 1.1, TAG.target_s, PATIENCE_S))
        self.assertFalse(should_wait(placement, 1.3, TAG.target_s, PATIENCE_S))


if __name__ == "__main__":
    unittest.main()

"""Tests of which requests wait while engines are overloaded."""

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
RECHECK_INTERVAL_S = 0.03
PATIENCE_S = 2.4
END_S = 12.0


@dataclass(frozen=True)
class Kind:
    """A kind of prompt and the time within which its first token should come."""

    tokens: int
    target_s: float


TAG = Kind(2400, 0.4)
DIGEST = Kind(12_000, 0.8)


class Replay(EventReplay):
    """Prompts for three engines that each prefill in the order of arrival.

    The load is 0.6 of the engines' prefill speed, and 1.8 from second 2 to
    second 4. `waits` decides whether a request waits.
    """

    def __init__(self, seed, waits):
        super().__init__()
        self.rng = random.Random(seed)
        self.waits = waits
        self.placer = EnginePlacer()
        self.waiting = WaitingPrompts()
        self.free_at = dict.fromkeys((view.key for view in ENGINES), 0.0)
        self.started = []
        self.arrivals = 0
        self._draw_arrivals()

    def _draw_arrivals(self):
        mean_tokens = 0.85 * TAG.tokens + 0.15 * DIGEST.tokens
        now = 0.0
        while now < END_S:
            load = 1.8 if 2.0 <= now < 4.0 else 0.6
            rate = load * len(ENGINES) * TOKENS_PER_S / mean_tokens
            now += self.rng.expovariate(rate)
            kind = DIGEST if self.rng.random() < 0.15 else TAG
            self.at(now, self.try_to_send, f"r{next(self.count)}", kind, now)
            self.arrivals += 1

    @property
    def in_time(self):
        """The number of requests that got their first token in time."""
        return sum(elapsed_s <= kind.target_s for kind, elapsed_s in self.started)

    @property
    def abandoned(self):
        """The number of requests whose caller had disconnected before that."""
        return sum(elapsed_s >= PATIENCE_S for _, elapsed_s in self.started)

    def try_to_send(self, now, name, kind, arrived_at):
        request = GenerationRequest(name, (), kind.tokens, 50, kind.target_s)
        placement = self.placer.place(request, ENGINES, now, self.rng)
        self.waiting.remove(name)
        waiting_s = self.waiting.prefill_s_per_engine(1, len(ENGINES))
        age_s = now - arrived_at
        if self.waits(placement, age_s, kind.target_s, PATIENCE_S, waiting_s):
            self.waiting.add(name, placement.prefill_s)
            self.at(now + RECHECK_INTERVAL_S, self.try_to_send, name, kind, arrived_at)
            return
        self.placer.record_start(request, placement, now)
        key = placement.engine.key
        prefilled_at = max(now, self.free_at[key]) + kind.tokens / TOKENS_PER_S
        self.free_at[key] = prefilled_at
        self.at(prefilled_at + 0.07, self.first_token, name, key, kind, arrived_at)

    def first_token(self, now, name, key, kind, arrived_at):
        self.placer.record_first_token(name, key, now)
        self.placer.record_end(name, key)
        self.started.append((kind, now - arrived_at))


def never_wait(*_):
    """Send every request immediately."""
    return False


class LateRequestsTest(unittest.TestCase):
    def test_waiting_serves_more_requests_in_time_and_loses_none_in_overload(self):
        for seed in range(20):
            with self.subTest(seed=seed):
                immediate, waiting = Replay(seed, never_wait), Replay(seed, should_wait)
                immediate.run()
                waiting.run()
                self.assertGreater(waiting.in_time, immediate.in_time)
                self.assertLessEqual(waiting.abandoned, immediate.abandoned)
                self.assertEqual(len(waiting.started), waiting.arrivals)

    def test_a_request_that_can_be_in_time_does_not_wait(self):
        placement = Placement(
            ENGINES[0], first_token_s=0.39, prefill_s=0.0, queue_s=0.3
        )
        self.assertFalse(should_wait(placement, 0.0, TAG.target_s, PATIENCE_S))

    def test_a_late_request_is_sent_once_a_queue_is_short(self):
        placement = Placement(ENGINES[0], first_token_s=0.2, prefill_s=0.0, queue_s=0.1)
        self.assertFalse(should_wait(placement, 0.9, TAG.target_s, PATIENCE_S))

    def test_a_late_request_is_sent_before_its_caller_would_leave(self):
        placement = Placement(ENGINES[0], first_token_s=0.6, prefill_s=0.0, queue_s=0.5)
        self.assertTrue(should_wait(placement, 1.1, TAG.target_s, PATIENCE_S))
        self.assertFalse(should_wait(placement, 1.3, TAG.target_s, PATIENCE_S))


if __name__ == "__main__":
    unittest.main()

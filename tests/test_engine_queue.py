"""Tests of what instances believe of an engine's queue, under replayed load."""

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
from cassiaford.gateway.policy._reading_speed import ReadingSpeed
from tests.event_replay import EventReplay

# One engine, of which the instances do not know the speed.
ENGINE = EngineView("e", "e", 1000, 100_000_000)
TOKENS_PER_S = 90_000.0
INSTANCES = 7
TOLD_LATER_S = 0.002
# Some prompts lack a prefix that they were taken to find, and are read longer.
MISSED_SHARE = 0.2
MISSED_FACTOR = 3
UNTIL_S = 40.0
LOAD = 0.8
MEAN_TOKENS = 8000 * (1 + MISSED_SHARE * (MISSED_FACTOR - 1))


class Replay(EventReplay):
    """Seven instances before one engine that reads prompts in their order.

    The load is 0.9 of what the engine reads; prompts have 1,000 to 15,000
    tokens. Instances tell each other of each, as they do of long prompts.
    """

    def __init__(self, seed):
        super().__init__()
        self.rng = random.Random(seed)
        self.books = [EnginePlacer() for _ in range(INSTANCES)]
        self.free_at = 0.0
        self.errors = []
        for number, _book in enumerate(self.books):
            self.report(0.0, number)
        now = 0.0
        while now < UNTIL_S:
            now += self.rng.expovariate(LOAD * TOKENS_PER_S / MEAN_TOKENS)
            self.at(now, self.arrive, self.rng.randrange(INSTANCES))

    def arrive(self, now, number):
        book = self.books[number]
        tokens = self.rng.randrange(1000, 15_000)
        request = GenerationRequest(f"r{next(self.count)}", (), tokens, 50)
        placement = book.place(request, [ENGINE], now, self.rng)
        book.started(request, placement, now)
        missed = self.rng.random() < MISSED_SHARE
        read = tokens * (MISSED_FACTOR if missed else 1)
        self.free_at = max(now, self.free_at) + read / TOKENS_PER_S
        begins_at = self.free_at + 0.07
        error = abs(placement.first_token_s - (begins_at - now))
        if now > UNTIL_S / 2:
            self.errors.append(error)
        self.at(now + TOLD_LATER_S, self.report, number)
        self.at(begins_at, self.begin, book, request.request_id)

    def begin(self, now, book, request_id):
        book.first_token(request_id, "e", now)
        book.ended(request_id, "e")

    def report(self, now, number):
        book = self.books[number]
        work, speed = book.own_work(), book.speed.learned
        for peer in self.books:
            if peer is not book:
                peer.update_from_peer(f"i{number}", work, True, now)
                peer.speed.hear(f"i{number}", speed)


class EngineQueueTest(unittest.TestCase):
    def test_instances_agree_and_expect_the_right_time_despite_missed_prefixes(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                replay = Replay(seed)
                replay.run()
                speeds = [book.speed.tokens_per_s for book in replay.books]
                # Work counted by one instance means the same to the others.
                self.assertLess(max(speeds) / min(speeds), 4 / 3)
                # Half of the shortest target, 0.4 s.
                self.assertLess(statistics.median(replay.errors), 0.2)

    def test_an_instance_that_sees_little_goes_by_what_its_peers_learned(self):
        speed = ReadingSpeed()
        for number in range(6):
            speed.hear(f"i{number}", 30_000 + number)
        self.assertAlmostEqual(speed.tokens_per_s, 30_000, delta=10)
        for number in range(6):
            speed.forget_peer(f"i{number}")
        self.assertEqual(speed.tokens_per_s, speed.learned)

    def test_an_answer_that_begins_corrects_a_queue_that_was_unknown(self):
        queue = EngineQueue(ReadingSpeed())
        queue.send("r1", 6000, 6000, 0.0)
        expected = queue.busy_until
        # It began a second late: something that nobody told was read before.
        queue.send("r2", 6000, 6000, 0.01)
        queue.begun("r1", 1.17)
        self.assertGreater(queue.busy_until, expected + 0.4)

    def test_work_that_is_done_earlier_than_thought_shortens_the_queue(self):
        queue = EngineQueue(ReadingSpeed())
        queue.hear("b", PlacedWork(120_000, 9, 9000), True, 0.0)
        queue.send("r1", 6000, 6000, 0.0)
        queue.begun("r1", 0.2)
        self.assertLess(queue.busy_until, 1.3)

    def test_a_request_that_was_turned_away_leaves_nothing(self):
        queue = EngineQueue(ReadingSpeed())
        queue.send("r1", 6000, 6000, 0.0)
        queue.take_back("r1")
        self.assertEqual((queue.running, queue.tokens, queue.unstarted), (0, 0, 0))
        self.assertEqual(queue.busy_until, 0.0)
        self.assertEqual(queue.own_work().read_tokens, 0)


if __name__ == "__main__":
    unittest.main()

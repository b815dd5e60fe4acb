"""Tests that every resend is counted, and is within the limits of its request.

Each seed draws how the servers misbehave; `python -m tests.test_resends SEEDS`
runs more of them than the suite does.
"""

import asyncio
import collections
import logging
import random
import sys
import unittest
from unittest import mock

from cassiaford.gateway.policy import RetryBudget
from cassiaford.platform._dialect import PlatformDialect
from standins.platform_worker import Behaviour
from tests.platform_case import PROMPT_HEADERS, PlatformCase, configuration

SEEDS = 4
REQUESTS = 40
MAX_ATTEMPTS = {"book": 1, "read": 2, "ask": 2, "mark": 1}
# How much longer than its caller waits a server may be given, in seconds.
DEADLINE_TOLERANCE_S = 0.5
BEHAVIOURS = (
    Behaviour.SERVE,
    Behaviour.SERVE,
    Behaviour.REJECT,
    Behaviour.FAIL,
    Behaviour.PLAIN_503,
    Behaviour.RESET,
    Behaviour.HANG,
    Behaviour.TRUNCATE,
    Behaviour.BREAK_IN_EVENT,
    Behaviour.EXTRA_RESPONSE,
    Behaviour.OTHER_RESPONSE_FIRST,
    Behaviour.UNSIGNED,
    Behaviour.CLOSE_AFTER,
    Behaviour.GARBAGE,
    Behaviour.CRASH,
)


class ResendTest(PlatformCase):
    seeds = range(SEEDS)

    async def test_every_resend_is_counted_and_within_its_request_s_limits(self):
        await self.store.put("op/config", configuration())
        for number in range(4):
            await self.start_worker(f"i-{number}", "desk")
            await self.start_worker(f"i-{number + 4}", "engine")
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(3)]
        for seed in self.seeds:
            with self.subTest(seed=seed):
                await self.play(gateways, random.Random(seed))

    async def play(self, gateways, rng):
        """Send requests while servers misbehave, then check what arrived."""
        for worker in self.workers.values():
            worker.calls.clear()
            worker.recovery_s = 0.2
            worker.behaviours = rng.choices(BEHAVIOURS, k=REQUESTS)
        self.counted = 0
        self.given = []
        with (
            mock.patch.object(RetryBudget, "take", self.counting(RetryBudget.take)),
            mock.patch.object(
                PlatformDialect,
                "forwarded_headers",
                self.recording(PlatformDialect.forwarded_headers),
            ),
        ):
            await asyncio.gather(*(self.send(rng, gateways) for _ in range(REQUESTS)))
        await self.wait_until(lambda: all(w.server.is_serving() for w in self.servers))
        calls = [call for worker in self.servers for call in worker.calls]
        self.check_count(calls)
        self.check_runs(calls)
        self.check_deadlines()

    @property
    def servers(self):
        return self.workers.values()

    def counting(self, take):
        """Return a method that counts the resends that a budget allows."""

        def counting_take(budget, now, instances):
            allowed = take(budget, now, instances)
            self.counted += allowed
            return allowed

        return counting_take

    def recording(self, forwarded_headers):
        """Return a method that records when each send ends, and its caller's wait.

        The times are those of the gateway: callers, gateways and servers share an
        event loop here, so what a server measures includes the loop's delays.
        """

        def recording_forwarded_headers(dialect, request, forwarding):
            headers = forwarded_headers(dialect, request, forwarding)
            given_s = int(dict(headers)["X-Deadline-Ms"]) / 1000
            wait_s = int(dict(request.headers)["X-Deadline-Ms"]) / 1000
            ends_at = asyncio.get_running_loop().time() + given_s
            self.given.append((ends_at, request.received_at + wait_s))
            return headers

        return recording_forwarded_headers

    async def send(self, rng, gateways):
        """Send a request of a random route to a random gateway."""
        await asyncio.sleep(rng.random())
        path = rng.choice(tuple(MAX_ATTEMPTS))
        attempt = f"{path}-{next(self.attempts)}"
        deadline_s = rng.choice((0.4, 2.0))
        headers = PROMPT_HEADERS if path in ("ask", "mark") else {}
        try:
            await self.call(
                rng.choice(gateways),
                f"/{path}/{attempt}",
                attempt=attempt,
                X_Deadline_Ms=str(round(deadline_s * 1000)),
                **headers,
            )
        except (asyncio.IncompleteReadError, ConnectionError):
            # The gateway broke off a response that had started.
            return

    def check_count(self, calls):
        arrivals = collections.Counter(c.headers["x-attempt-id"] for c in calls)
        self.assertLessEqual(sum(n - 1 for n in arrivals.values()), self.counted)

    def check_runs(self, calls):
        runs = collections.Counter(a for w in self.servers for a in w.ran)
        for attempt, count in runs.items():
            self.assertLessEqual(count, MAX_ATTEMPTS[attempt.partition("-")[0]])
        for worker in self.servers:
            worker.ran.clear()

    def check_deadlines(self):
        self.assertTrue(self.given)
        for ends_at, latest in self.given:
            self.assertLessEqual(ends_at, latest + DEADLINE_TOLERANCE_S)


def main(seeds):
    """Run the test with many seeds."""
    logging.disable(logging.CRITICAL)
    ResendTest.seeds = range(seeds)
    suite = unittest.defaultTestLoader.loadTestsFromTestCase(ResendTest)
    result = unittest.TextTestRunner().run(suite)
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1])))

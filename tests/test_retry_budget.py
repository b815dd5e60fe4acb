"""Tests of the fleet's limit on resends, under restarts, reloads and lost peers."""

import random
import unittest
from dataclasses import replace

from cassiaford.gateway import RetryLimits
from cassiaford.gateway._own_keys import OWN_PREFIX
from cassiaford.gateway.policy import RetryBudget
from standins.platform_worker import Behaviour
from tests.platform_case import PlatformCase, configuration

SEEDS = 50
LIMITS = RetryLimits(ratio=0.2, slack=54.0, window_s=10.0)
INSTANCES = 7
DURATION_S = 45.0
STEP_S = 0.02


class FailingService:
    """A service whose every request fails, behind instances that restart.

    Instances are killed one by one, in turn or all at once, up to three times
    in a row, and come back after up to two seconds.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.budgets = [RetryBudget(*self.limits) for _ in range(INSTANCES)]
        self.down_until = [0.0] * INSTANCES
        self.restarts = sorted(self._draw_restarts())
        self.requests = []
        self.retries = []

    @property
    def limits(self):
        return LIMITS.ratio, LIMITS.slack, LIMITS.window_s

    def _draw_restarts(self):
        for _ in range(self.rng.randint(1, 3)):
            at = self.rng.uniform(5.0, DURATION_S - 5.0)
            gap_s = self.rng.choice((0.0, 0.0, 1.5))
            for _ in range(self.rng.randint(1, 3)):
                for instance in range(self.rng.randint(1, INSTANCES)):
                    yield at + gap_s * instance, instance
                at += self.rng.uniform(2.0, 6.0)

    def run(self):
        for step in range(int(DURATION_S / STEP_S)):
            now = step * STEP_S
            while self.restarts and self.restarts[0][0] <= now:
                self.restart(self.restarts.pop(0)[1], now)
            instance = self.rng.randrange(INSTANCES)
            if self.rng.random() < 0.3 and now >= self.down_until[instance]:
                self.request(self.budgets[instance], now)

    def restart(self, instance, now):
        back_at = now + self.rng.uniform(0.5, 2.0)
        self.down_until[instance] = back_at
        slack_from = back_at + LIMITS.window_s
        self.budgets[instance] = RetryBudget(*self.limits, slack_from=slack_from)

    def request(self, budget, now):
        budget.record_request(now)
        self.requests.append(now)
        while budget.take(now, INSTANCES):
            self.retries.append(now)

    def excess(self):
        """Return by how much the worst window exceeds the limit, at most 0 if none."""
        window_s = LIMITS.window_s
        starts = [t for t in self.retries if t <= DURATION_S - window_s]
        return max(
            count(self.retries, start, window_s)
            - LIMITS.ratio * count(self.requests, start, window_s)
            - LIMITS.slack
            for start in starts
        )


def count(times, start, window_s):
    """Return how many times lie in a window."""
    return sum(start <= t < start + window_s for t in times)


class RestartTest(unittest.TestCase):
    def test_restarts_give_the_fleet_no_second_slack(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                service = FailingService(seed)
                service.run()
                self.assertLessEqual(service.excess(), 0.0)


class GatewayBudgetTest(PlatformCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.store.put("op/config", configuration())
        for number in range(2):
            await self.start_worker(f"i-{number}", "desk")

    async def fail_requests(self, gateway, count):
        """Send requests that every server fails, and return the resends."""
        sent = sum(len(worker.ran) for worker in self.workers.values())
        for worker in self.workers.values():
            worker.behaviours = [Behaviour.FAIL] * 2 * count
        for _ in range(count):
            await self.call(gateway, "/read/1", method="GET", body=b"")
        return sum(len(w.ran) for w in self.workers.values()) - sent - count

    async def test_a_restarted_instance_uses_no_slack_in_its_first_window(self):
        restarted = await self.start_gateway(first_start=False)
        limits = restarted.settings.retry_limits
        resends = await self.fail_requests(restarted, 20)
        self.assertLessEqual(resends, limits.ratio * 20)
        restarted.front.context.budgets["desk"].slack_from = 0.0
        self.assertGreater(await self.fail_requests(restarted, 5), 0)

    async def test_a_reload_does_not_forget_the_resends_of_the_window(self):
        gateway = await self.start_gateway()
        await self.fail_requests(gateway, 60)
        gateway.reload = lambda: gateway.settings
        gateway._reload()
        limits = gateway.settings.retry_limits
        self.assertLessEqual(await self.fail_requests(gateway, 20), limits.ratio * 20)

    async def test_a_reload_puts_new_limits_in_force(self):
        gateway = await self.start_gateway()
        await self.fail_requests(gateway, 1)
        limits = RetryLimits(ratio=0.0, slack=0.0, window_s=10.0)
        settings = replace(gateway.settings, retry_limits=limits)
        gateway.reload = lambda: settings
        gateway._reload()
        self.assertEqual(await self.fail_requests(gateway, 5), 0)

    async def test_an_instance_that_knows_no_fleet_uses_no_slack(self):
        self.store.faults.refused_prefix = OWN_PREFIX
        gateway = await self.start_gateway()
        limits = gateway.settings.retry_limits
        self.assertLessEqual(await self.fail_requests(gateway, 20), limits.ratio * 20)
        self.store.faults.refused_prefix = None
        await self.wait_until(lambda: gateway.mirror.complete)
        self.assertGreater(await self.fail_requests(gateway, 5), 0)

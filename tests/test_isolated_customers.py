"""Tests that what a customer's requests made is never used across its isolation."""

import asyncio
import random
import unittest

from cassiaford.gateway import Configuration, Customer
from standins.platform_worker import Behaviour
from tests.platform_case import MODEL, PlatformCase, configuration

SEEDS = 60
NAMES = ("council", "press", "ward", "office")
KEYS = {name: f"key-of-{name}" for name in NAMES}


def with_isolated(version, isolated, names=NAMES):
    """Return a configuration with these customers, some of them isolated."""
    customers = {name: Customer(name, isolated=name in isolated) for name in names}
    return Configuration(version, (), {}, customers)


def tenants(isolated):
    """Return the customers in the operators' format."""
    return [
        {
            "Name": name,
            "ApiKeys": [key],
            "Unit": "tokens",
            "Isolated": name in isolated,
        }
        for name, key in KEYS.items()
    ]


class ScopeTest(unittest.TestCase):
    """The scope of a customer's cached prefixes in each configuration."""

    def scope(self, isolated, name):
        current = with_isolated(1, isolated)
        return current.cache_scope(current.customers[name])

    def test_customers_that_are_not_isolated_share(self):
        self.assertEqual(
            self.scope({"council"}, "press"), self.scope({"council"}, "ward")
        )

    def test_what_a_customer_made_before_its_isolation_is_shared_no_more(self):
        self.assertNotEqual(self.scope((), "press"), self.scope({"council"}, "press"))

    def test_the_change_back_and_again_keeps_what_was_made_meanwhile_apart(self):
        made = self.scope((), "council")
        self.assertNotEqual(self.scope({"council"}, "press"), made)
        self.assertNotEqual(self.scope({"council", "ward"}, "press"), made)

    def test_a_scope_depends_on_nothing_but_who_is_isolated(self):
        # Instances that restart, or that skip versions, find the same prefixes.
        first = with_isolated(1, {"council", "ward"})
        later = with_isolated(9, {"ward", "council"}, reversed(NAMES))
        for name in NAMES:
            self.assertEqual(
                first.cache_scope(first.customers[name]),
                later.cache_scope(later.customers[name]),
            )

    def test_a_customer_named_like_a_shared_scope_shares_nothing(self):
        shared = self.scope({"council"}, "press")
        for name in (shared, "/", shared.strip("/")):
            current = with_isolated(1, {name}, (*NAMES, name))
            own = current.cache_scope(current.customers[name])
            self.assertNotEqual(own, shared)
            self.assertNotEqual(own, self.scope((), "press"))

    def test_the_present_configuration_decides_not_that_of_the_request_s_arrival(self):
        arrived = with_isolated(1, ()).customers["council"]
        current = with_isolated(2, {"council"})
        own = current.cache_scope(current.customers["council"])
        self.assertEqual(current.cache_scope(arrived), own)

    def test_a_customer_that_was_removed_shares_nothing(self):
        current = with_isolated(2, (), ("press", "ward"))
        gone = current.cache_scope(Customer("council"))
        self.assertNotEqual(gone, current.cache_scope(current.customers["press"]))


class ScheduleTest(unittest.TestCase):
    """Random isolations and changes back, at instances of which some lag behind."""

    def test_no_prefix_passes_to_or_from_an_isolated_customer(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def play(self, rng):
        versions = [with_isolated(1, ())]
        # Engines and the store for prefixes find a part only in its scope.
        made_by = {}
        for _ in range(200):
            if rng.random() < 0.1:
                isolated = rng.sample(NAMES, rng.randrange(len(NAMES)))
                versions.append(with_isolated(len(versions) + 1, isolated))
            if rng.random() < 0.05:
                made_by = {k: m for k, m in made_by.items() if rng.random() < 0.5}
            current = versions[-1]
            in_force = rng.choice(versions[-3:])
            name = rng.choice(NAMES)
            scope = in_force.cache_scope(in_force.customers[name])
            maker = made_by.setdefault(scope, name)
            if in_force is current and maker != name:
                self.assertFalse(current.customers[name].isolated)
                self.assertFalse(current.customers[maker].isolated)


class GatewayTest(PlatformCase):
    """What engines are told by instances."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.configure(1, ())
        self.engine = await self.start_worker("i-0", "engine")
        self.first = await self.start_gateway("entry-1")
        self.second = await self.start_gateway("entry-2")

    async def configure(self, version, isolated):
        """Write a version of the configuration, and wait until it is in force."""
        document = configuration(version, Tenants=tenants(isolated))
        await self.store.put("op/config", document)
        for gateway in self.gateways:
            await self.wait_until(
                lambda g=gateway: g.view.configuration.version == version
            )

    async def scope(self, gateway, name):
        """Send a customer's prompt; return the scope that its engine was given."""
        response = await self.call_engine(gateway, X_Key=KEYS[name])
        self.assertEqual(response.status, 200)
        return self.engine.calls[-1].headers["x-cache-salt"]

    async def test_parts_from_before_an_isolation_are_found_by_nobody_else(self):
        made = {await self.scope(g, "council") for g in (self.first, self.second)}
        await self.configure(2, {"council"})
        own = await self.scope(self.first, "council")
        shared = {await self.scope(g, "press") for g in (self.first, self.second)}
        self.assertEqual(len(shared), 1)
        self.assertFalse(shared & {*made, own})

    async def test_a_restarted_instance_shares_what_the_others_share(self):
        await self.configure(2, {"council"})
        shared = await self.scope(self.first, "press")
        third = await self.start_gateway("entry-3")
        self.assertEqual(await self.scope(third, "press"), shared)

    async def test_the_change_back_shares_nothing_that_was_made_while_isolated(self):
        await self.configure(2, {"council"})
        own = await self.scope(self.first, "council")
        await self.configure(3, ())
        self.assertNotEqual(await self.scope(self.first, "press"), own)
        self.assertNotEqual(await self.scope(self.second, "council"), own)

    async def test_a_request_that_is_sent_again_after_the_change_keeps_to_it(self):
        self.engine.behaviours = [Behaviour.QUEUE]
        call = self.call_engine(self.first, X_Key=KEYS["council"])
        waiting = asyncio.create_task(call)
        await self.wait_until(lambda: self.engine.queued)
        await self.configure(2, {"council"})
        other = await self.start_worker("i-1", "engine")
        await self.wait_until(lambda: len(self.first.view.engines_of(MODEL)) == 2)
        # An order throws back what has not begun.
        self.engine.ordered.set()
        self.assertEqual((await waiting).status, 200)
        self.assertEqual(other.calls[-1].headers["x-cache-salt"], "council/1")

    async def test_an_isolated_customer_shares_nothing_with_unknown_weights(self):
        self.engine.versions = {}
        await self.register(self.engine)
        await self.configure(2, {"council"})
        for gateway in self.gateways:
            await self.wait_until(lambda g=gateway: not g.view.engines_of(MODEL))
        own = await self.scope(self.first, "council")
        response = await self.call_engine(self.first, X_Key=KEYS["press"])
        self.assertEqual(response.status, 200)
        shared = self.engine.calls[-1].headers.get("x-cache-salt", "")
        self.assertNotEqual(own, shared)


if __name__ == "__main__":
    unittest.main()

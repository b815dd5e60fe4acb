"""Tests of gateways whose store comes back from an older copy of itself."""

from tests.platform_case import MODEL, PlatformCase, configuration


class RestoredStoreTest(PlatformCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.store.put("op/config", configuration(1))
        self.worker = await self.start_worker("i-0", "engine")
        self.gateway = await self.start_gateway()
        await self.wait_until(lambda: self.gateway.registration.registered)

    async def forget(self, copy, documents=()):
        """Restore a copy, after more changes that the gateway has seen."""
        for slots in range(5):
            await self.store.put("servers/i-0", {**self.worker.entry(), "Slots": slots})
            await self.store.put(f"op/version/{MODEL}", {"Model": MODEL, "Version": 1})
        newest = self.store.revision
        await self.wait_until(
            lambda: (
                self.gateway.mirror.revisions["servers/"] >= newest - 1
                and self.gateway.mirror.revisions["op/"] >= newest
            )
        )
        await self.store.restore(copy, documents)

    def slots(self):
        """Return the slots of each server that the gateway knows."""
        servers = self.gateway.view.servers.get("engine", {})
        return [server.slots for server in servers.values()]

    async def test_what_is_written_again_at_a_lower_revision_is_applied(self):
        await self.forget(self.store.copy())
        await self.store.put("servers/i-0", {**self.worker.entry(), "Slots": 9})
        await self.wait_until(lambda: self.slots() == [9])

    async def test_changes_at_revisions_that_were_used_before_are_not_missed(self):
        copy = self.store.copy()
        others = [(f"other/{number}", {}) for number in range(20)]
        await self.forget(copy, [("op/config", configuration(2)), *others])
        self.assertGreater(self.store.revision, self.gateway.mirror.revisions["op/"])
        await self.wait_until(lambda: self.gateway.view.configuration.version == 2)

    async def test_an_instance_registers_again_though_its_lease_is_given_out_again(
        self,
    ):
        key = "cassiaford/instances/entry-1"
        copy = self.store.copy()
        await self.store.expire_lease(self.gateway.registration.lease)
        await self.wait_until(
            lambda: key in self.store.items and self.gateway.registration.registered
        )
        lost_lease = self.gateway.registration.lease
        del copy[0][key], copy[1][min(copy[1])]
        await self.store.restore(copy)
        while await self.gateway.adapter.store.grant_lease(60.0) < lost_lease:
            pass
        await self.wait_until(lambda: key in self.store.items)

    async def test_fencing_tokens_rise_though_revisions_go_back(self):
        copy = self.store.copy()
        await self.store.put(f"op/version/{MODEL}", {"Model": MODEL, "Version": 2})
        await self.wait_until(lambda: len(self.worker.orders) == 1)
        await self.register(self.worker)
        await self.store.restore(copy)
        await self.store.put(f"op/version/{MODEL}", {"Model": MODEL, "Version": 3})
        await self.register(self.worker)
        await self.wait_until(lambda: len(self.worker.orders) == 2)
        tokens = [order["FencingToken"] for order in self.worker.orders]
        self.assertLess(tokens[0], tokens[1])

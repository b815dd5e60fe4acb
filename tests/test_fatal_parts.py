"""Tests of parts of prompts that crash the servers that answer on them."""

import asyncio
import itertools

from cassiaford.gateway._crashes import PARTS_NAME
from tests.platform_case import MODEL
from tests.test_fatal_requests import SUSPECTS_PREFIX, FatalRequestCase

# The users' bounds: the crashes until a part is known, and the sends after that.
MAX_CRASHES = 5
MAX_LATER_SENDS = 3
# Of the platform's store.
MAX_KEY_BYTES = 200
SYSTEM = "5c1e07a2"
FATAL = "dead0001"
# An engine reads a prompt before it begins an answer.
PREFILL_S = 0.06


class FatalPartCase(FatalRequestCase):
    """Runs engines that crash when they begin an answer on a fatal part."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.numbers = itertools.count(1)

    async def start_engines(self, *fatal, count=6):
        """Start engines that the given parts crash."""
        await self.start_fragile_workers("engine", count)
        for worker in self.workers.values():
            worker.fatal_parts = frozenset(fatal)
            worker.prefill_s = PREFILL_S

    async def ask(self, gateway, *parts):
        """Send a request whose path, body and last part nobody else has."""
        number = next(self.numbers)
        prefix = ",".join(f"{part}:100" for part in (*parts, f"{number:08x}"))
        return await self.call(
            gateway,
            f"/ask/{number}",
            body=b"%d" % number,
            X_Model=MODEL,
            X_Token_Count="1200,10",
            X_Prompt_Prefix=prefix,
        )

    async def ask_fatal(self, gateway, *parts, recovered=True):
        """Send a request with the fatal part."""
        response = await self.ask(gateway, SYSTEM, *parts, FATAL)
        self.assertGreaterEqual(response.status, 500)
        if recovered:
            await self.wait_until_recovered()
        return response

    async def crash_until_refused(self, gateways):
        """Send fatal requests until one of them reaches no server."""
        for gateway in (gateways * MAX_CRASHES)[: MAX_CRASHES + 1]:
            before = self.runs
            await self.ask_fatal(gateway)
            if self.runs == before:
                return
        self.fail("the fatal part is never refused")

    def stored_groups(self):
        """Return the keys of the groups of parts in the store."""
        prefix = SUSPECTS_PREFIX + PARTS_NAME
        return [key for key in self.store.items if key.startswith(prefix)]

    @property
    def runs(self):
        """The number of requests that all workers have begun to run."""
        return sum(len(worker.ran) for worker in self.workers.values())


class FleetTest(FatalPartCase):
    async def test_requests_that_share_a_fatal_part_are_refused_though_none_is_alike(
        self,
    ):
        await self.start_engines(FATAL)
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(3)]
        for number, gateway in enumerate(gateways * 4):
            await self.ask_fatal(gateway, f"b00c{number % 2:04x}")
            for part in ("b00c0000", "b00c0001"):
                response = await self.ask(gateway, SYSTEM, part)
                self.assertEqual((response.status, response.complete), (200, True))
        self.assertLessEqual(self.crashes, MAX_CRASHES)
        runs = self.runs
        for gateway in gateways:
            await self.ask_fatal(gateway)
        self.assertEqual(self.runs, runs)

    async def test_a_fatal_part_is_refused_with_any_other_part_and_customer(self):
        await self.start_engines(FATAL)
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(2)]
        await self.crash_until_refused(gateways)
        runs = self.runs
        for gateway in gateways:
            for part in ("b00c0007", "b00c0008"):
                await self.ask_fatal(gateway, part)
        self.assertEqual(self.runs, runs)
        self.assertLessEqual(self.crashes, MAX_CRASHES)

    async def test_two_fatal_parts_at_the_same_time_are_both_refused(self):
        await self.start_engines(FATAL, "dead0002", count=8)
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(3)]
        for gateway in gateways * 4:
            await asyncio.gather(
                self.ask(gateway, SYSTEM, FATAL),
                self.ask(gateway, SYSTEM, "dead0002"),
                self.ask(gateway, SYSTEM, "b00c0001"),
            )
            await self.wait_until_recovered()
        self.assertLessEqual(self.crashes, 2 * MAX_CRASHES)
        runs = self.runs
        for gateway in gateways:
            response = await self.ask(gateway, SYSTEM, "b00c0001")
            self.assertEqual(response.status, 200)
            await self.ask(gateway, SYSTEM, "dead0002")
            await self.ask(gateway, SYSTEM, FATAL)
        self.assertEqual(self.runs, runs + len(gateways))


class StoredNameTest(FatalPartCase):
    async def test_a_group_too_large_for_a_key_is_not_stored(self):
        await self.start_engines(FATAL, count=1)
        gateway = await self.start_gateway()
        gateway.crashes.tracker.parts.refuse(frozenset(range(20)))
        gateway.crashes._report_new_groups()
        gateway.crashes.tracker.parts.refuse(frozenset(range(3)))
        gateway.crashes._report_new_groups()
        await self.wait_until(self.stored_suspects)
        self.assertLessEqual(max(map(len, self.store.items)), MAX_KEY_BYTES)
        self.assertEqual(len(self.stored_suspects()), 1)


class RestartTest(FatalPartCase):
    async def test_a_restart_of_all_instances_does_not_forget_a_fatal_part(self):
        await self.start_engines(FATAL)
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(2)]
        await self.crash_until_refused(gateways)
        await self.wait_until(self.stored_groups)
        for gateway in gateways:
            await self.kill_gateway(gateway)
        restarted = await self.start_gateway("entry-7")
        runs = self.runs
        await self.ask_fatal(restarted, "b00c0009")
        self.assertEqual(self.runs, runs)

    async def test_a_restart_while_the_store_is_down_learns_parts_from_peers(self):
        await self.start_engines(FATAL)
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(2)]
        await self.crash_until_refused(gateways)
        self.store.faults.refuse = True
        await self.kill_gateway(gateways[0])
        restarted = await self.start_gateway("entry-0", ready=False)
        # Registering it with its peer stands in for the entry that it can't write.
        gateways[1].table.register(restarted.state, gateways[1].loop.time())
        await self.wait_until(lambda: restarted.ready)
        await self.wait_until(lambda: restarted.crashes.refused_count)
        runs = self.runs
        await self.ask_fatal(restarted, recovered=False)
        self.assertEqual(self.runs, runs)

    async def test_a_store_that_lost_the_record_of_a_part_gets_it_again(self):
        await self.start_engines(FATAL)
        gateway = await self.start_gateway()
        copy = self.store.copy()
        await self.crash_until_refused([gateway])
        await self.wait_until(self.stored_groups)
        await self.store.restore(copy)
        await self.wait_until(self.stored_groups)


class CutTest(FatalPartCase):
    async def test_instances_cut_off_from_each_other_share_parts_by_the_store(self):
        await self.start_engines(FATAL, count=8)
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(3)]
        for gateway in gateways:
            gateway.peers.datagram_received = lambda data, addr: None
        for gateway in gateways * 3:
            await self.ask_fatal(gateway)
        self.assertLessEqual(self.crashes, MAX_CRASHES + len(gateways) - 1)
        runs = self.runs
        for gateway in gateways:
            await self.ask_fatal(gateway)
        self.assertEqual(self.runs, runs)


class SoundPartTest(FatalPartCase):
    async def test_parts_beside_a_fatal_one_in_the_same_requests_stay_in_use(self):
        await self.start_engines(FATAL)
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(2)]
        # Every fatal request has this part too, and no sound one has come yet.
        for gateway in gateways * 4:
            await self.ask_fatal(gateway, "b00c0005")
        self.assertLessEqual(self.crashes, MAX_CRASHES)
        for gateway in gateways:
            response = await self.ask(gateway, SYSTEM, "b00c0005")
            self.assertEqual(response.status, 200)
        runs = self.runs
        for gateway in gateways:
            await self.ask_fatal(gateway)
        self.assertLessEqual(self.runs, runs + MAX_LATER_SENDS)

    async def test_sound_requests_on_the_crashed_engines_are_not_refused(self):
        await self.start_engines(FATAL)
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(3)]
        for number, gateway in enumerate(gateways * 3):
            sound = [
                asyncio.create_task(self.ask_twice(peer, f"b00c{n % 4:04x}"))
                for n, peer in enumerate(gateways * 4)
            ]
            await asyncio.sleep(0.02)
            await self.ask_fatal(gateway, f"b00c{number % 4:04x}", recovered=False)
            for response in await asyncio.gather(*sound):
                self.assertEqual((response.status, response.complete), (200, True))
            await self.wait_until_recovered()
        self.assertLessEqual(self.crashes, MAX_CRASHES)

    async def ask_twice(self, gateway, part):
        """Send a sound request as a caller that retries a failed one once."""
        response = await self.ask(gateway, SYSTEM, part)
        if response.status != 200 or not response.complete:
            response = await self.ask(gateway, SYSTEM, part)
        return response

"""Parts that a tenant made before it was isolated are used by other tenants."""

import asyncio
import pathlib

from review.engine import MODEL, Engine
from review.fleet import (
    BOUNDS,
    CannotRunError,
    Fleet,
    call,
    configuration,
    new_attempt,
    route,
    run_case,
)
from review.store import Store

RECORD = pathlib.Path(__file__).with_name("record.txt")
CALM_S = BOUNDS["ContactMs"] / 1000 + 0.5
APPLIED_S = BOUNDS["ConfigApplyMs"] / 1000 + 1.0
HEARTBEAT_S = 1.2
KEYS = {"council": "key-of-council", "press": "key-of-press"}
# The tenant that becomes isolated.
ISOLATED = "council"
# The parts that prompts share, and the tokens of each prompt.
SHARED_PARTS = "5c1e07a2:800,91bd3f06:410"
PROMPT_TOKENS = 1460


def operators_configuration(version, isolated):
    """Return a configuration in which a tenant is isolated or not."""
    return configuration(
        version,
        Routes=[
            route("ask", "streaming", Service="engine", Resumable=True, Sticky=True)
        ],
        Services=[
            {
                "Name": "engine",
                "MaxConnections": 230,
                "Engine": {
                    "Slots": 32,
                    "KvCapacityTokens": 224892,
                    "KvTokenBytes": 131072,
                    "LinkMbps": 260000.0,
                    "Models": [{"Name": MODEL}],
                },
            }
        ],
        Tenants=[
            {
                "Name": name,
                "ApiKeys": [key],
                "Unit": "tokens",
                "PlainTokens": 200,
                "Isolated": isolated and name == ISOLATED,
                "RatePerS": 200000,
                "Burst": 200000,
            }
            for name, key in KEYS.items()
        ],
    )


class Case:
    """A store, an engine and two instances."""

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.engine = Engine("i-engine")
        self.prompts = 0

    async def run(self, trouble):
        """Return whether the rule was broken."""
        await self.store.start()
        await self.engine.start()
        await self.store.put("op/config", operators_configuration(1, False))
        await self.store.put(f"op/version/{MODEL}", {"Model": MODEL, "Version": 1})
        beats = asyncio.create_task(self.run_heartbeats())
        try:
            async with Fleet(self.store.address, 2) as fleet:
                await asyncio.sleep(CALM_S)
                for instance in fleet.instances:
                    await self.ask(instance, ISOLATED)
                if trouble:
                    document = operators_configuration(2, True)
                    await self.store.put("op/config", document)
                    self.record.write(f"version 2: {ISOLATED} is isolated from now on")
                await asyncio.sleep(APPLIED_S)
                used_before = len(self.engine.uses)
                for instance in fleet.instances:
                    await self.ask(instance, ISOLATED)
                    await self.ask(instance, "press")
        finally:
            beats.cancel()
            await self.engine.stop()
            await self.store.stop()
        self.record.write_requests((self.engine,))
        isolated = {ISOLATED} if trouble else set()
        return self.judge(self.engine.uses[used_before:], isolated)

    def judge(self, uses, isolated):
        """Return whether a part passed between tenants of which one is isolated."""
        broken = False
        for use in uses:
            pair = {use.tenant, use.made_by}
            foreign = len(pair) == 2 and bool(pair & isolated)
            broken = broken or foreign
            self.record.write(
                f"request {use.attempt} of {use.tenant} used part {use.part_id} that"
                f" {use.made_by} had made, salt {use.scope!r}"
                f"{': NOT ALLOWED' if foreign else ''}"
            )
        return broken

    async def ask(self, instance, tenant):
        """Send a prompt of a tenant, with its own last part."""
        self.prompts += 1
        attempt = new_attempt()
        self.record.record_sent(attempt, f"{instance.name} by {tenant}")
        answer = await call(
            instance.front,
            "POST",
            "/ask/1",
            b"{}",
            attempt,
            headers={
                "X-Key": KEYS[tenant],
                "X-Model": MODEL,
                "X-Token-Count": f"{PROMPT_TOKENS},80",
                "X-Prompt-Prefix": f"{SHARED_PARTS},{self.prompts:08x}:250",
            },
        )
        outcome = f"{answer.status} with {len(answer.body)} bytes"
        self.record.record_answered(attempt, outcome)
        if answer.status != 200 or not answer.complete:
            raise CannotRunError("a request was not served")

    async def run_heartbeats(self):
        """Write the engine's entry at its intervals until cancelled."""
        while True:
            key = f"servers/{self.engine.server_id}"
            await self.store.put(key, self.engine.entry())
            await asyncio.sleep(HEARTBEAT_S)


async def run(record, trouble):
    """Run the case."""
    return await Case(record).run(trouble)


if __name__ == "__main__":
    run_case(run, RECORD)

"""A worker that has left gets requests for as long as watches are cut."""

import asyncio
import pathlib
import time

from review.fleet import (
    BOUNDS,
    HEARTBEAT_S,
    Fleet,
    call,
    configuration,
    new_attempt,
    run_case,
)
from review.store import Store
from review.worker import Worker

RECORD = pathlib.Path(__file__).with_name("record.txt")
DRAIN_S = BOUNDS["DrainMs"] / 1000
# The store cuts the watches that wait once a second, from before a worker leaves;
# times are in seconds after that.
CUTS_AT_S = tuple(number - 4.05 for number in range(10))
EXITS_AT_S = 6.0
END_AT_S = 8.0
CALM_S = 4.0
# As many as the front machines of dobrescu-train.
INSTANCES = 6
REQUEST_INTERVAL_S = 0.02


class Case:
    """A store, two workers and six instances."""

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.steady = Worker("i-steady", work_s=0.2)
        self.gone = Worker("i-gone", work_s=0.2)
        self.beating = {self.steady, self.gone}
        self.answers: dict[str, str] = {}
        self.tasks: set[asyncio.Task] = set()

    async def run(self, trouble):
        """Return whether the rule was broken."""
        for server in (self.store, self.steady, self.gone):
            await server.start()
        await self.store.put("op/config", configuration())
        background = [
            asyncio.create_task(self.run_heartbeats()),
            asyncio.create_task(self.store.expire()),
        ]
        async with Fleet(self.store.address, INSTANCES) as fleet:
            background.append(asyncio.create_task(self.send_requests(fleet)))
            await asyncio.sleep(CALM_S)
            broken = await self.leave(trouble)
            for task in background:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            for instance in fleet.instances:
                self.record_log(instance)
        self.record.write_requests((self.steady, self.gone))
        values = list(self.answers.values())
        counts = {value: values.count(value) for value in sorted(set(values))}
        self.record.write(f"answers: {counts}")
        return broken

    async def leave(self, trouble):
        """Let a worker leave; return whether it got requests too late."""
        zero_at = time.monotonic() - min(CUTS_AT_S)
        cuts = asyncio.create_task(self.cut_watches(zero_at)) if trouble else None
        await asyncio.sleep(zero_at - time.monotonic())
        self.beating.discard(self.gone)
        await self.store.remove(f"servers/{self.gone.server_id}")
        left_at = time.monotonic()
        self.record.write("acknowledged: i-gone is gone")
        await asyncio.sleep(zero_at + EXITS_AT_S - time.monotonic())
        running = sorted(self.gone.arrivals.keys() - self.gone.finished.keys())
        await self.gone.stop()
        self.record.write(
            f"i-gone exits; it was running {len(running)} requests {running}"
        )
        await asyncio.sleep(zero_at + END_AT_S - time.monotonic())
        if cuts is not None:
            await cuts
        times = sorted(at - left_at for at in self.gone.arrivals.values())
        late = [at for at in times if at > DRAIN_S]
        span = f", {late[0]:.3f} to {late[-1]:.3f} s after it" if late else ""
        self.record.write(
            f"i-gone: {sum(0 < at <= DRAIN_S for at in times)} requests within"
            f" {DRAIN_S} s of the acknowledgement, {len(late)} later{span}"
        )
        return bool(late)

    async def cut_watches(self, zero_at):
        """Cut the watches that wait, at the times of the case."""
        for at_s in CUTS_AT_S:
            await asyncio.sleep(zero_at + at_s - time.monotonic())
            self.record.write(f"the store cuts watches: {self.store.cut_watches()}")

    async def run_heartbeats(self):
        """Write the entries of the workers that belong, until cancelled."""
        while True:
            for worker in self.beating:
                await self.store.put(f"servers/{worker.server_id}", worker.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def send_requests(self, fleet):
        """Send bookings to the instances by turns until cancelled."""
        turn = 0
        while True:
            instance = fleet.instances[turn % len(fleet.instances)]
            turn += 1
            task = asyncio.create_task(self.send_request(instance))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def send_request(self, instance):
        """Send one booking and record its outcome."""
        attempt = new_attempt()
        self.record.record_sent(attempt, instance.name)
        try:
            answer = await call(instance.front, "POST", "/book/1", b"{}", attempt)
            outcome = str(answer.status) if answer.complete else "cut"
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            outcome = type(error).__name__
        self.answers[attempt] = outcome
        self.record.record_answered(attempt, outcome)

    def record_log(self, instance):
        """Copy what an instance logged of the worker's entry."""
        for line in instance.log_text().splitlines():
            if "servers/i-gone" in line:
                self.record.write(f"log of {instance.name}: {line}")


async def run(record, trouble):
    """Run the case."""
    return await Case(record).run(trouble)


if __name__ == "__main__":
    run_case(run, RECORD)

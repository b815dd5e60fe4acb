"""The event loop that carries every answer, on one thread.

One loop serves all streams: a thread for each stream fills a core at a few
hundred streams, and a loop also lets one sweep check every time limit.
"""

import asyncio
import functools
import socket
import sys
import threading
from collections.abc import Callable, Iterable

from cassiaford.pipeline._exchange import Exchange
from cassiaford.pipeline._job import Job
from cassiaford.pipeline._limits import ExchangeLimits
from cassiaford.pipeline._owner import ExchangeOwner
from cassiaford.verdict import Refusal

MAX_SWEEP_INTERVAL_S = 0.25
SWEEPS_PER_SILENCE_TIMEOUT = 4
# When the loop stops, callers have this time to read the end of their answer.
CLOSE_TIMEOUT_S = 0.5
CLOSE_INTERVAL_S = 0.005
SWITCH_INTERVAL_S = 0.0005


class Relay:
    """Runs exchanges on its own thread; the methods may be called from any."""

    def __init__(self, owner: ExchangeOwner, limits: ExchangeLimits):
        self.owner = owner
        self.limits = limits
        self.loop = asyncio.new_event_loop()
        self.exchanges = {}
        self.sweep_interval_s = min(
            MAX_SWEEP_INTERVAL_S,
            limits.silence_timeout_s / SWEEPS_PER_SILENCE_TIMEOUT,
        )
        self.thread = threading.Thread(target=self._run, name="relay", daemon=True)

    def start(self) -> None:
        """Start the thread.

        This sets the interpreter's switch interval for the whole process. Each
        `send` gives up the interpreter lock, and a busy thread gives it back
        only after that interval: at Python's 5 ms a token waits behind others.
        """
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        self.thread.start()

    def stop(self, timeout_s: float) -> None:
        """Stop the thread; exchanges that are left are closed."""
        if self.thread.is_alive():
            self.loop.call_soon_threadsafe(self.loop.stop)
            self.thread.join(timeout_s)

    def watch(self, job: Job) -> None:
        """Watch the caller of a job that has to wait."""
        self._post(job, "watch")

    def attach(self, job: Job, sock: socket.socket) -> None:
        """Give a job the connection on which its request was sent."""
        self._post(job, "attach", sock)

    def attempt_failed(self, job: Job, failure: object) -> None:
        """Tell a job that its request could not be sent."""
        self._post(job, "when_open", "attempt_failed", failure)

    def refuse(self, job: Job, refusal: Refusal) -> None:
        """Answer a job with a refusal."""
        self._post(job, "when_open", "refuse", refusal)

    def end(self, job: Job, refusal: Refusal) -> None:
        """Refuse a job, or break off an answer that has begun."""
        self._post(job, "when_open", "end_with", refusal)

    def drop(self, job: Job) -> None:
        """End a job whose caller has left before it was sent."""
        self._post(job, "when_open", "drop")

    def cut(self, jobs: Iterable[Job], timeout_s: float) -> int:
        """End jobs at once and return how many that cut."""
        return self._call(functools.partial(self._cut, tuple(jobs)), timeout_s)

    def _run(self):
        asyncio.set_event_loop(self.loop)
        self.loop.set_exception_handler(self._report_fault)
        self.loop.call_soon(self._sweep)
        self.loop.run_forever()
        self._close_loop()

    def _close_loop(self):
        self._cut(tuple(self.exchanges))
        give_up_at = self.loop.time() + CLOSE_TIMEOUT_S
        while self.exchanges and self.loop.time() < give_up_at:
            self.loop.run_until_complete(asyncio.sleep(CLOSE_INTERVAL_S))
        for exchange in self.exchanges.values():
            exchange.caller.abort()
        # Another turn of the loop closes the sockets.
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    def _exchange(self, job):
        """Return a job's exchange, begun at its first use; None if it is over."""
        if job not in self.exchanges and not job.opened:
            job.opened = True
            exchange = Exchange(job, self.owner, self.loop, self.limits)
            self.exchanges[job] = exchange
            exchange.open()
        return self.exchanges.get(job)

    def forget(self, job: Job) -> None:
        """Drop a job whose caller's connection is closed; loop thread only."""
        exchange = self.exchanges.get(job)
        if exchange is not None and exchange.settled:
            del self.exchanges[job]

    def _post(self, job, method, *arguments):
        try:
            self.loop.call_soon_threadsafe(self._deliver, job, method, arguments)
        except RuntimeError:
            # The loop has stopped and ended every exchange.
            _close_sockets(arguments)

    def _deliver(self, job, method, arguments):
        exchange = self._exchange(job)
        if exchange is None:
            _close_sockets(arguments)
            return
        getattr(exchange, method)(*arguments)

    def _cut(self, jobs):
        exchanges = [self._exchange(job) for job in jobs]
        return sum(exchange.cut() for exchange in exchanges if exchange is not None)

    def _sweep(self):
        self.loop.call_later(self.sweep_interval_s, self._sweep)
        now = self.owner.clock()
        for exchange in tuple(self.exchanges.values()):
            exchange.sweep(now)

    def _report_fault(self, loop, context):
        """Record what went wrong in a callback; the loop goes on."""
        error = context.get("exception")
        if not isinstance(error, OSError):
            self.owner.fault(error)

    def _call(self, function: Callable, timeout_s):
        """Run a function in the loop and return its result."""

        async def run():
            return function()

        return asyncio.run_coroutine_threadsafe(run(), self.loop).result(timeout_s)


def _close_sockets(arguments):
    for argument in arguments:
        if isinstance(argument, socket.socket):
            argument.close()

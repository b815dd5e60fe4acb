"""The event loop that relays all responses, on one thread.

One loop serves all streams: with a thread for each, a few hundred streams use a
whole core. The loop also checks all timeouts in one periodic task.
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
# When the loop stops, callers have this time to read the rest of their response.
CLOSE_TIMEOUT_S = 0.5
CLOSE_CHECK_INTERVAL_S = 0.005
SWITCH_INTERVAL_S = 0.0005


class Relay:
    """Runs exchanges on its own thread; its public methods are thread-safe."""

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
        `send` releases the interpreter lock, and a busy thread that takes it
        holds it for that interval: Python's default of 5 ms delays tokens.
        """
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        self.thread.start()

    def stop(self, timeout_s: float) -> None:
        """Stop the thread and abort the remaining exchanges."""
        if self.thread.is_alive():
            self.loop.call_soon_threadsafe(self.loop.stop)
            self.thread.join(timeout_s)

    def watch(self, job: Job) -> None:
        """Detect from now on whether the caller of a queued job disconnects."""
        self._post(job, "watch")

    def attach(self, job: Job, sock: socket.socket) -> None:
        """Attach the connection on which a job's request was sent."""
        self._post(job, "attach", sock)

    def attempt_failed(self, job: Job, failure: object) -> None:
        """Report to a job that its request could not be sent."""
        self._post(job, "when_open", "attempt_failed", failure)

    def refuse(self, job: Job, refusal: Refusal) -> None:
        """Refuse a job."""
        self._post(job, "when_open", "refuse", refusal)

    def end(self, job: Job, refusal: Refusal) -> None:
        """Refuse a job, or truncate its response if that has started."""
        self._post(job, "when_open", "end_with", refusal)

    def drop(self, job: Job) -> None:
        """Finalize a job whose caller disconnected before it was sent."""
        self._post(job, "when_open", "drop")

    def abort(self, jobs: Iterable[Job], timeout_s: float) -> int:
        """Abort jobs and return how many responses were cut off."""
        return self._run_in_loop(
            functools.partial(self._abort_all, tuple(jobs)), timeout_s
        )

    def _run(self):
        asyncio.set_event_loop(self.loop)
        self.loop.set_exception_handler(self._report_fault)
        self.loop.call_soon(self._sweep)
        self.loop.run_forever()
        self._close_loop()

    def _close_loop(self):
        self._abort_all(tuple(self.exchanges))
        deadline = self.loop.time() + CLOSE_TIMEOUT_S
        while self.exchanges and self.loop.time() < deadline:
            self.loop.run_until_complete(asyncio.sleep(CLOSE_CHECK_INTERVAL_S))
        for exchange in self.exchanges.values():
            exchange.caller.abort()
        # Another iteration of the loop closes the sockets.
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    def _exchange(self, job):
        """Return a job's exchange, created at its first use; None if it has ended."""
        if job not in self.exchanges and not job.has_exchange:
            job.has_exchange = True
            exchange = Exchange(job, self.owner, self.loop, self.limits)
            self.exchanges[job] = exchange
            exchange.open()
        return self.exchanges.get(job)

    def remove(self, job: Job) -> None:
        """Remove a job whose caller's connection is closed; loop thread only."""
        exchange = self.exchanges.get(job)
        if exchange is not None and exchange.finalized:
            del self.exchanges[job]

    def _post(self, job, method, *arguments):
        try:
            self.loop.call_soon_threadsafe(self._deliver, job, method, arguments)
        except RuntimeError:
            # The loop has stopped and aborted every exchange.
            _close_sockets(arguments)

    def _deliver(self, job, method, arguments):
        exchange = self._exchange(job)
        if exchange is None:
            _close_sockets(arguments)
            return
        getattr(exchange, method)(*arguments)

    def _abort_all(self, jobs):
        exchanges = [self._exchange(job) for job in jobs]
        return sum(exchange.abort() for exchange in exchanges if exchange is not None)

    def _sweep(self):
        self.loop.call_later(self.sweep_interval_s, self._sweep)
        now = self.owner.clock()
        for exchange in tuple(self.exchanges.values()):
            exchange.check_timeouts(now)

    def _report_fault(self, loop, context):
        """Record an exception in a callback; the loop continues."""
        error = context.get("exception")
        if not isinstance(error, OSError):
            self.owner.record_fault(error)

    def _run_in_loop(self, function: Callable, timeout_s):
        """Run a function in the loop and return its result."""

        async def run():
            return function()

        return asyncio.run_coroutine_threadsafe(run(), self.loop).result(timeout_s)


def _close_sockets(arguments):
    for argument in arguments:
        if isinstance(argument, socket.socket):
            argument.close()

"""Polling of the engines for their load and cache events."""

import random
import threading
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from cassiaford.config import Configuration, ServerKind, ServerState
from cassiaford.engines._protocol import (
    CacheEvents,
    EngineControl,
    EngineError,
    LoadReport,
)
from cassiaford.logs import Event
from cassiaford.timeline import Journal, Subject

# Engines that responded to the last poll are polled by other threads than those
# that did not, so that unreachable engines cannot delay the others.
REACHABLE_THREADS = 16
UNREACHABLE_THREADS = 4
# With many engines, each is polled less often to stay within this rate.
MAX_POLLS_PER_S = 10.0
# Each delay varies by this fraction, which spreads polls of engines that joined at
# the same moment.
JITTER_FRACTION = 0.2
# Number of checks for due engines in each polling interval.
TICKS_PER_INTERVAL = 4
MAX_TICK_S = 0.5
# Maximum delay between polls of an engine that does not respond.
MAX_BACKOFF_S = 5.0
# Sequence number that requests all of an engine's cache events.
BEFORE_FIRST_SEQUENCE = 0


class EngineObserver(ABC):
    """Receives the reports of engines, identified by their server's name."""

    @abstractmethod
    def observe_load(self, server: str, report: LoadReport) -> None:
        """Process a load report."""

    @abstractmethod
    def observe_events(self, server: str, events: CacheEvents) -> None:
        """Process cache events."""

    @abstractmethod
    def remove_server(self, server: str) -> None:
        """Discard the state of an engine that left or restarted."""


def create_poller(
    configuration: Callable[[], Configuration],
    control: EngineControl,
    observer: EngineObserver,
    journal: Journal,
    interval_s: float,
) -> "EnginePoller":
    """Return a poller of the joined engines, not yet started."""
    return EnginePoller(configuration, control, observer, journal, interval_s)


class EnginePoller:
    """Polls the joined engines on a few threads.

    An engine that does not respond blocks a thread for one timeout; from then
    on it is polled by other threads than the engines that do respond. All of
    these threads call the observer, but never two at once for one engine.
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        control: EngineControl,
        observer: EngineObserver,
        journal: Journal,
        interval_s: float,
    ):
        self.configuration = configuration
        self.control = control
        self.observer = observer
        self.journal = journal
        self.interval_s = interval_s
        self.polls: dict[str, _EnginePoll] = {}
        self.stopping = threading.Event()
        self.reachable = ThreadPoolExecutor(REACHABLE_THREADS, "engine-poll")
        self.unreachable = ThreadPoolExecutor(UNREACHABLE_THREADS, "engine-probe")
        self.thread = threading.Thread(
            target=self._run, name="engine-poller", daemon=True
        )

    def start(self) -> None:
        """Start polling."""
        self.thread.start()

    def stop(self) -> None:
        """Stop polling; calls in progress are left to time out."""
        self.stopping.set()
        if self.thread.ident is not None:
            self.thread.join()
        for threads in (self.reachable, self.unreachable):
            threads.shutdown(wait=False, cancel_futures=True)

    def poll_interval_s(self) -> float:
        """Return the current time between two polls of a reachable engine."""
        return max(self.interval_s, len(self.polls) / MAX_POLLS_PER_S)

    def _run(self):
        while not self.stopping.is_set():
            try:
                self._update_engines()
                self._submit_due()
            except Exception as error:
                self.journal.record(Event.BACKGROUND_TASK_FAILED, error=repr(error))
            tick_s = self.poll_interval_s() / TICKS_PER_INTERVAL
            self.stopping.wait(min(MAX_TICK_S, tick_s))

    def _update_engines(self):
        addresses = _joined_engines(self.configuration())
        for name in addresses.keys() - self.polls.keys():
            self.polls[name] = _EnginePoll(self, name)
        for name, poll in tuple(self.polls.items()):
            poll.desired_address = addresses.get(name)
            if poll.finished:
                del self.polls[name]

    def _submit_due(self):
        now = time.monotonic()
        for poll in self.polls.values():
            if poll.is_due(now):
                poll.in_flight = True
                threads = self.reachable if poll.reachable else self.unreachable
                threads.submit(poll.run)


class _EnginePoll:
    """The polling of one engine.

    `address` is where the engine was polled last, or None while the observer
    has no state of it. `desired_address` is None once the engine has left.
    """

    def __init__(self, poller: EnginePoller, server: str):
        self.poller = poller
        self.server = server
        self.address: str | None = None
        self.desired_address: str | None = None
        self.incarnation: str | None = None
        self.after = BEFORE_FIRST_SEQUENCE
        self.reachable = True
        self.in_flight = False
        self.delay_s = 0.0
        self.due_at = 0.0

    @property
    def finished(self) -> bool:
        """Whether the engine has left and its state is discarded."""
        gone = self.address is None and self.desired_address is None
        return gone and not self.in_flight

    def is_due(self, now: float) -> bool:
        """Return whether to poll now; a change of address is always due."""
        if self.in_flight:
            return False
        return now >= self.due_at or self.address != self.desired_address

    def run(self) -> None:
        """Poll once and schedule the next poll."""
        try:
            self._update_address()
            if self.address is not None:
                self._poll()
        except Exception as error:
            # An exception in an observer must not end the polling.
            self._record(Event.BACKGROUND_TASK_FAILED, error=repr(error))
        jitter = random.uniform(1.0 - JITTER_FRACTION, 1.0 + JITTER_FRACTION)
        self.due_at = time.monotonic() + self.delay_s * jitter
        self.in_flight = False

    def _update_address(self):
        desired = self.desired_address
        if self.address not in (None, desired):
            self.poller.observer.remove_server(self.server)
            self._reset(None)
        self.address = desired

    def _poll(self):
        try:
            report = self.poller.control.load(self.address)
            self._check_incarnation(report.incarnation)
            events = self.poller.control.cache_events(self.address, self.after)
        except EngineError as error:
            self._record_failure(error)
            return
        self._record_success()
        self.poller.observer.observe_load(self.server, report)
        if events.incarnation == self.incarnation:
            self.after = events.next_sequence - 1
            self.poller.observer.observe_events(self.server, events)
        else:
            # The engine restarted between the two calls, so these events were
            # requested by a sequence number of its previous incarnation.
            self._check_incarnation(events.incarnation)

    def _check_incarnation(self, incarnation):
        if incarnation == self.incarnation:
            return
        if self.incarnation is not None:
            self._record(Event.ENGINE_RESTARTED, incarnation=incarnation)
            self.poller.observer.remove_server(self.server)
        self._reset(incarnation)

    def _reset(self, incarnation):
        self.incarnation = incarnation
        self.after = BEFORE_FIRST_SEQUENCE

    def _record_failure(self, error):
        if self.reachable:
            self._record(Event.ENGINE_UNREACHABLE, error=error)
        self.reachable = False
        doubled_s = 2 * max(self.delay_s, self.poller.interval_s)
        self.delay_s = min(MAX_BACKOFF_S, doubled_s)

    def _record_success(self):
        if not self.reachable:
            self._record(Event.ENGINE_REACHABLE)
        self.reachable = True
        self.delay_s = self.poller.poll_interval_s()

    def _record(self, event, **details):
        self.poller.journal.record(event, Subject(server=self.server), **details)


def _joined_engines(configuration):
    return {
        server.name: server.address
        for server in configuration.servers.values()
        if server.kind is ServerKind.ENGINE and server.state is ServerState.JOINED
    }

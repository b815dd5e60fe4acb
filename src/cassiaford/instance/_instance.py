"""An entry instance: creates, starts and stops all of its components."""

import random
import threading
import time

from cassiaford.engines import create_engine_control, create_poller
from cassiaford.fleet import (
    SentPromptExchange,
    create_claim_registry,
    create_fleet,
    create_order_runner,
    create_rate_limiter,
    create_suspect_registry,
)
from cassiaford.instance._acceptance import Acceptor
from cassiaford.instance._crashes import CrashMonitor
from cassiaford.instance._handler import RequestHandler
from cassiaford.instance._http import CallerServer
from cassiaford.instance._local import InstanceView, LocalEndpoints
from cassiaford.keyvalue import connect_instance_list, connect_key_value
from cassiaford.logs import Event
from cassiaford.metrics import Metrics
from cassiaford.pipeline import (
    AdmitFilter,
    AuthenticateFilter,
    ReceiveFilter,
    create_dispatcher,
)
from cassiaford.pipeline._finalize import RequestFinalizer
from cassiaford.policy import create_fair_queue, create_placement
from cassiaford.settings import Settings
from cassiaford.timeline import HybridClock, Journal

POLL_INTERVAL_S = 0.5
POLL_TIMEOUT_S = 1.0
READY_CHECK_INTERVAL_S = 0.02
# The readiness check waits no longer for the other holders of rate shares: one
# that is gone never replies, and one that has just started makes contact again
# after a membership period.
MAX_SHARES_WAIT_S = 1.5
STOP_TIMEOUT_S = 5.0


class Instance(InstanceView):
    """An entry instance.

    `start` returns once the instance is ready to serve. `drain` is the graceful
    shutdown, which returns the number of requests that it had to abort.
    """

    def __init__(self, settings: Settings, incarnation: int):
        self.settings = settings
        self.incarnation = incarnation
        clock = HybridClock(time.time)
        self.journal = Journal(settings.instance, incarnation, clock)
        self.metrics = Metrics()
        self.stopping = threading.Event()
        self.is_ready = False
        self.is_draining = False
        self._open_lock = threading.Lock()
        self._create_fleet()
        self._create_dispatcher()
        self._create_server()

    @property
    def configuration(self):
        """The current configuration."""
        return self.fleet.configuration.current

    @property
    def ready(self):
        """Whether the instance accepts requests."""
        return self.is_ready

    @property
    def draining(self):
        """Whether a graceful shutdown was started."""
        return self.is_draining

    @property
    def in_flight(self):
        """The number of accepted requests that have not ended."""
        return self.dispatcher.in_flight

    def members(self):
        """Return the live members of the fleet, this instance first."""
        return self.fleet.members()

    def entries(self, customer, data_centre):
        """Return the entry instances for a customer, best first."""
        return self.fleet.entry_instances(customer, data_centre)

    def start(self) -> None:
        """Start all components; return when the instance is ready to serve."""
        self.journal.record(Event.INSTANCE_STARTED, incarnation=self.incarnation)
        self.fleet.start()
        self.limiter.start()
        self.suspects.start()
        self.sent_prompts.start()
        self.dispatcher.start()
        self.poller.start()
        self.orders.start()
        self._wait_until_ready()
        # A graceful shutdown may have started before the port was opened.
        with self._open_lock:
            if not self.is_draining and not self.stopping.is_set():
                self._open()

    def drain(self) -> int:
        """Leave the fleet, finish accepted requests, and stop.

        Callers may use a lookup result until its maximum age, so new requests
        are served for that long after this instance has left the fleet.
        """
        with self._open_lock:
            self.is_draining = True
        self.journal.record(Event.DRAIN_STARTED, in_flight=self.in_flight)
        self.server.draining = True
        self.fleet.leave()
        self.stopping.wait(self.settings.limits.lookup_max_age_s)
        self.server.stop_serving()
        aborted = self.dispatcher.drain(self.settings.limits.drain_timeout_s)
        self.stop()
        event = Event.DRAIN_CUT_SHORT if aborted else Event.DRAIN_FINISHED
        self.journal.record(event, cut=aborted)
        return aborted

    def abort_drain(self) -> None:
        """End a graceful shutdown early by aborting the remaining requests."""
        self.stopping.set()
        self.dispatcher.abort_drain()

    def stop(self) -> None:
        """Stop all components and abort the remaining requests.

        Each component is stopped even if others fail to. Raises `ExceptionGroup`
        with the errors of those that failed.
        """
        self.stopping.set()
        steps = (
            self.server.stop_serving,
            self.orders.stop,
            self.poller.stop,
            lambda: self.dispatcher.stop(STOP_TIMEOUT_S),
            lambda: self.claims.stop(STOP_TIMEOUT_S),
            self.limiter.leave,
            self.limiter.stop,
            self.suspects.stop,
            self.fleet.stop,
        )
        errors = [error for step in steps if (error := _error_of(step))]
        if errors:
            raise ExceptionGroup("components failed to stop", errors)

    def _open(self):
        self.server.start_serving()
        self.is_ready = True
        self.fleet.announce_ready()
        self.journal.record(Event.INSTANCE_READY, address=self.settings.http.address)

    def _create_fleet(self):
        settings = self.settings
        key_value = connect_key_value(settings.key_value)
        self.fleet = create_fleet(
            settings,
            key_value,
            connect_instance_list(settings.key_value),
            self.journal,
            self.incarnation,
            time.monotonic,
        )
        self.claims = create_claim_registry(
            key_value,
            self.journal,
            settings.instance,
            self.incarnation,
            transport=self.fleet.transport,
        )
        self.suspects = create_suspect_registry(
            self.fleet.transport, self.journal, settings.instance
        )
        self.limiter = create_rate_limiter(
            key_value,
            self.fleet.transport,
            self.journal,
            settings.instance,
            self.incarnation,
        )
        self.orders = create_order_runner(
            settings.orders,
            key_value,
            create_engine_control(POLL_TIMEOUT_S),
            self.fleet,
            self.journal,
            settings.instance,
        )
        self.fleet.configuration.on_change(self._on_configuration_changed)
        self.fleet.on_departure(self.claims.mark_gone)
        self.fleet.on_departure(self.limiter.mark_gone)

    def _create_dispatcher(self):
        settings = self.settings
        self.crashes = CrashMonitor(self.suspects)
        self.dispatcher = create_dispatcher(
            settings.limits,
            self._current_configuration,
            create_placement(),
            self.journal,
            random.Random(f"{settings.instance}/{self.incarnation}/dispatch"),
            suspects=self.crashes,
            queue=create_fair_queue(settings.limits.queue_length),
            versions=self.orders,
        )
        self.sent_prompts = SentPromptExchange(
            self.fleet.transport, self.journal, settings.instance
        )
        self.sent_prompts.on_peer_prompt = self.dispatcher.observe_peer_prompt
        self.dispatcher.waiting.on_sent = self.sent_prompts.broadcast
        self.crashes.observer = self.dispatcher
        self.orders.observer = self.crashes
        self.poller = create_poller(
            self._current_configuration,
            create_engine_control(POLL_TIMEOUT_S),
            self.orders,
            self.journal,
            POLL_INTERVAL_S,
        )
        self.orders.poll_interval_s = self.poller.poll_interval_s

    def _create_server(self):
        settings = self.settings
        finalizer = RequestFinalizer(
            self.limiter, self.metrics, self.journal, self.crashes.record_completion
        )
        authenticate = AuthenticateFilter(self._current_configuration, self._is_fresh)
        local = LocalEndpoints(
            self,
            authenticate,
            self.metrics,
            self.journal,
            settings.control.token.get_secret_value(),
            settings.limits.lookup_max_age_s,
        )
        handler = RequestHandler(
            ReceiveFilter(),
            local,
            (
                authenticate,
                AdmitFilter(self._current_configuration, self.limiter, settings.limits),
            ),
            Acceptor(self.claims, self.dispatcher, finalizer).accept,
            finalizer,
            self.metrics,
            self.journal,
        )
        self.server = CallerServer(
            settings.http, handler.handle, self._record_server_error
        )

    def _current_configuration(self):
        return self.fleet.configuration.current

    def _is_fresh(self):
        return self.fleet.configuration.is_fresh(time.monotonic())

    def _on_configuration_changed(self, old, new):
        self.journal.revision = new.revision
        self.limiter.configure(new)

    def _wait_until_ready(self):
        while not self.fleet.configuration.is_ready() and not self.stopping.is_set():
            self.stopping.wait(READY_CHECK_INTERVAL_S)
        # Until the other holders of rate shares are connected, a request would
        # be refused although its customer has tokens.
        deadline = time.monotonic() + MAX_SHARES_WAIT_S
        while not self.limiter.is_connected() and time.monotonic() < deadline:
            if self.stopping.wait(READY_CHECK_INTERVAL_S):
                return

    def _record_server_error(self, text):
        self.journal.record(Event.BACKGROUND_TASK_FAILED, part="http", text=text)


def _error_of(step):
    """Return the exception that a step raises, or None."""
    try:
        step()
    except Exception as error:
        return error
    return None


def create_instance(settings: Settings) -> Instance:
    """Return an instance with these settings, not yet started.

    The incarnation is the time of creation in milliseconds, so that it is
    higher than that of any earlier process.
    """
    return Instance(settings, int(time.time() * 1000))

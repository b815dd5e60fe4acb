"""One entry instance: its parts wired together, started and stopped."""

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
READY_CHECK_S = 0.02
# A holder that is gone never answers; readiness does not wait longer for it.
# One that started just before calls again after a period of membership.
SHARES_WAIT_S = 1.5
STOP_TIMEOUT_S = 5.0


class Instance(InstanceView):
    """An entry instance.

    `start` returns once the instance is ready to serve; `drain` is the
    graceful shutdown and returns the number of requests that it had to cut.
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
        self._opening = threading.Lock()
        self._create_fleet()
        self._create_dispatch()
        self._create_front()

    @property
    def configuration(self):
        """The configuration in force."""
        return self.fleet.configuration.current

    @property
    def ready(self):
        """Whether the instance takes requests."""
        return self.is_ready

    @property
    def draining(self):
        """Whether a graceful shutdown has started."""
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
        """Start all parts; return when the instance is ready to serve."""
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
        with self._opening:
            if not self.is_draining and not self.stopping.is_set():
                self._open()

    def drain(self) -> int:
        """Leave the fleet, finish accepted requests, and stop.

        Callers may use an answer of the lookup until its age limit, so new
        requests are served for that long after this instance left it.
        """
        with self._opening:
            self.is_draining = True
        self.journal.record(Event.DRAIN_STARTED, in_flight=self.in_flight)
        self.server.draining = True
        self.fleet.leave()
        self.stopping.wait(self.settings.limits.lookup_max_age_s)
        self.server.stop_serving()
        cut = self.dispatcher.drain(self.settings.limits.drain_timeout_s)
        self.stop()
        event = Event.DRAIN_CUT_SHORT if cut else Event.DRAIN_FINISHED
        self.journal.record(event, cut=cut)
        return cut

    def abort_drain(self) -> None:
        """End the wait of a graceful shutdown, cutting what still runs."""
        self.stopping.set()
        self.dispatcher.abort_drain()

    def stop(self) -> None:
        """Stop all parts; what is still running is cut.

        Every part is stopped, whatever the others do. Raises `ExceptionGroup`
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
            raise ExceptionGroup("parts that failed to stop", errors)

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
        self.fleet.configuration.on_change(self._configuration_changed)
        self.fleet.on_departure(self.claims.mark_gone)
        self.fleet.on_departure(self.limiter.mark_gone)

    def _create_dispatch(self):
        settings = self.settings
        self.crashes = CrashMonitor(self.suspects)
        self.dispatcher = create_dispatcher(
            settings.limits,
            self._current,
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
            self._current,
            create_engine_control(POLL_TIMEOUT_S),
            self.orders,
            self.journal,
            POLL_INTERVAL_S,
        )
        self.orders.poll_interval_s = self.poller.poll_interval_s

    def _create_front(self):
        settings = self.settings
        settler = RequestFinalizer(
            self.limiter, self.metrics, self.journal, self.crashes.record_completion
        )
        authenticate = AuthenticateFilter(self._current, self._is_fresh)
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
            (authenticate, AdmitFilter(self._current, self.limiter, settings.limits)),
            Acceptor(self.claims, self.dispatcher, settler).accept,
            settler,
            self.metrics,
            self.journal,
        )
        self.server = CallerServer(settings.http, handler.handle, self._server_failed)

    def _current(self):
        return self.fleet.configuration.current

    def _is_fresh(self):
        return self.fleet.configuration.is_fresh(time.monotonic())

    def _configuration_changed(self, old, new):
        self.journal.revision = new.revision
        self.limiter.configure(new)

    def _wait_until_ready(self):
        while not self.fleet.configuration.is_ready() and not self.stopping.is_set():
            self.stopping.wait(READY_CHECK_S)
        # A request that comes before the other holders of rate shares are
        # known would be refused, though its customer has tokens.
        patience = time.monotonic() + SHARES_WAIT_S
        while not self.limiter.is_connected() and time.monotonic() < patience:
            if self.stopping.wait(READY_CHECK_S):
                return

    def _server_failed(self, text):
        self.journal.record(Event.BACKGROUND_TASK_FAILED, part="http", text=text)


def _error_of(step):
    """Return the error that a step raises, or None."""
    try:
        step()
    except Exception as error:
        return error
    return None


def create_instance(settings: Settings) -> Instance:
    """Return an instance with these settings, not yet started.

    The incarnation is the time of creation in milliseconds, so that it is
    higher than any before it.
    """
    return Instance(settings, int(time.time() * 1000))

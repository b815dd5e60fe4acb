"""Orders to engines to load the model versions that the configuration names."""

import secrets
import threading
import time
from collections.abc import Callable

from pydantic import TypeAdapter, ValidationError

from cassiaford.config import Configuration, Model
from cassiaford.engines import (
    CacheEvents,
    EngineControl,
    EngineError,
    EngineObserver,
    LoadReport,
    Order,
    OrderAction,
)
from cassiaford.fleet._fleet import Fleet
from cassiaford.keyvalue import (
    Entry,
    KeyValueError,
    KeyValueService,
    OutcomeUnknownError,
    UnavailableError,
)
from cassiaford.logs import Event
from cassiaford.pipeline import ServedVersions
from cassiaford.policy import (
    DesiredVersion,
    Load,
    LoadTable,
    Orderer,
    OrderLimits,
    SendOrder,
    WriteTable,
)
from cassiaford.settings import OrderSettings
from cassiaford.timeline import Journal, Subject

TABLE_KEY = "orders/loads"
# While orders are pending, an instance with loads of its own reads the table at
# each tick; the others less often, to keep the fleet below `MAX_READS_PER_S`.
TICK_INTERVAL_S = 0.5
MAX_READS_PER_S = 100.0
# Limit on changes of the table between two reads of it.
MAX_WRITES_PER_TICK = 4
STOP_TIMEOUT_S = 5.0

_TABLE = TypeAdapter(LoadTable)


class OrderRunner(ServedVersions, EngineObserver):
    """Runs an `Orderer` against the key-value service and the engines.

    It is part of the chain of observers, from which it receives the models that
    each engine has loaded. After its first read of the table, it calls the
    service and the engines only while orders are pending or an engine differs
    from the configuration.
    """

    def __init__(
        self,
        orderer: Orderer,
        key_value: KeyValueService,
        control: EngineControl,
        fleet: Fleet,
        journal: Journal,
        clock: Callable[[], float],
    ):
        self.orderer = orderer
        self.key_value = key_value
        self.control = control
        self.fleet = fleet
        self.journal = journal
        self.clock = clock
        self.observer: EngineObserver | None = None
        self.poll_interval_s: Callable[[], float] = lambda: TICK_INTERVAL_S
        self.configuration: Configuration | None = None
        self.table_version = 0
        self.read_due_at = 0.0
        self.suspended = False
        self.withheld: set[DesiredVersion] = set()
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="orders", daemon=True)

    def start(self) -> None:
        """Start sending the orders that the configuration requires."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and let another instance take over its loads."""
        self._stopped.set()
        if not self._thread.is_alive():
            return
        self._thread.join(STOP_TIMEOUT_S)
        with self._lock:
            table = self.orderer.leave()
        if table is None:
            return
        try:
            self._swap(table)
        except KeyValueError:
            # Other instances take over once this one is no longer a member.
            return

    def is_serving(self, server: str, model: str) -> bool:
        """Return whether an engine can serve requests for a model now."""
        # Called for every server at each placement, so it takes no lock: the
        # state that it reads is replaced as a whole and never changed.
        return self.orderer.is_serving(server, model)

    def is_current(self, server: str, model: Model) -> bool:
        """Return whether an engine is confirmed to run exactly this version."""
        now = self.clock()
        configuration = self.fleet.configuration.current
        desired = configuration.models.get(model.name)
        if desired is None or desired.version != model.version:
            return False
        with self._lock:
            return self.orderer.is_current(server, model.name, model.version, now)

    def observe_load(self, server: str, report: LoadReport) -> None:
        """Record which models an engine has loaded and pass the report on."""
        with self._lock:
            self.orderer.record_report(server, dict(report.models), self.clock())
        if self.observer is not None:
            self.observer.observe_load(server, report)

    def observe_events(self, server: str, events: CacheEvents) -> None:
        """Pass cache events on."""
        self.observer.observe_events(server, events)

    def remove_server(self, server: str) -> None:
        """Remove the state of an engine, and pass the call on."""
        with self._lock:
            self.orderer.remove_server(server)
        self.observer.remove_server(server)

    def tick(self) -> None:
        """Read the table and perform the steps that are due now."""
        self._follow_configuration()
        now = self.clock()
        with self._lock:
            if not self.orderer.has_work(now):
                return
        if now < self.read_due_at and not self.orderer.own_loads():
            return
        interval_s = max(TICK_INTERVAL_S, len(self.fleet.members()) / MAX_READS_PER_S)
        self.read_due_at = now + interval_s - TICK_INTERVAL_S / 2
        try:
            self._read_table()
            self._poll_ordered_engines()
            self._perform_steps()
        except OutcomeUnknownError:
            # The next read of the table will show whether the write took effect.
            return
        except UnavailableError as error:
            if not self.suspended:
                self.journal.record(Event.ORDERS_SUSPENDED, error=error)
            self.suspended = True

    def _run(self):
        while not self._stopped.wait(TICK_INTERVAL_S):
            try:
                self.tick()
            except Exception as error:
                self.journal.record(Event.BACKGROUND_TASK_FAILED, error=repr(error))

    def _follow_configuration(self):
        configuration = self.fleet.configuration.current
        with self._lock:
            # The poll interval grows with the number of engines.
            self.orderer.report_interval_s = self.poll_interval_s()
            if configuration is not self.configuration:
                self.orderer.configure(_desired_versions(configuration), self.clock())
                self.configuration = configuration

    def _read_table(self):
        started_at = self.clock()
        entry = self.key_value.get(TABLE_KEY)
        self._apply_entry(entry, started_at)
        if self.suspended:
            self.journal.record(Event.ORDERS_RESUMED)
        self.suspended = False

    def _apply_entry(self, entry: Entry, started_at: float):
        table = _decode_table(entry.value)
        with self._lock:
            self.table_version = entry.version
            self.orderer.apply_table(table, started_at)

    def _poll_ordered_engines(self):
        """Poll the engines with loads that this instance ordered."""
        for load in self.orderer.own_loads():
            self._poll_engine(load.server)

    def _poll_engine(self, server):
        server_entry = self.configuration.servers.get(server)
        if server_entry is None:
            return
        try:
            report = self.control.load(server_entry.address)
        except EngineError:
            return
        with self._lock:
            self.orderer.record_report(server, dict(report.models), self.clock())

    def _perform_steps(self):
        live = [m.instance for m in self.fleet.members() if not m.leaving]
        self._record_withheld(live)
        for _ in range(MAX_WRITES_PER_TICK):
            with self._lock:
                actions = self.orderer.step(live, self.clock())
            for action in actions:
                if isinstance(action, SendOrder):
                    self._send_order(action.load)
            writes = [a.table for a in actions if isinstance(a, WriteTable)]
            if not writes or not self._swap(writes[0]):
                return

    def _swap(self, table):
        before, started_at = self.orderer.table, self.clock()
        result = self.key_value.compare_and_swap(
            TABLE_KEY, _TABLE.dump_json(table), self.table_version
        )
        if result.swapped:
            self._record_changes(before, table)
        self._apply_entry(result.entry, started_at)
        return result.swapped

    def _send_order(self, load: Load):
        server = self.configuration.servers.get(load.server)
        if server is None:
            return
        order = Order(
            load.order_id,
            load.fencing,
            OrderAction.LOAD_MODEL,
            load.model,
            load.version,
        )
        with self._lock:
            now = self.clock()
            if not self.orderer.may_send(load, now):
                return
            self.orderer.record_order_sent(load, now)
        try:
            response = self.control.order(server.address, order)
        except EngineError as error:
            self._record(Event.ORDER_NOT_ACCEPTED, load, cause=error)
            return
        if not response.accepted:
            self._record(Event.ORDER_NOT_ACCEPTED, load, cause=response.reason)
        with self._lock:
            self.orderer.record_order_reply(load, response.accepted)

    def _record_changes(self, before, after):
        earlier = {load.order_id for load in before.loads}
        remaining = {load.order_id for load in after.loads}
        for load in after.loads:
            if load.order_id not in earlier:
                self._record(Event.LOAD_ORDERED, load)
        for load in before.loads:
            if load.order_id not in remaining:
                done = self.orderer.is_done(load)
                self._record(
                    Event.LOAD_FINISHED if done else Event.LOAD_ABANDONED, load
                )

    def _record_withheld(self, live):
        with self._lock:
            withheld = set(self.orderer.withheld(live, self.clock()))
        for desired in withheld - self.withheld:
            self._record(Event.LAST_SERVER_KEPT, desired)
        self.withheld = withheld

    def _record(self, event, load: Load | DesiredVersion, **details):
        self.journal.record(
            event,
            Subject(server=load.server),
            model=load.model,
            version=load.version,
            **details,
        )


def create_order_runner(
    settings: OrderSettings,
    key_value: KeyValueService,
    control: EngineControl,
    fleet: Fleet,
    journal: Journal,
    instance: str,
    clock: Callable[[], float] = time.monotonic,
) -> OrderRunner:
    """Return the order runner of an instance, not yet started."""
    limits = OrderLimits(
        settings.loads_at_once,
        settings.lease_s,
        settings.order_flight_s,
        settings.load_timeout_s,
        settings.settle_s,
    )
    orderer = Orderer(instance, f"{instance}/{secrets.token_hex(8)}", limits)
    return OrderRunner(orderer, key_value, control, fleet, journal, clock)


def _desired_versions(configuration):
    return [
        DesiredVersion(server.name, model.name, model.version, server.checks_fencing)
        for model in configuration.models.values()
        for server in configuration.engines_for(model.name)
    ]


def _decode_table(value):
    if value is None:
        return LoadTable()
    try:
        return _TABLE.validate_json(value)
    except ValidationError as error:
        raise UnavailableError("the table of loads cannot be decoded") from error

"""Giving engines the orders to load the weights that the configuration names."""

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
# While there is something to order, the table is read this often by its
# holders, and by the others so that the whole fleet makes no more reads a
# second than `MAX_READS_PER_S`.
TICK_S = 0.5
MAX_READS_PER_S = 100.0
# So many changes of the table are made between two reads of it.
WRITES_A_TICK = 4
STOP_TIMEOUT_S = 5.0

_TABLE = TypeAdapter(LoadTable)


class OrderRunner(ServedVersions, EngineObserver):
    """Runs an `Orderer` against the key-value service and the engines.

    It stands in the chain of observers to learn what engines have loaded.
    While no engine differs from the configuration it makes no calls.
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
        self.poll_interval_s: Callable[[], float] = lambda: TICK_S
        self.configuration: Configuration | None = None
        self.table_version = 0
        self.read_due_at = 0.0
        self.suspended = False
        self.kept: set[DesiredVersion] = set()
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="orders", daemon=True)

    def start(self) -> None:
        """Begin to give orders where the configuration asks for them."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread, and let another instance take over at once."""
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
            # Others take over once this instance is no longer a member.
            return

    def is_serving(self, server: str, model: str) -> bool:
        """Return whether an engine can take requests for a model now."""
        # Asked for every server at each placement, so without the lock: what
        # is read is replaced as a whole and never changed.
        return self.orderer.is_serving(server, model)

    def is_current(self, server: str, model: Model) -> bool:
        """Return whether an engine surely runs just this version of a model."""
        now = self.clock()
        configuration = self.fleet.configuration.current
        wanted = configuration.models.get(model.name)
        if wanted is None or wanted.version != model.version:
            return False
        with self._lock:
            return self.orderer.is_current(server, model.name, model.version, now)

    def observe_load(self, server: str, report: LoadReport) -> None:
        """Learn what an engine has loaded and pass the report on."""
        with self._lock:
            self.orderer.record_report(server, dict(report.models), self.clock())
        if self.observer is not None:
            self.observer.observe_load(server, report)

    def observe_events(self, server: str, events: CacheEvents) -> None:
        """Pass cache events on."""
        self.observer.observe_events(server, events)

    def forget(self, server: str) -> None:
        """Drop what is believed of an engine, and pass that on."""
        with self._lock:
            self.orderer.remove_server(server)
        self.observer.forget(server)

    def tick(self) -> None:
        """Do what is due now."""
        self._follow_configuration()
        now = self.clock()
        with self._lock:
            if not self.orderer.has_work(now):
                return
        if now < self.read_due_at and not self.orderer.own_loads():
            return
        interval_s = max(TICK_S, len(self.fleet.members()) / MAX_READS_PER_S)
        self.read_due_at = now + interval_s - TICK_S / 2
        try:
            self._read_table()
            self._read_back()
            self._act()
        except OutcomeUnknownError:
            # The next read of the table shows whether the write took effect.
            return
        except UnavailableError as error:
            if not self.suspended:
                self.journal.record(Event.ORDERS_SUSPENDED, error=error)
            self.suspended = True

    def _run(self):
        while not self._stopped.wait(TICK_S):
            try:
                self.tick()
            except Exception as error:
                self.journal.record(Event.BACKGROUND_TASK_FAILED, error=repr(error))

    def _follow_configuration(self):
        configuration = self.fleet.configuration.current
        with self._lock:
            # An engine is polled less often the more of them there are.
            self.orderer.report_interval_s = self.poll_interval_s()
            if configuration is not self.configuration:
                self.orderer.configure(_wants(configuration), self.clock())
                self.configuration = configuration

    def _read_table(self):
        began = self.clock()
        entry = self.key_value.get(TABLE_KEY)
        self._take_entry(entry, began)
        if self.suspended:
            self.journal.record(Event.ORDERS_RESUMED)
        self.suspended = False

    def _take_entry(self, entry: Entry, began: float):
        table = _decode(entry.value)
        with self._lock:
            self.table_version = entry.version
            self.orderer.apply_table(table, began)

    def _read_back(self):
        """Ask the engines that this instance has ordered to load."""
        for load in self.orderer.own_loads():
            self._read_engine(load.server)

    def _read_engine(self, server):
        known = self.configuration.servers.get(server)
        if known is None:
            return
        try:
            report = self.control.load(known.address)
        except EngineError:
            return
        with self._lock:
            self.orderer.record_report(server, dict(report.models), self.clock())

    def _act(self):
        live = [m.instance for m in self.fleet.members() if not m.leaving]
        self._record_kept(live)
        for _ in range(WRITES_A_TICK):
            with self._lock:
                actions = self.orderer.step(live, self.clock())
            for action in actions:
                if isinstance(action, SendOrder):
                    self._give(action.load)
            writes = [a.table for a in actions if isinstance(a, WriteTable)]
            if not writes or not self._swap(writes[0]):
                return

    def _swap(self, table):
        before, began = self.orderer.table, self.clock()
        result = self.key_value.compare_and_swap(
            TABLE_KEY, _TABLE.dump_json(table), self.table_version
        )
        if result.swapped:
            self._record_changes(before, table)
        self._take_entry(result.entry, began)
        return result.swapped

    def _give(self, load: Load):
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
            answer = self.control.order(server.address, order)
        except EngineError as error:
            self._record(Event.ORDER_NOT_ACCEPTED, load, cause=error)
            return
        if not answer.accepted:
            self._record(Event.ORDER_NOT_ACCEPTED, load, cause=answer.reason)
        with self._lock:
            self.orderer.record_order_reply(load, answer.accepted)

    def _record_changes(self, before, after):
        known = {load.order_id for load in before.loads}
        left = {load.order_id for load in after.loads}
        for load in after.loads:
            if load.order_id not in known:
                self._record(Event.LOAD_ORDERED, load)
        for load in before.loads:
            if load.order_id not in left:
                done = self.orderer.is_done(load)
                self._record(
                    Event.LOAD_FINISHED if done else Event.LOAD_ABANDONED, load
                )

    def _record_kept(self, live):
        with self._lock:
            kept = set(self.orderer.withheld(live, self.clock()))
        for want in kept - self.kept:
            self._record(Event.LAST_SERVER_KEPT, want)
        self.kept = kept

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
    """Return an instance's part in giving orders, not yet started."""
    limits = OrderLimits(
        settings.loads_at_once,
        settings.lease_s,
        settings.order_flight_s,
        settings.load_timeout_s,
        settings.settle_s,
    )
    orderer = Orderer(instance, f"{instance}/{secrets.token_hex(8)}", limits)
    return OrderRunner(orderer, key_value, control, fleet, journal, clock)


def _wants(configuration):
    return [
        DesiredVersion(server.name, model.name, model.version, server.checks_fencing)
        for model in configuration.models.values()
        for server in configuration.engines_for(model.name)
    ]


def _decode(value):
    if value is None:
        return LoadTable()
    try:
        return _TABLE.validate_json(value)
    except ValidationError as error:
        raise UnavailableError("the table of loads cannot be read") from error

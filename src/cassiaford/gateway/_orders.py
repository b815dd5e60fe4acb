"""Orders to load new weights, given by the one instance that holds a lease.

The orderer's key is stored under the lease; the fencing token is made of the
store's era and the revision at which it was written, so it rises also when the
store comes back from an older copy. The holder stops before its lease can have
expired, by a clock that also runs while the machine is suspended.
"""

import asyncio
import random
from collections.abc import Callable

from cassiaford.gateway._clocks import boot_time
from cassiaford.gateway._engine_control import (
    EngineCallError,
    EngineControl,
    OrderResponse,
    VersionOrder,
    WrongServerError,
)
from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._mirror import ERA_SHIFT, MirrorSync
from cassiaford.gateway._store import (
    Committed,
    Condition,
    LeaseEndedError,
    SharedStore,
    StoreError,
    Write,
)
from cassiaford.gateway._view import View
from cassiaford.gateway.policy import LoadOrder, Rollout, RolloutServer
from cassiaford.logs import Event

# The lease survives three lost renewals; another instance takes over well
# within the shortest time allowed for a version.
LEASE_S = 2.0
RENEWAL_INTERVAL_S = 0.5
# Identifies these calls in the tracking of the store's reachability.
STORE_CLIENT = "orders"
# The holder stops this long before its lease may have expired.
LEASE_MARGIN_S = 0.5
# Interval at which the holder checks the engines.
STEP_INTERVAL_S = 0.1
# An instance that finds no orderer waits up to this long, so that not all
# instances write at the same time.
MAX_ACQUIRE_DELAY_S = 0.25


class Orderer:
    """Competes for the orderer's lease, and orders engines while it holds it.

    The gateway sets the attributes that are functions: `running_tokens` and
    `unstarted` return the load of an engine, `unreachable` the engines that
    cannot be reached, and `demand` the number of engines that prompts keep busy.
    """

    def __init__(
        self,
        instance: str,
        key: str,
        view: View,
        store: SharedStore,
        control: EngineControl,
        rollout: Rollout,
        rng: random.Random,
        sync: MirrorSync,
        log: EventLog,
    ):
        self.instance = instance
        self.key = key
        self.view = view
        self.store = store
        self.control = control
        self.rollout = rollout
        self.rng = rng
        self.sync = sync
        self.log = log
        self.fencing = 0
        self.key_revision = 0
        self.lease = 0
        self.lease_era = 0
        self.valid_until = 0.0
        self.key_exists = False
        self.stopping = False
        self.running_tokens = lambda key: 0
        self.unstarted = lambda key: 0
        self.unreachable = lambda: frozenset()
        self.demand = lambda now: 0.0
        self.on_out_of_use: Callable[[frozenset[int]], None] = lambda keys: None
        self._reported_out_of_use: frozenset[int] = frozenset()
        self._era = 0
        self._acquire_from = 0.0
        self._order_tasks: dict[int, asyncio.Task] = {}
        self._now = asyncio.get_running_loop().time

    @property
    def holds_lease(self) -> bool:
        """Whether this instance may give orders now."""
        if self.lease_era != self.store.era:
            return False
        return self.fencing > 0 and boot_time() < self.valid_until

    @property
    def out_of_use(self) -> frozenset[int]:
        """The engines that this instance has taken out of use."""
        return frozenset(self.rollout.out_of_use) if self.holds_lease else frozenset()

    def on_key_changed(self, present: bool) -> None:
        """Record whether the orderer's key exists."""
        self.key_exists = present

    async def run(self) -> None:
        """Acquire the lease and give orders until cancelled."""
        while True:
            if self.fencing:
                await self._give_orders()
            elif self._may_acquire_lease() and self._has_work():
                await self._acquire_lease()
            await asyncio.sleep(STEP_INTERVAL_S)

    async def resign(self) -> None:
        """Remove the key, so that another instance can take over immediately."""
        self.stopping = True
        fencing, self.fencing = self.fencing, 0
        if not fencing or self.lease_era != self.store.era:
            return
        try:
            await self.store.remove(self.key, self.key_revision)
        except StoreError as error:
            # The lease expires by itself.
            self.log.write(Event.ORDERS_SUSPENDED, cause=str(error))

    def _servers(self):
        return [
            RolloutServer(
                key, model, version, self.running_tokens(key), self.unstarted(key)
            )
            for model in self.view.named_versions.models
            for key, server in self.view.engines_of(model).items()
            if key not in self.unreachable()
            for version in (server.versions[model],)
        ]

    def _has_work(self):
        return bool(self.rollout.outdated(self._servers()))

    def _may_acquire_lease(self):
        now = boot_time()
        if self.store.era != self._era:
            # A holder of the era before may not have noticed that it ended. An
            # instance that has just started cannot know when that was.
            self._acquire_from = now + LEASE_S
            self._era = self.store.era
        return not self.key_exists and not self.stopping and now >= self._acquire_from

    async def _acquire_lease(self):
        await asyncio.sleep(self.rng.random() * MAX_ACQUIRE_DELAY_S)
        if self.key_exists:
            return
        requested_at = boot_time()
        try:
            lease = await self.store.grant_lease(LEASE_S)
            result = await self._write_key(lease)
        except StoreError as error:
            self.log.write(Event.ORDERS_SUSPENDED, cause=str(error))
            await asyncio.sleep(RENEWAL_INTERVAL_S)
            return
        if result is None:
            return
        self.key_exists = True
        if not isinstance(result, Committed):
            return
        self.lease = lease
        self.lease_era = self._era
        self.key_revision = result.revision
        self.fencing = (self.lease_era << ERA_SHIFT) + result.revision
        self.valid_until = requested_at + LEASE_S - LEASE_MARGIN_S
        self.rollout.turns.clear()
        self.log.write(Event.ORDERS_RESUMED, fencing=self.fencing)

    async def _write_key(self, lease):
        """Write the key; return None if the store's era has risen meanwhile."""
        if self.store.era != self._era:
            return None
        result = await self.store.transact(
            (Condition(self.key, 0),),
            (Write(self.key, self.instance.encode(), lease),),
        )
        if self.store.era == self._era:
            return result
        if isinstance(result, Committed):
            # The lease may be another instance's by now, and keep the key for long.
            await self.store.remove(self.key, result.revision)
        return None

    async def _give_orders(self):
        """Give orders while the lease lasts, and renew it concurrently."""
        renewals = asyncio.create_task(self._renew())
        try:
            while self.holds_lease:
                self._give_due_orders()
                await asyncio.sleep(STEP_INTERVAL_S)
        finally:
            renewals.cancel()
            for task in self._order_tasks.values():
                task.cancel()
            self._order_tasks.clear()
            self.sync.clear_failure(STORE_CLIENT)
        if self.fencing:
            self.log.write(Event.ORDERS_SUSPENDED, cause="lease not renewed")
        self.fencing = 0
        self.rollout.turns.clear()
        self._report_out_of_use()

    async def _renew(self):
        while self.fencing:
            await asyncio.sleep(RENEWAL_INTERVAL_S)
            requested_at = boot_time()
            started_at = self.sync.clock()
            try:
                await self.store.renew_lease(self.lease)
            except LeaseEndedError:
                self.valid_until = 0.0
                return
            except StoreError as error:
                self.sync.record_failure(STORE_CLIENT, error, started_at)
                continue
            self.sync.record_success(STORE_CLIENT)
            self.valid_until = requested_at + LEASE_S - LEASE_MARGIN_S

    def _give_due_orders(self):
        now = self._now()
        orders = self.rollout.plan(self._servers(), now, self.demand(now))
        self._report_out_of_use()
        for order in orders:
            previous = self._order_tasks.get(order.key)
            if previous is None or previous.done():
                task = asyncio.create_task(self._order(order))
                self._order_tasks[order.key] = task

    def _report_out_of_use(self):
        out_of_use = self.out_of_use
        if out_of_use != self._reported_out_of_use:
            self._reported_out_of_use = out_of_use
            self.on_out_of_use(out_of_use)

    async def _order(self, order: LoadOrder):
        server = self.view.engines_of(order.model).get(order.key)
        if server is None:
            return
        try:
            report = await self.control.report(server)
            if report.versions.get(order.model, 0) >= order.version:
                # The engine's entry in the store will follow and end its turn.
                return
            if not self.holds_lease:
                return
            response = await self.control.order(
                server,
                VersionOrder(
                    order.model,
                    order.version,
                    self.instance,
                    self.fencing,
                    report.orders_accepted,
                ),
            )
            self._handle_response(order, server, response)
        except WrongServerError:
            self.view.record_replacement(server)
        except EngineCallError as error:
            self.log.write(
                Event.ORDER_NOT_ACCEPTED, server=server.server_id, cause=str(error)
            )
            self.rollout.record_failed_order(order.key)

    def _handle_response(self, order, server, response):
        if response in (OrderResponse.ACCEPTED, OrderResponse.ALREADY_LOADED):
            event = Event.LOAD_ORDERED
        else:
            event = Event.ORDER_NOT_ACCEPTED
            self.rollout.record_failed_order(order.key)
        if response is OrderResponse.FENCED_OFF:
            self.valid_until = 0.0
        self.log.write(
            event,
            server=server.server_id,
            model=order.model,
            version=order.version,
            fencing=self.fencing,
            answer=response.value,
        )

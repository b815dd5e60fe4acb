"""Orders for new weights, given by one instance that holds a lease for it.

The key of the orderer lies in the store under a lease; the revision at which
it was written is the fencing token. The holder stops before its lease can
have run out, by a clock that also counts while the machine is suspended.
"""

import asyncio
import random
from collections.abc import Callable

from cassiaford.gateway._clocks import suspended_time
from cassiaford.gateway._engine_control import (
    EngineCallError,
    EngineControl,
    OrderResponse,
    VersionOrder,
    WrongServerError,
)
from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._mirror import MirrorSync
from cassiaford.gateway._store import (
    Committed,
    Condition,
    LeaseEndedError,
    SharedStore,
    StoreError,
    Write,
)
from cassiaford.gateway._view import View
from cassiaford.gateway.policy import GiveOrder, Rollout, RollOutServer
from cassiaford.logs import Event

# The lease outlives three lost renewals; a new holder follows a lost one
# well within the shortest time for a version.
LEASE_S = 2.0
RENEW_S = 0.5
# Tells its calls to the store apart from others.
CALLER = "orders"
# The holder stops this long before its lease may have run out.
LEASE_MARGIN_S = 0.5
# How often the holder looks at engines that load.
STEP_S = 0.1
# An instance that finds the key free waits up to this long, so that not all
# write at once.
STAND_SPREAD_S = 0.25


class Orderer:
    """Stands for the orderer's lease, and orders engines while it holds it."""

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
        self.lease = 0
        self.valid_until = 0.0
        self.taken = False
        self.stopping = False
        self.running_tokens = lambda key: 0
        self.unstarted = lambda key: 0
        self.unreachable = lambda: frozenset()
        self.demand = lambda now: 0.0
        self.on_out_of_use: Callable[[frozenset[int]], None] = lambda keys: None
        self._told_held: frozenset[int] = frozenset()
        self._orders: dict[int, asyncio.Task] = {}
        self._now = asyncio.get_running_loop().time

    @property
    def holds(self) -> bool:
        """Whether this instance may give orders now."""
        return self.fencing > 0 and suspended_time() < self.valid_until

    @property
    def held(self) -> frozenset[int]:
        """The engines that this instance has taken out of use."""
        return frozenset(self.rollout.held) if self.holds else frozenset()

    def on_key_changed(self, present: bool) -> None:
        """Take in whether the orderer's key is there."""
        self.taken = present

    async def run(self) -> None:
        """Stand, hold and order until cancelled."""
        while True:
            if self.fencing:
                await self._hold()
            elif not self.taken and not self.stopping and self._work_to_do():
                await self._stand()
            await asyncio.sleep(STEP_S)

    async def resign(self) -> None:
        """Let another instance take over at once."""
        self.stopping = True
        fencing, self.fencing = self.fencing, 0
        if not fencing:
            return
        try:
            await self.store.remove(self.key, fencing)
        except StoreError as error:
            # The lease runs out by itself.
            self.log.write(Event.ORDERS_SUSPENDED, cause=str(error))

    def _servers(self):
        return [
            RollOutServer(
                key, model, version, self.running_tokens(key), self.unstarted(key)
            )
            for model in self.view.named_versions.models
            for key, server in self.view.engines_of(model).items()
            if key not in self.unreachable()
            for version in (server.versions[model],)
        ]

    def _work_to_do(self):
        return bool(self.rollout.behind(self._servers()))

    async def _stand(self):
        await asyncio.sleep(self.rng.random() * STAND_SPREAD_S)
        if self.taken:
            return
        asked_at = suspended_time()
        try:
            lease = await self.store.grant_lease(LEASE_S)
            result = await self.store.transact(
                (Condition(self.key, 0),),
                (Write(self.key, self.instance.encode(), lease),),
            )
        except StoreError as error:
            self.log.write(Event.ORDERS_SUSPENDED, cause=str(error))
            await asyncio.sleep(RENEW_S)
            return
        if not isinstance(result, Committed):
            self.taken = True
            return
        self.taken = True
        self.lease = lease
        self.fencing = result.revision
        self.valid_until = asked_at + LEASE_S - LEASE_MARGIN_S
        self.rollout.turns.clear()
        self.log.write(Event.ORDERS_RESUMED, fencing=self.fencing)

    async def _hold(self):
        """Order while the lease lasts; renewals go on beside the orders."""
        renewals = asyncio.create_task(self._renew())
        try:
            while self.fencing and suspended_time() < self.valid_until:
                self._give_due_orders()
                await asyncio.sleep(STEP_S)
        finally:
            renewals.cancel()
            for task in self._orders.values():
                task.cancel()
            self._orders.clear()
            self.sync.no_longer_calls(CALLER)
        if self.fencing:
            self.log.write(Event.ORDERS_SUSPENDED, cause="lease not renewed")
        self.fencing = 0
        self.rollout.turns.clear()
        self._tell_held()

    async def _renew(self):
        while self.fencing:
            await asyncio.sleep(RENEW_S)
            asked_at = suspended_time()
            try:
                await self.store.renew_lease(self.lease)
            except LeaseEndedError:
                self.valid_until = 0.0
                return
            except StoreError as error:
                self.sync.failed(CALLER, error)
                continue
            self.sync.answered(CALLER)
            self.valid_until = asked_at + LEASE_S - LEASE_MARGIN_S

    def _give_due_orders(self):
        now = self._now()
        orders = self.rollout.plan(self._servers(), now, self.demand(now))
        self._tell_held()
        for order in orders:
            known = self._orders.get(order.key)
            if known is None or known.done():
                task = asyncio.create_task(self._order(order))
                self._orders[order.key] = task

    def _tell_held(self):
        held = self.held
        if held != self._told_held:
            self._told_held = held
            self.on_out_of_use(held)

    async def _order(self, order: GiveOrder):
        server = self.view.engines_of(order.model).get(order.key)
        if server is None:
            return
        try:
            report = await self.control.report(server)
            if report.versions.get(order.model, 0) >= order.version:
                # Its entry in the store, which ends its turn, is on the way.
                return
            if not self.holds:
                return
            answer = await self.control.order(
                server,
                VersionOrder(
                    order.model,
                    order.version,
                    self.instance,
                    self.fencing,
                    report.orders_accepted,
                ),
            )
            self._answered(order, server, answer)
        except WrongServerError:
            self.view.record_replacement(server)
        except EngineCallError as error:
            self.log.write(
                Event.ORDER_NOT_ACCEPTED, server=server.server_id, cause=str(error)
            )
            self.rollout.order_lost(order.key)

    def _answered(self, order, server, answer):
        if answer in (OrderResponse.ACCEPTED, OrderResponse.ALREADY_LOADED):
            event = Event.LOAD_ORDERED
        else:
            event = Event.ORDER_NOT_ACCEPTED
            self.rollout.order_lost(order.key)
        if answer is OrderResponse.FENCED_OFF:
            self.valid_until = 0.0
        self.log.write(
            event,
            server=server.server_id,
            model=order.model,
            version=order.version,
            fencing=self.fencing,
            answer=answer.value,
        )

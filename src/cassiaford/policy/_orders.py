"""Scheduling of the orders to load model weights.

All loads in progress are entries of one table in the key-value service, which
is changed by compare-and-swap. An entry is the lease on its server, a slot of
the weight store, and the carrier of the fencing number; docs/design/orders.md
gives the reasons. An entry keeps its order identifier when another instance
takes it over, so that what both instances send is the same order.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from cassiaford.policy._lookup import choose_instance

# The clocks of two machines may differ in speed by this factor.
MAX_CLOCK_DRIFT = 1.05
# An order without a reply is sent again after this time.
RESEND_INTERVAL_S = 1.0
# An engine that has missed this many reports does not count as serving.
MAX_MISSED_REPORTS = 6


@dataclass(frozen=True)
class OrderLimits:
    """The limits and timeouts of loads; see the settings of the same names."""

    loads_at_once: int
    lease_s: float
    order_flight_s: float
    load_timeout_s: float
    settle_s: float


@dataclass(frozen=True)
class DesiredVersion:
    """The version of a model that a server should run."""

    server: str
    model: str
    version: str
    checks_fencing: bool = False


@dataclass(frozen=True)
class Load:
    """A load in progress; `holder` is the instance that orders it.

    `nonce` is never used twice, so that the holder recognizes its own write if
    the response to it was lost.
    """

    server: str
    model: str
    version: str
    order_id: str
    holder: str
    nonce: str
    fencing: int


@dataclass(frozen=True)
class LoadTable:
    """All loads in progress, and the highest fencing number assigned so far."""

    fencing: int = 0
    loads: tuple[Load, ...] = ()


@dataclass(frozen=True)
class WriteTable:
    """A request to the caller to replace the last read table by this one."""

    table: LoadTable


@dataclass(frozen=True)
class SendOrder:
    """A request to the caller to send an order, if `Orderer.may_send` allows it."""

    load: Load


@dataclass(frozen=True)
class _Report:
    models: Mapping[str, str]
    at: float


class Orderer:
    """One instance's part in ordering loads.

    `instance` is the instance's name. `identity` is unique to the process:
    earlier processes of the same name had other identities.
    """

    def __init__(self, instance: str, identity: str, limits: OrderLimits):
        self.instance = instance
        self.identity = identity
        self.limits = limits
        self.table = LoadTable()
        self.has_table = False
        # When the desired version changed. Removed once the engine reports another
        # version than desired, since by then no older order is in flight.
        self.changed_at: dict[tuple[str, str], float] = {}
        self.report_interval_s = 0.5
        self.desired: dict[tuple[str, str], DesiredVersion] = {}
        self.desired_since: dict[tuple[str, str], float] = {}
        self.reports: dict[str, _Report] = {}
        self.attempts = 0
        # By nonce: when the write that made this instance the holder started.
        self.granted_at: dict[str, float] = {}
        # By order identifier.
        self.first_seen: dict[str, float] = {}
        self.inherited_at: dict[str, float] = {}
        self.sent_at: dict[str, float] = {}
        self.accepted_orders: set[str] = set()
        # By nonce: since when this instance has read the entry unchanged.
        self.unchanged_since: dict[str, float] = {}
        self.retry_at: dict[str, float] = {}

    def configure(self, targets: Sequence[DesiredVersion], now: float) -> None:
        """Set the versions that the joined engines should run."""
        previous = self.desired
        self.desired = {(target.server, target.model): target for target in targets}
        for key, target in self.desired.items():
            old = previous.get(key)
            if old is None or old.version != target.version:
                self.desired_since[key] = now
            if old is not None and old.version != target.version:
                self.changed_at[key] = now
        for times in (self.desired_since, self.changed_at):
            _retain(times, self.desired.keys())

    def record_report(self, server: str, models: Mapping[str, str], now: float) -> None:
        """Record the model versions that an engine reports."""
        self.reports[server] = _Report(dict(models), now)
        for key in tuple(self.changed_at):
            name, model = key
            if name == server and models.get(model) != self.desired[key].version:
                del self.changed_at[key]

    def remove_server(self, server: str) -> None:
        """Remove an engine's report."""
        self.reports.pop(server, None)

    def apply_table(self, table: LoadTable, now: float) -> None:
        """Apply the table as read, or as written successfully."""
        self.table = table
        self.has_table = True
        nonces = {load.nonce for load in table.loads}
        orders = {load.order_id for load in table.loads}
        for load in table.loads:
            self.unchanged_since.setdefault(load.nonce, now)
            self.first_seen.setdefault(load.order_id, now)
        for times in (self.unchanged_since, self.granted_at):
            _retain(times, nonces)
        for times in (self.first_seen, self.inherited_at, self.sent_at):
            _retain(times, orders)
        self.accepted_orders &= orders

    def has_work(self, now: float) -> bool:
        """Return whether the table must be read because orders may be due."""
        if self.table.loads or not self.has_table:
            return True
        return any(self._differs(target, now) for target in self.desired.values())

    def is_serving(self, server: str, model: str) -> bool:
        """Return whether an engine has a model and is not loading it.

        An engine without a report is assumed to serve: it rejects requests that
        it cannot run, and otherwise lost reports would stop all service.
        """
        if self._is_loading(server, model):
            return False
        report = self.reports.get(server)
        return report is None or model in report.models

    def is_current(self, server: str, model: str, version: str, now: float) -> bool:
        """Return whether an engine certainly has this version of a model.

        If it reported the version already before it became the desired one, it
        may still execute an order for a version in between, which an operator
        has just reverted.
        """
        report = self.reports.get(server)
        if report is None or report.models.get(model) != version:
            return False
        if self._is_loading(server, model):
            return False
        limits = self.limits
        changed_at = self.changed_at.get((server, model))
        uncertain_s = limits.lease_s + limits.order_flight_s + limits.load_timeout_s
        return changed_at is None or now >= changed_at + uncertain_s + limits.settle_s

    def own_loads(self) -> tuple[Load, ...]:
        """Return the loads that this instance holds."""
        return tuple(load for load in self.table.loads if self._is_own(load))

    def withheld(self, live: Sequence[str], now: float) -> tuple[DesiredVersion, ...]:
        """Return versions that are not ordered, to spare a model's last server."""
        loading = {load.model for load in self.table.loads}
        return tuple(
            target
            for target in self.desired.values()
            if target.model not in loading
            and self._is_responsible(target.server, live)
            and self._differs(target, now)
            and self.is_last_server(target, now)
        )

    def step(
        self, live: Sequence[str], now: float
    ) -> tuple[WriteTable | SendOrder, ...]:
        """Return the actions that are due; `live` names the live instances."""
        orders = tuple(
            SendOrder(load) for load in self.table.loads if self._is_due(load, now)
        )
        table = self._next_table(live, now)
        return orders if table is None else (*orders, WriteTable(table))

    def leave(self) -> LoadTable | None:
        """Return the table without this instance as a holder, if it is one."""
        if not any(self._is_own(load) for load in self.table.loads):
            return None
        loads = (
            replace(load, holder="") if self._is_own(load) else load
            for load in self.table.loads
        )
        return replace(self.table, loads=tuple(loads))

    def may_send(self, load: Load, now: float) -> bool:
        """Return whether an order may be sent now."""
        granted_at = self.granted_at.get(load.nonce)
        if load not in self.table.loads or granted_at is None:
            return False
        return now < granted_at + self.limits.lease_s and not self.is_done(load)

    def record_order_sent(self, load: Load, now: float) -> None:
        """Record that an order is about to be sent."""
        self.sent_at[load.order_id] = now
        self.accepted_orders.discard(load.order_id)

    def record_order_reply(self, load: Load, accepted: bool) -> None:
        """Record a reply to an order; do not call this for a lost reply."""
        if accepted and load.order_id in self.sent_at:
            self.accepted_orders.add(load.order_id)

    def _is_due(self, load, now):
        if load.order_id in self.accepted_orders or not self.may_send(load, now):
            return False
        sent_at = self.sent_at.get(load.order_id)
        return sent_at is None or now >= sent_at + RESEND_INTERVAL_S

    def _next_table(self, live, now):
        """Return the table after the first change that is due, if any."""
        for load in self.table.loads:
            if self._is_own(load):
                if self._is_finished(load, now):
                    return self._table_without(load, now)
                if now >= self.granted_at[load.nonce] + self.limits.lease_s:
                    return self._with_new_lease(load, now)
            elif self._may_take_over(load, live, now):
                self.inherited_at[load.order_id] = now
                return self._with_new_lease(load, now)
        if len(self.table.loads) >= self.limits.loads_at_once:
            return None
        return self._grant(live, now)

    def _is_own(self, load):
        return load.holder == self.identity and load.nonce in self.granted_at

    def is_done(self, load: Load) -> bool:
        """Return whether the engine's newest report shows the loaded version."""
        report = self.reports.get(load.server)
        return report is not None and report.models.get(load.model) == load.version

    def _is_finished(self, load, now):
        """Return whether an own load has ended and none of its orders is in flight."""
        timeout_at = self.first_seen[load.order_id] + self.limits.load_timeout_s
        if not self.is_done(load) and now < timeout_at:
            return False
        target = self.desired.get((load.server, load.model))
        if target is not None and target.checks_fencing:
            return True
        return now >= self._arrived_by(load)

    def _arrived_by(self, load):
        """Return when all sends of an order have certainly arrived or failed."""
        limits = self.limits
        arrived_by = 0.0
        if load.order_id in self.sent_at and load.order_id not in self.accepted_orders:
            arrived_by = self.sent_at[load.order_id] + limits.order_flight_s
        if load.order_id in self.inherited_at:
            wait_s = (limits.lease_s + limits.order_flight_s) * MAX_CLOCK_DRIFT
            arrived_by = max(arrived_by, self.inherited_at[load.order_id] + wait_s)
        return arrived_by

    def _may_take_over(self, load, live, now):
        if not self._is_responsible(load.server, live):
            return False
        if load.holder.partition("/")[0] not in live:
            return True
        expires_at = (
            self.unchanged_since[load.nonce] + self.limits.lease_s * MAX_CLOCK_DRIFT
        )
        return now >= expires_at

    def _table_without(self, load, now):
        if not self.is_done(load):
            self.retry_at[load.server] = now + self.limits.load_timeout_s
        loads = tuple(other for other in self.table.loads if other != load)
        return replace(self.table, loads=loads)

    def _with_new_lease(self, load, now):
        """Return the table in which this instance holds a load under a new lease."""
        fencing = self.table.fencing + 1
        renewed = replace(
            load, holder=self.identity, nonce=self._new_nonce(now), fencing=fencing
        )
        loads = tuple(renewed if other == load else other for other in self.table.loads)
        return LoadTable(fencing, loads)

    def _grant(self, live, now):
        for target in sorted(self.desired.values(), key=lambda t: (t.server, t.model)):
            if self._may_grant(target, live, now):
                fencing = self.table.fencing + 1
                load = Load(
                    target.server,
                    target.model,
                    target.version,
                    f"load-{fencing}",
                    self.identity,
                    self._new_nonce(now),
                    fencing,
                )
                return LoadTable(fencing, (*self.table.loads, load))
        return None

    def _may_grant(self, target, live, now):
        if not self._is_responsible(target.server, live):
            return False
        settled_at = (
            self.desired_since[(target.server, target.model)] + self.limits.settle_s
        )
        if now < max(settled_at, self.retry_at.get(target.server, 0.0)):
            return False
        if any(load.server == target.server for load in self.table.loads):
            return False
        return self._differs(target, now) and not self.is_last_server(target, now)

    def _is_responsible(self, server, live):
        return bool(live) and choose_instance(server, live) == self.instance

    def _is_loading(self, server, model):
        loads = self.table.loads
        # Usually empty; called for every server at each placement.
        return bool(loads) and any(
            load.server == server and load.model == model for load in loads
        )

    def _differs(self, target, now):
        """Return whether a recent report shows another version than desired."""
        report = self._fresh_report(target.server, now)
        return report is not None and report.models.get(target.model) != target.version

    def is_last_server(self, target: DesiredVersion, now: float) -> bool:
        """Return whether a load would stop the last server that serves a model."""
        report = self._fresh_report(target.server, now)
        if report is None or target.model not in report.models:
            return False
        loading = {load.server for load in self.table.loads}
        return not any(
            model == target.model
            and server != target.server
            and server not in loading
            and self._serves(server, model, now)
            for server, model in self.desired
        )

    def _serves(self, server, model, now):
        report = self._fresh_report(server, now)
        return report is not None and model in report.models

    def _fresh_report(self, server, now):
        report = self.reports.get(server)
        max_age_s = MAX_MISSED_REPORTS * self.report_interval_s
        if report is None or now > report.at + max_age_s:
            return None
        return report

    def _new_nonce(self, now):
        self.attempts += 1
        nonce = f"{self.identity}/{self.attempts}"
        self.granted_at[nonce] = now
        return nonce


def _retain(values, keys):
    for key in values.keys() - keys:
        del values[key]

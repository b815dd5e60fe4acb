"""Which orders to load weights are given, by whom, and when.

All loads in progress stand in one table in the key-value service, changed by
compare-and-swap. An entry is at once the lease on its server, a slot of the
weight store, and the bearer of the fencing number. docs/design/orders.md says
why. The entry keeps its order identifier when another instance takes it over,
so that what was sent before and what is sent after are the same order.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from cassiaford.policy._lookup import choose_instance

# Lets clocks of two machines differ by this much in speed.
CLOCK_DRIFT = 1.05
# An order without an answer is sent again after this time.
RESEND_S = 1.0
# An engine that has missed so many reports does not count as serving.
REPORTS_MISSED = 6


@dataclass(frozen=True)
class OrderLimits:
    """How loads are paced, and what the orderers may rely on; see settings."""

    loads_at_once: int
    lease_s: float
    order_flight_s: float
    load_timeout_s: float
    settle_s: float


@dataclass(frozen=True)
class DesiredVersion:
    """The version of a model that a server should have."""

    server: str
    model: str
    version: str
    checks_fencing: bool = False


@dataclass(frozen=True)
class Load:
    """A load in progress; `holder` is the instance that orders it.

    `nonce` is never used twice, so that the holder knows its own write when
    the answer to it was lost.
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
    """All loads in progress, and the highest fencing number given out."""

    fencing: int = 0
    loads: tuple[Load, ...] = ()


@dataclass(frozen=True)
class WriteTable:
    """Asks the shell to swap the table that was read last for this one."""

    table: LoadTable


@dataclass(frozen=True)
class SendOrder:
    """Asks the shell to send an order, if `Orderer.may_send` still says so."""

    load: Load


@dataclass(frozen=True)
class _Report:
    models: Mapping[str, str]
    at: float


class Orderer:
    """One instance's part in giving orders.

    `identity` is unlike that of every other process, also of earlier ones
    under the same name; `instance` is the name.
    """

    def __init__(self, instance: str, identity: str, limits: OrderLimits):
        self.instance = instance
        self.identity = identity
        self.limits = limits
        self.table = LoadTable()
        self.was_read = False
        # When the wanted version changed, until an engine's report shows
        # another one than is wanted: by then no older order is under way.
        self.changed_at: dict[tuple[str, str], float] = {}
        self.report_interval_s = 0.5
        self.desired: dict[tuple[str, str], DesiredVersion] = {}
        self.wanted_since: dict[tuple[str, str], float] = {}
        self.reports: dict[str, _Report] = {}
        self.attempts = 0
        # By nonce: when the write that made this instance the holder began.
        self.granted_at: dict[str, float] = {}
        # By order identifier.
        self.first_seen: dict[str, float] = {}
        self.inherited_at: dict[str, float] = {}
        self.sent_at: dict[str, float] = {}
        self.answered: set[str] = set()
        # By nonce: since when this instance has seen an entry unchanged.
        self.seen_since: dict[str, float] = {}
        self.retry_at: dict[str, float] = {}

    def configure(self, wants: Sequence[DesiredVersion], now: float) -> None:
        """Take in what every joined engine should have."""
        before = self.desired
        self.desired = {(want.server, want.model): want for want in wants}
        for key, want in self.desired.items():
            known = before.get(key)
            if known is None or known.version != want.version:
                self.wanted_since[key] = now
            if known is not None and known.version != want.version:
                self.changed_at[key] = now
        for times in (self.wanted_since, self.changed_at):
            _keep(times, self.desired.keys())

    def record_report(self, server: str, models: Mapping[str, str], now: float) -> None:
        """Take in an engine's load report."""
        self.reports[server] = _Report(dict(models), now)
        for key in tuple(self.changed_at):
            name, model = key
            if name == server and models.get(model) != self.desired[key].version:
                del self.changed_at[key]

    def remove_server(self, server: str) -> None:
        """Drop what is believed of an engine."""
        self.reports.pop(server, None)

    def apply_table(self, table: LoadTable, now: float) -> None:
        """Take in the table, as read or as written with success."""
        self.table = table
        self.was_read = True
        nonces = {load.nonce for load in table.loads}
        orders = {load.order_id for load in table.loads}
        for load in table.loads:
            self.seen_since.setdefault(load.nonce, now)
            self.first_seen.setdefault(load.order_id, now)
        for known in (self.seen_since, self.granted_at):
            _keep(known, nonces)
        for known in (self.first_seen, self.inherited_at, self.sent_at):
            _keep(known, orders)
        self.answered &= orders

    def has_work(self, now: float) -> bool:
        """Return whether the table must be read, and orders may be due."""
        if self.table.loads or not self.was_read:
            return True
        return any(self._differs(want, now) for want in self.desired.values())

    def is_serving(self, server: str, model: str) -> bool:
        """Return whether an engine has a model and is not loading it.

        An engine without a report is taken to serve: it refuses what it
        cannot run, and without reports there would be no service at all.
        """
        if self._is_loading(server, model):
            return False
        report = self.reports.get(server)
        return report is None or model in report.models

    def is_current(self, server: str, model: str, version: str, now: float) -> bool:
        """Return whether an engine surely has just this version of a model.

        An engine that seems to have had the version since before it was
        wanted may still carry out an order for the version between: the one
        that an operator has just taken back.
        """
        report = self.reports.get(server)
        if report is None or report.models.get(model) != version:
            return False
        if self._is_loading(server, model):
            return False
        limits = self.limits
        changed_at = self.changed_at.get((server, model))
        unsure_s = limits.lease_s + limits.order_flight_s + limits.load_timeout_s
        return changed_at is None or now >= changed_at + unsure_s + limits.settle_s

    def own_loads(self) -> tuple[Load, ...]:
        """Return the loads that this instance holds."""
        return tuple(load for load in self.table.loads if self._is_own(load))

    def withheld(self, live: Sequence[str], now: float) -> tuple[DesiredVersion, ...]:
        """Return what is not ordered as it would take a last serving server."""
        loading = {load.model for load in self.table.loads}
        return tuple(
            want
            for want in self.desired.values()
            if want.model not in loading
            and self._is_chosen(want.server, live)
            and self._differs(want, now)
            and self.is_last(want, now)
        )

    def step(
        self, live: Sequence[str], now: float
    ) -> tuple[WriteTable | SendOrder, ...]:
        """Return what to do now; `live` names the live instances."""
        orders = tuple(
            SendOrder(load) for load in self.table.loads if self._is_due(load, now)
        )
        table = self._next_table(live, now)
        return orders if table is None else (*orders, WriteTable(table))

    def leave(self) -> LoadTable | None:
        """Return the table in which this instance holds nothing, if it held."""
        if not any(self._is_own(load) for load in self.table.loads):
            return None
        loads = (
            replace(load, holder="") if self._is_own(load) else load
            for load in self.table.loads
        )
        return replace(self.table, loads=tuple(loads))

    def may_send(self, load: Load, now: float) -> bool:
        """Return whether an order may be sent at this moment."""
        granted_at = self.granted_at.get(load.nonce)
        if load not in self.table.loads or granted_at is None:
            return False
        return now < granted_at + self.limits.lease_s and not self.is_done(load)

    def record_order_sent(self, load: Load, now: float) -> None:
        """Take note that an order is about to be sent."""
        self.sent_at[load.order_id] = now
        self.answered.discard(load.order_id)

    def record_order_reply(self, load: Load, accepted: bool) -> None:
        """Take note of an answer; a lost one is not told."""
        if accepted and load.order_id in self.sent_at:
            self.answered.add(load.order_id)

    def _is_due(self, load, now):
        if load.order_id in self.answered or not self.may_send(load, now):
            return False
        sent_at = self.sent_at.get(load.order_id)
        return sent_at is None or now >= sent_at + RESEND_S

    def _next_table(self, live, now):
        """Return the table after the first change that is due, if any."""
        for load in self.table.loads:
            if self._is_own(load):
                if self._is_over(load, now):
                    return self._without(load, now)
                if now >= self.granted_at[load.nonce] + self.limits.lease_s:
                    return self._held(load, now)
            elif self._may_take_over(load, live, now):
                self.inherited_at[load.order_id] = now
                return self._held(load, now)
        if len(self.table.loads) >= self.limits.loads_at_once:
            return None
        return self._grant(live, now)

    def _is_own(self, load):
        return load.holder == self.identity and load.nonce in self.granted_at

    def is_done(self, load: Load) -> bool:
        """Return whether the engine's newest report shows the loaded version."""
        report = self.reports.get(load.server)
        return report is not None and report.models.get(load.model) == load.version

    def _is_over(self, load, now):
        """Return whether an own load has ended and nothing of it is in flight."""
        timeout_at = self.first_seen[load.order_id] + self.limits.load_timeout_s
        if not self.is_done(load) and now < timeout_at:
            return False
        want = self.desired.get((load.server, load.model))
        if want is not None and want.checks_fencing:
            return True
        return now >= self._landed_at(load)

    def _landed_at(self, load):
        """Return when all sends of an order have surely arrived or failed."""
        limits = self.limits
        landed_at = 0.0
        if load.order_id in self.sent_at and load.order_id not in self.answered:
            landed_at = self.sent_at[load.order_id] + limits.order_flight_s
        if load.order_id in self.inherited_at:
            wait_s = (limits.lease_s + limits.order_flight_s) * CLOCK_DRIFT
            landed_at = max(landed_at, self.inherited_at[load.order_id] + wait_s)
        return landed_at

    def _may_take_over(self, load, live, now):
        if not self._is_chosen(load.server, live):
            return False
        if load.holder.partition("/")[0] not in live:
            return True
        lapses_at = self.seen_since[load.nonce] + self.limits.lease_s * CLOCK_DRIFT
        return now >= lapses_at

    def _without(self, load, now):
        if not self.is_done(load):
            self.retry_at[load.server] = now + self.limits.load_timeout_s
        loads = tuple(other for other in self.table.loads if other != load)
        return replace(self.table, loads=loads)

    def _held(self, load, now):
        """Return the table in which a load is held anew by this instance."""
        fencing = self.table.fencing + 1
        held = replace(
            load, holder=self.identity, nonce=self._nonce(now), fencing=fencing
        )
        loads = tuple(held if other == load else other for other in self.table.loads)
        return LoadTable(fencing, loads)

    def _grant(self, live, now):
        for want in sorted(self.desired.values(), key=lambda w: (w.server, w.model)):
            if self._may_grant(want, live, now):
                fencing = self.table.fencing + 1
                load = Load(
                    want.server,
                    want.model,
                    want.version,
                    f"load-{fencing}",
                    self.identity,
                    self._nonce(now),
                    fencing,
                )
                return LoadTable(fencing, (*self.table.loads, load))
        return None

    def _may_grant(self, want, live, now):
        if not self._is_chosen(want.server, live):
            return False
        settled_at = self.wanted_since[(want.server, want.model)] + self.limits.settle_s
        if now < max(settled_at, self.retry_at.get(want.server, 0.0)):
            return False
        if any(load.server == want.server for load in self.table.loads):
            return False
        return self._differs(want, now) and not self.is_last(want, now)

    def _is_chosen(self, server, live):
        return bool(live) and choose_instance(server, live) == self.instance

    def _is_loading(self, server, model):
        loads = self.table.loads
        # Mostly empty, and asked for every server at each placement.
        return bool(loads) and any(
            load.server == server and load.model == model for load in loads
        )

    def _differs(self, want, now):
        """Return whether a fresh report shows something else than is wanted."""
        report = self._fresh_report(want.server, now)
        return report is not None and report.models.get(want.model) != want.version

    def is_last(self, want: DesiredVersion, now: float) -> bool:
        """Return whether a load would take a model's last serving server."""
        report = self._fresh_report(want.server, now)
        if report is None or want.model not in report.models:
            return False
        loading = {load.server for load in self.table.loads}
        return not any(
            model == want.model
            and server != want.server
            and server not in loading
            and self._serves(server, model, now)
            for server, model in self.desired
        )

    def _serves(self, server, model, now):
        report = self._fresh_report(server, now)
        return report is not None and model in report.models

    def _fresh_report(self, server, now):
        report = self.reports.get(server)
        max_age_s = REPORTS_MISSED * self.report_interval_s
        if report is None or now > report.at + max_age_s:
            return None
        return report

    def _nonce(self, now):
        self.attempts += 1
        nonce = f"{self.identity}/{self.attempts}"
        self.granted_at[nonce] = now
        return nonce


def _keep(known, names):
    for name in known.keys() - names:
        del known[name]

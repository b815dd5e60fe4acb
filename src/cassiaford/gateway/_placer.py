"""Choosing backend servers by what the gateway believes of them."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from cassiaford.gateway._configuration import Customer, EngineSpec, Route
from cassiaford.gateway._messages import BackendServer, RequestMetadata
from cassiaford.gateway._view import View
from cassiaford.gateway.policy import (
    EnginePlacer,
    EngineView,
    GenerationRequest,
    Placement,
    PlainServer,
    Prefix,
    RunTimes,
    ServerHealth,
    ServicePlacer,
    WaitingPrompts,
)

# Answers on replaced weights count for a fifth less from 1.5 s after newer
# ones were named; an engine that has them is worth this wait.
OLD_WEIGHTS_AFTER_S = 1.5
OLD_WEIGHTS_COST_S = 0.25
# A prompt that goes to another data centre uses links that are dear; an engine
# of the instance's own may begin this much later.
REMOTE_COST_S = 0.03
# An engine that is yet to load new weights will lose what it reads now.
SOON_EMPTIED_COST_S = 0.1
# Where the configuration says nothing of engines, memory is taken to suffice.
_UNKNOWN_ENGINE = EngineSpec(slots=1, cache_tokens=1 << 40)


@dataclass(frozen=True)
class Choice:
    """The backend server chosen for one attempt."""

    key: int
    server: BackendServer
    placement: Placement | None = None
    fetch_from: str | None = None
    save_to: str | None = None

    @property
    def first_token_s(self) -> float:
        """When the answer is expected to begin, in seconds."""
        return self.placement.first_token_s if self.placement else 0.0


class Placer:
    """Chooses backend servers, and counts what was sent to them.

    `weights_due_s` is the time after which no request may begin on weights
    that were replaced.
    """

    def __init__(
        self,
        view: View,
        engines: EnginePlacer,
        services: ServicePlacer,
        health: ServerHealth,
        data_centre: str,
        weights_grace_s: float,
        rng: random.Random,
    ):
        self.view = view
        self.engines = engines
        self.services = services
        self.health = health
        self.data_centre = data_centre
        self.weights_grace_s = weights_grace_s
        self.rng = rng
        self.run_times = RunTimes()
        self.waiting = WaitingPrompts()
        self.out_of_use: frozenset[int] = frozenset()
        self.unreachable_stores: frozenset[str] = frozenset()
        self.on_placement: Callable[[float], None] = lambda prefill_s: None
        self.store_reachable_since = lambda since: True

    def choose(
        self,
        service: str,
        facts: RequestMetadata,
        customer: Customer | None,
        tried: set[int],
        route: Route,
        now: float,
    ) -> Choice | None:
        """Return the best usable backend server of a service, or None."""
        servers = {
            key: server
            for key, server in self._reachable(service, now).items()
            if key not in tried
        }
        if facts.is_generation:
            return self._choose_engine(servers, facts, customer, route, now)
        plain = [
            PlainServer(
                key,
                server.slots,
                server.data_centre == self.data_centre,
                self.health.cost_s(key, now),
            )
            for key, server in servers.items()
        ]
        chosen = self.services.choose(plain, self.rng)
        if chosen is None:
            return None
        return Choice(chosen.key, servers[chosen.key])

    def waiting_prefill_s(self, service: str, instances: int, now: float) -> float:
        """Return an engine's part of the work that waits at all instances."""
        if not self.waiting.prefill_s:
            return 0.0
        engines = self._reachable(service, now).keys() - self.out_of_use
        return self.waiting.per_engine_s(instances, len(engines))

    def record_start(
        self,
        choice: Choice,
        facts: RequestMetadata,
        customer: Customer | None,
        now: float,
    ) -> None:
        """Take note of a request that is sent."""
        if choice.placement is None:
            self.services.started(choice.key)
        else:
            request = self._generation(facts, customer)
            self.engines.started(request, choice.placement, now)
            self.on_placement(choice.placement.prefill_s)

    def record_first_token(
        self, choice: Choice, facts: RequestMetadata, now: float
    ) -> None:
        """Take note that an answer has begun."""
        if choice.placement is not None:
            self.engines.first_token(facts.attempt_id, choice.key, now)

    def record_response(self, route: Route, first_at: float, now: float) -> None:
        """Take note of a whole answer that began at a time."""
        self.run_times.ended(route.name, now - first_at)

    def record_end(self, choice: Choice, facts: RequestMetadata) -> None:
        """Take note that an attempt is over."""
        if choice.placement is None:
            self.services.ended(choice.key)
        else:
            self.engines.ended(facts.attempt_id, choice.key)

    def record_rejection(
        self, choice: Choice, facts: RequestMetadata, now: float
    ) -> None:
        """Take note that a server did not start a request."""
        if choice.placement is not None:
            self.engines.turned_away(facts.attempt_id, choice.placement)
        self.health.shed(choice.key, now)

    def backoff_remaining_s(self, service: str, now: float) -> float:
        """Return the seconds until one of the servers is tried again."""
        servers = self.view.servers.get(service, {})
        return min((self.health.back_in(key, now) for key in servers), default=1.0)

    def explain(
        self, service: str, facts: RequestMetadata, tried: set[int], now: float
    ) -> str:
        """Return why no server of a service was chosen, for the log."""
        servers = self.view.servers.get(service, {})
        away = sum(self.health.away(key, now) for key in servers)
        overdue = sum(self._weights_overdue(s, facts, now) for s in servers.values())
        return (
            f"of {len(servers)} servers {len(tried & set(servers))} were tried,"
            f" {away} are left alone after failures, {overdue} have weights that"
            " were replaced too long ago"
        )

    def _reachable(self, service, now):
        servers = self.view.servers.get(service, {})
        return {k: s for k, s in servers.items() if not self.health.away(k, now)}

    def _choose_engine(self, servers, facts, customer, route, now):
        spec = _engine_spec(self.view.configuration, servers)
        free = {key: s for key, s in servers.items() if key not in self.out_of_use}
        views = [
            EngineView(
                key,
                server.server_id,
                server.slots,
                spec.cache_tokens,
                self.health.cost_s(key, now)
                + self._weights_cost(server, facts, route, now)
                + self._distance_cost(server),
                self._new_unit_cost(server, facts, now),
                server.versions.get(facts.model, 0),
                spec.link_bytes_per_s / spec.token_bytes if spec.token_bytes else 0.0,
            )
            for key, server in (free or servers).items()
            if not self._weights_overdue(server, facts, now)
        ]
        request = self._generation(facts, customer, route.target_latency_s)
        versions = {key: s.versions.get(facts.model, 0) for key, s in servers.items()}
        placement = self.engines.place(request, views, now, self.rng, versions)
        if placement is None:
            return None
        return self._engine_choice(placement, servers)

    def _engine_choice(self, placement, servers):
        """Return a choice with the places from and to which prefixes move."""
        server = servers[placement.engine.key]
        store = self._prefix_store()
        source = servers.get(placement.source)
        return Choice(
            placement.engine.key,
            server,
            placement,
            fetch_from=source.address if source is not None else store,
            save_to=store if placement.save else None,
        )

    def _prefix_store(self):
        """Return the address of a store for prefixes, the nearest if there are more."""
        stores = self.view.configuration.prefix_stores
        usable = [s for s in stores if s.address not in self.unreachable_stores]
        usable.sort(key=lambda store: store.data_centre != self.data_centre)
        return usable[0].address if usable else None

    def _distance_cost(self, server):
        return 0.0 if server.data_centre == self.data_centre else REMOTE_COST_S

    def _weights_cost(self, server, facts, route, now):
        age = self._behind_for(server, facts, now)
        if age <= 0.0:
            return 0.0
        # It loads once its requests have ended; each long one keeps it from that.
        cost = self.run_times.expected(route.name)
        return cost + (OLD_WEIGHTS_COST_S if age > OLD_WEIGHTS_AFTER_S else 0.0)

    def _new_unit_cost(self, server, facts, now):
        behind = self._behind_for(server, facts, now) > 0.0
        return SOON_EMPTIED_COST_S if behind else 0.0

    def _weights_overdue(self, server, facts, now):
        age = self._behind_for(server, facts, now)
        return age > self.weights_grace_s and self.store_reachable_since(now - age)

    def _behind_for(self, server, facts, now):
        """Return for how long newer weights than a server's have been named."""
        version = server.versions.get(facts.model)
        if version is None:
            return 0.0
        return self.view.named_versions.behind_for(facts.model, version, now)

    def _generation(self, facts, customer, target_s=0.0):
        scope = customer.name if customer is not None and customer.isolated else ""
        key = f"{facts.model}|{scope}"
        levels = []
        tokens = 0
        for part in facts.parts[:-1]:
            key = f"{key}|{part.part_id}"
            tokens += part.tokens
            levels.append(Prefix(key.encode(), tokens))
        return GenerationRequest(
            request_id=facts.attempt_id,
            levels=tuple(levels),
            prompt_tokens=facts.prompt_tokens,
            output_tokens=facts.output_tokens,
            target_s=target_s,
        )


def _engine_spec(configuration, servers):
    for server in servers.values():
        service = configuration.services.get(server.service)
        if service is not None and service.engine is not None:
            return service.engine
    return _UNKNOWN_ENGINE


def urgency_of(route: Route, customer: Customer | None) -> int:
    """Return the rank of a request, 0 for the most urgent."""
    if customer is not None and customer.priority is not None:
        return customer.priority
    return route.priority

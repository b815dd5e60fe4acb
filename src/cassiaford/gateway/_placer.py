"""The choice of a backend server for each attempt."""

import math
import random
from collections.abc import Callable, Set
from dataclasses import dataclass, replace

from cassiaford.gateway._configuration import Customer, EngineSpec, Route
from cassiaford.gateway._messages import BackendServer, RequestMetadata
from cassiaford.gateway._view import View
from cassiaford.gateway.policy import (
    START_MARGIN_S,
    DecodeTimes,
    EnginePlacer,
    EngineView,
    GenerationRequest,
    LoadTimes,
    Placement,
    PlainServer,
    Prefix,
    ServerHealth,
    ServicePlacer,
    WaitingPrompts,
    WeightsBound,
)

# Responses from replaced weights count for a fifth less from 1.5 s after newer
# weights were named; an engine that has the newer ones is worth this wait.
OLD_WEIGHTS_AFTER_S = 1.5
OLD_WEIGHTS_COST_S = 0.25
# Links to other data centres are expensive, so a local engine is preferred
# unless its first token comes this much later.
REMOTE_COST_S = 0.03
# An engine that is about to load new weights will lose its cached prefixes.
PENDING_LOAD_COST_S = 0.1
# A request that may be withdrawn from replaced weights needs less time there than
# one that may not.
WITHDRAWABLE_START_MARGIN_S = 0.5
# Time until an engine notices that a request was withdrawn.
WITHDRAWAL_MARGIN_S = 0.25
# Memory is assumed to suffice where the configuration does not describe it.
_DEFAULT_ENGINE = EngineSpec(slots=1, cache_tokens=1 << 40)


@dataclass(frozen=True)
class Choice:
    """The backend server chosen for one attempt.

    It fetches cached prefixes from the address `fetch_from` and saves them to
    `save_to`. `may_withdraw` is whether another server may run the request after
    it was withdrawn from this one.
    """

    key: int
    server: BackendServer
    placement: Placement | None = None
    fetch_from: str | None = None
    save_to: str | None = None
    may_withdraw: bool = False

    @property
    def first_token_s(self) -> float:
        """The expected time until the response starts, in seconds."""
        return self.placement.first_token_s if self.placement else 0.0


@dataclass(frozen=True)
class ServerQuery:
    """What one attempt of a request needs of its server.

    Servers in `tried` are left out. `may_withdraw` is whether the request may run
    again after it was sent. `may_continue` returns whether a server fits a stream
    that has begun, and is None for a request that has not.
    """

    service: str
    metadata: RequestMetadata
    customer: Customer | None
    route: Route
    tried: Set[int] = frozenset()
    may_withdraw: bool = False
    may_continue: Callable[[BackendServer], bool] | None = None


class Placer:
    """Chooses backend servers, and tracks what was sent to them.

    `weights_bound` tells until when requests may begin on replaced weights.
    """

    def __init__(
        self,
        view: View,
        engines: EnginePlacer,
        services: ServicePlacer,
        health: ServerHealth,
        data_centre: str,
        weights_bound: WeightsBound,
        rng: random.Random,
    ):
        self.view = view
        self.engines = engines
        self.services = services
        self.health = health
        self.data_centre = data_centre
        self.weights_bound = weights_bound
        self.rng = rng
        self.decode_times = DecodeTimes()
        self.load_times = LoadTimes()
        self.waiting = WaitingPrompts()
        self.out_of_use: frozenset[int] = frozenset()
        self.unreachable_stores: frozenset[str] = frozenset()
        self.on_placement: Callable[[float], None] = lambda prefill_s: None

    def choose(
        self, query: ServerQuery, now: float, *, sound_only: bool = False
    ) -> Choice | None:
        """Return the best usable backend server of a service, or None.

        Few servers may fit a stream that has begun, so one that is avoided
        otherwise is better than none, unless `sound_only`.
        """
        untried = {
            key: server
            for key, server in self.view.servers.get(query.service, {}).items()
            if key not in query.tried
        }
        reachable = {
            key: server
            for key, server in untried.items()
            if not self.health.is_backing_off(key, now)
        }
        if query.may_continue is None:
            return self._choose_among(reachable, query, now)
        return self._choose_fitting(untried, reachable, query, now, sound_only)

    def _choose_fitting(self, untried, reachable, query, now, sound_only):
        """Return a server that fits a stream that has begun, or None."""
        fitting = {k: s for k, s in untried.items() if query.may_continue(s)}
        fitting_now = {k: s for k, s in reachable.items() if k in fitting}
        out_of_use = {k: s for k, s in fitting_now.items() if k in self.out_of_use}
        if sound_only:
            sound = {k: s for k, s in fitting_now.items() if k not in out_of_use}
            return self._choose_among(sound, query, now)
        for group in (fitting_now, out_of_use, fitting):
            choice = self._choose_among(group, query, now)
            if choice is not None:
                return choice
        return self._choose_among(fitting, query, now, needs_room=False)

    def _choose_among(self, servers, query, now, needs_room=True):
        if query.metadata.is_generation:
            return self._choose_engine(servers, query, now, needs_room)
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

    def send_by(self, choice: Choice, metadata: RequestMetadata, now: float) -> float:
        """Return until when a request may be sent, so that it begins in time."""
        if choice.placement is None:
            return math.inf
        margin_s = _start_margin_s(choice.may_withdraw)
        last_start = self._last_start(choice.server, metadata, now)
        return last_start - choice.first_token_s - margin_s

    def withdraw_at(
        self, choice: Choice, metadata: RequestMetadata, now: float
    ) -> float:
        """Return when to withdraw a request that has not begun by then."""
        if not choice.may_withdraw:
            return math.inf
        last_start = self._last_start(choice.server, metadata, now)
        return last_start - WITHDRAWAL_MARGIN_S

    def waiting_prefill_s(self, service: str, instances: int, now: float) -> float:
        """Return the prefill work per engine that waits at all instances."""
        if not self.waiting.prefill_s:
            return 0.0
        engines = self._reachable(service, now).keys() - self.out_of_use
        return self.waiting.prefill_s_per_engine(instances, len(engines))

    def record_start(
        self,
        choice: Choice,
        metadata: RequestMetadata,
        customer: Customer | None,
        now: float,
    ) -> None:
        """Record a request that is sent."""
        if choice.placement is None:
            self.services.record_start(choice.key)
        else:
            request = self._generation(metadata, customer)
            self.engines.record_start(request, choice.placement, now)
            self.on_placement(choice.placement.prefill_s)

    def record_first_token(
        self, choice: Choice, metadata: RequestMetadata, now: float
    ) -> None:
        """Record the start of a response."""
        if choice.placement is not None:
            self.engines.record_first_token(metadata.attempt_id, choice.key, now)

    def record_response(self, route: Route, first_at: float, now: float) -> None:
        """Record a complete response that started at `first_at`."""
        self.decode_times.record(route.name, now - first_at)

    def record_end(self, choice: Choice, metadata: RequestMetadata) -> None:
        """Record the end of an attempt."""
        if choice.placement is None:
            self.services.record_end(choice.key)
        else:
            self.engines.record_end(metadata.attempt_id, choice.key)

    def record_rejection(
        self, choice: Choice, metadata: RequestMetadata, now: float
    ) -> None:
        """Record a request that its server rejected without starting it."""
        if choice.placement is not None:
            self.engines.record_rejection(metadata.attempt_id, choice.placement)
        self.health.record_rejection(choice.key, now)

    def available_in_s(
        self, service: str, metadata: RequestMetadata, now: float
    ) -> float:
        """Return the seconds until the first server may get a request again."""
        servers = self.view.servers.get(service, {})
        return min(
            (
                max(
                    self.health.backoff_remaining_s(key, now),
                    self._load_remaining_s(key, server, metadata, now),
                )
                for key, server in servers.items()
            ),
            default=1.0,
        )

    def _load_remaining_s(self, key, server, metadata, now):
        if now <= self._last_start(server, metadata, now) - START_MARGIN_S:
            return 0.0
        return self.load_times.remaining_s(key, now)

    def explain(
        self, service: str, metadata: RequestMetadata, tried: set[int], now: float
    ) -> str:
        """Return why no server of a service was chosen, for the log."""
        servers = self.view.servers.get(service, {})
        backing_off = sum(self.health.is_backing_off(key, now) for key in servers)
        outdated = sum(
            now > self._last_start(s, metadata, now) - START_MARGIN_S
            for s in servers.values()
        )
        return (
            f"of {len(servers)} servers {len(tried & set(servers))} were tried,"
            f" {backing_off} are backing off after failures, {outdated} have weights"
            " that were replaced too long ago"
        )

    def _reachable(self, service, now):
        servers = self.view.servers.get(service, {})
        return {
            k: s for k, s in servers.items() if not self.health.is_backing_off(k, now)
        }

    def _choose_engine(self, servers, query, now, needs_room):
        metadata = query.metadata
        margin_s = _start_margin_s(query.may_withdraw)
        usable = {
            key: server
            for key, server in servers.items()
            if now <= self._last_start(server, metadata, now) - margin_s
        }
        in_use = {key: s for key, s in usable.items() if key not in self.out_of_use}
        spec = _engine_spec(self.view.configuration, servers)
        if not needs_room:
            spec = replace(spec, cache_tokens=math.inf)
        views = [
            self._engine_view(key, server, spec, query, now)
            for key, server in (in_use or usable).items()
        ]
        request = self._generation(
            metadata, query.customer, query.route.target_latency_s
        )
        versions = {
            key: s.versions.get(metadata.model, 0) for key, s in servers.items()
        }
        placement = self.engines.place(request, views, now, self.rng, versions)
        if placement is None:
            return None
        return self._engine_choice(placement, servers, query.may_withdraw)

    def _engine_view(self, key, server, spec, query, now):
        metadata = query.metadata
        last_start = self._last_start(server, metadata, now)
        return EngineView(
            key,
            server.server_id,
            server.slots,
            spec.cache_tokens,
            self.health.cost_s(key, now)
            + self._weights_cost(server, metadata, query.route, now)
            + self._distance_cost(server),
            self._new_prefix_cost(server, metadata, now),
            server.versions.get(metadata.model, 0),
            spec.link_bytes_per_s / spec.token_bytes if spec.token_bytes else 0.0,
            last_start - _start_margin_s(query.may_withdraw),
        )

    def _engine_choice(self, placement, servers, may_withdraw):
        """Return a choice with the addresses to fetch prefixes from and save to."""
        server = servers[placement.engine.key]
        store = self._prefix_store()
        source = servers.get(placement.source)
        return Choice(
            placement.engine.key,
            server,
            placement,
            fetch_from=source.address if source is not None else store,
            save_to=store if placement.save else None,
            may_withdraw=may_withdraw,
        )

    def _prefix_store(self):
        """Return the address of a reachable prefix store, preferably a local one."""
        stores = self.view.configuration.prefix_stores
        usable = [s for s in stores if s.address not in self.unreachable_stores]
        usable.sort(key=lambda store: store.data_centre != self.data_centre)
        return usable[0].address if usable else None

    def _distance_cost(self, server):
        return 0.0 if server.data_centre == self.data_centre else REMOTE_COST_S

    def _weights_cost(self, server, metadata, route, now):
        age = self._replaced_for_s(server, metadata, now)
        if age <= 0.0:
            return 0.0
        # The engine loads new weights once its requests have ended, so the
        # request would delay that by its decode time.
        cost = self.decode_times.expected_s(route.name)
        return cost + (OLD_WEIGHTS_COST_S if age > OLD_WEIGHTS_AFTER_S else 0.0)

    def _new_prefix_cost(self, server, metadata, now):
        outdated = self._replaced_for_s(server, metadata, now) > 0.0
        return PENDING_LOAD_COST_S if outdated else 0.0

    def _last_start(self, server, metadata, now):
        """Return until when a request may begin on a server's weights."""
        version = server.versions.get(metadata.model)
        return self.weights_bound.last_start(metadata.model, version, now)

    def _replaced_for_s(self, server, metadata, now):
        """Return the seconds since newer weights than a server's were named."""
        version = server.versions.get(metadata.model)
        if version is None:
            return 0.0
        return self.view.named_versions.replaced_for_s(metadata.model, version, now)

    def _generation(self, metadata, customer, target_s=0.0):
        scope = self.view.configuration.cache_scope(customer)
        key = f"{metadata.model}|{scope}"
        prefixes = []
        tokens = 0
        for part in metadata.parts[:-1]:
            key = f"{key}|{part.part_id}"
            tokens += part.tokens
            prefixes.append(Prefix(key.encode(), tokens))
        return GenerationRequest(
            request_id=metadata.attempt_id,
            shared_prefixes=tuple(prefixes),
            prompt_tokens=metadata.prompt_tokens,
            output_tokens=metadata.output_tokens,
            target_s=target_s,
        )


def _start_margin_s(may_withdraw):
    return WITHDRAWABLE_START_MARGIN_S if may_withdraw else START_MARGIN_S


def _engine_spec(configuration, servers):
    for server in servers.values():
        service = configuration.services.get(server.service)
        if service is not None and service.engine is not None:
            return service.engine
    return _DEFAULT_ENGINE


def urgency_of(route: Route, customer: Customer | None) -> int:
    """Return the rank of a request, 0 for the most urgent."""
    if customer is not None and customer.priority is not None:
        return customer.priority
    return route.priority

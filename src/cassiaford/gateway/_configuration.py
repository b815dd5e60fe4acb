"""The configuration of a gateway: routes, services and customers."""

import bisect
import enum
import random
from dataclasses import dataclass, field
from functools import cached_property
from urllib.parse import quote

import xxhash


class RequestKind(enum.Enum):
    """Whether a route's requests may be repeated, or stream their responses."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True)
class Target:
    """A service that gets a weighted part of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """The handling of requests to one host below one path prefix.

    `timeout_s` limits the whole response. `target_latency_s` is the time within
    which it should come or, for a stream, start. `target_pause_s` is the
    longest time that should pass between events, 0 if none is stated. A caller
    leaves a stream that has not started after `patience_s`. `max_attempts` is
    the number of backend servers that may run one request.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    targets: tuple[Target, ...]
    timeout_s: float
    target_latency_s: float
    target_pause_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    patience_s: float = 2.0

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.SAFE


@dataclass(frozen=True)
class EngineSpec:
    """The capacity of each of a service's model engines.

    A cached token takes `token_bytes`, and an engine transfers cached prefixes
    at `link_bytes_per_s`.
    """

    slots: int
    cache_tokens: int
    token_bytes: float = 0.0
    link_bytes_per_s: float = 0.0
    models: tuple[str, ...] = ()


@dataclass(frozen=True)
class Service:
    """A set of interchangeable backend servers."""

    name: str
    max_connections: int
    engine: EngineSpec | None = None


@dataclass(frozen=True)
class PrefixStore:
    """A store outside the engines that keeps cached prefixes for them."""

    address: str
    data_centre: str
    link_bytes_per_s: float


@dataclass(frozen=True)
class Customer:
    """A customer and its limits over all instances together.

    `rate` is in tokens a second and `burst` in tokens; a rate of 0 means no
    limit. A request that states no tokens counts as `plain_request_tokens`. The
    cached prefixes of an `isolated` customer are not shared with others.
    """

    name: str
    priority: int | None = None
    isolated: bool = False
    rate: float = 0.0
    burst: float = 0.0
    plain_request_tokens: float = 1.0


@dataclass(frozen=True)
class CallerLimits:
    """The limits on a caller's requests, and on its time to send one or to idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """One complete version of the operators' configuration.

    Requests need no key if `customers` is empty.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    customers: dict[str, Customer] = field(default_factory=dict)
    customers_by_key: dict[str, Customer] = field(default_factory=dict, repr=False)
    limits: CallerLimits = CallerLimits()
    prefix_stores: tuple[PrefixStore, ...] = ()

    def cache_scope(self, customer: Customer | None) -> str:
        """Return the scope in which a customer's requests find cached prefixes.

        An isolated customer has its own. The others share one that changes with
        who is isolated: what a customer made before it became isolated lies in
        another scope then, at engines, at prefix stores and after a change back.

        Examples
        --------
        >>> council, press = Customer("council", isolated=True), Customer("press")
        >>> customers = {"council": council, "press": press}
        >>> configuration = Configuration(2, (), {}, customers)
        >>> configuration.cache_scope(council)
        'council'
        >>> configuration.cache_scope(press)
        '/9fd1414e1416e68d'
        """
        if customer is None:
            return self._shared_cache_scope
        current = self.customers.get(customer.name)
        if current is None or current.isolated:
            return quote(customer.name, safe="", errors="surrogatepass")
        return self._shared_cache_scope

    @cached_property
    def _shared_cache_scope(self):
        isolated = sorted(c.name for c in self.customers.values() if c.isolated)
        if not isolated:
            return ""
        return "/" + xxhash.xxh3_64_hexdigest(
            "\n".join(isolated).encode(errors="surrogatepass")
        )


class RouteTable:
    """Finds the route with the longest matching prefix on a host.

    Examples
    --------
    >>> route = Route("r", "a.example", "/x/", RequestKind.SAFE, (), 1.0, 0.1)
    >>> RouteTable((route,)).find("a.example", "/x/y").name
    'r'
    >>> RouteTable((route,)).find("a.example", "/z/") is None
    True
    """

    def __init__(self, routes: tuple[Route, ...]):
        self._by_prefix: dict[str, dict[str, Route]] = {}
        for route in routes:
            host = self._by_prefix.setdefault(route.host.lower(), {})
            host[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None."""
        prefixes = self._by_prefix.get(host.lower())
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def choose_service(route: Route, rng: random.Random) -> str:
    """Choose one of a route's services at random, by weight."""
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    bounds = []
    total = 0.0
    for target in targets:
        total += target.weight
        bounds.append(total)
    index = bisect.bisect_right(bounds, rng.random() * total)
    return targets[min(index, len(targets) - 1)].service

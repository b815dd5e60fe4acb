"""The schema of the configuration: customers, keys, models, servers, routes."""

import enum
from collections.abc import Mapping
from typing import Annotated

from pydantic import ConfigDict, Field, model_validator
from pydantic.dataclasses import dataclass

# The software version of servers that name none: one software for all of them.
COMMON_SOFTWARE = "common"
# Unknown fields are errors, so that a misspelt field is not replaced by a default.
STRICT = ConfigDict(extra="forbid")

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Digest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Salt = Annotated[str, Field(pattern=r"^[0-9a-f]{32}$")]


class ServerKind(enum.Enum):
    """Whether a backend server is a model engine or a plain service."""

    ENGINE = "engine"
    SERVICE = "service"


class ServerState(enum.Enum):
    """Whether a backend server gets new requests."""

    JOINED = "joined"
    LEAVING = "leaving"


class RouteKind(enum.Enum):
    """Whether a route leads to a model or to a plain service."""

    MODEL = "model"
    SERVICE = "service"


@dataclass(frozen=True, config=STRICT)
class Customer:
    """A customer and its limits over the whole fleet.

    `rate` is in tokens a second and `burst` in tokens; both count prompt and
    output tokens. `models` names the models that the customer may use.
    """

    name: Name
    rate: Annotated[float, Field(gt=0)]
    burst: Annotated[float, Field(gt=0)]
    models: tuple[Name, ...] = ()


@dataclass(frozen=True, config=STRICT)
class Key:
    """A granted key, stored as a salted digest instead of the key itself."""

    key_id: Name
    customer: Name
    salt: Salt
    digest: Digest


@dataclass(frozen=True, config=STRICT)
class Model:
    """A model and the weights version that serves it.

    `max_output` is the maximum of output tokens of a request, and the default
    for requests that state none.
    """

    name: Name
    version: Name
    max_output: Annotated[int, Field(gt=0)] = 4096


@dataclass(frozen=True, config=STRICT)
class BackendServer:
    """A backend server: a model engine or a plain service.

    `models` names the models of an engine; `group` is the name by which routes
    refer to a plain service. `checks_fencing` says whether the server rejects
    orders with an old fencing number. `slots` is the number of requests that
    it runs concurrently. Servers of different `software_version` generate
    different text, so they do not continue each other's streams.
    """

    name: Name
    address: Address
    data_centre: Name
    kind: ServerKind = ServerKind.ENGINE
    models: tuple[Name, ...] = ()
    group: Name | None = None
    checks_fencing: bool = False
    slots: Annotated[int, Field(gt=0)] = 32
    state: ServerState = ServerState.JOINED
    software_version: Name = COMMON_SOFTWARE


@dataclass(frozen=True, config=STRICT)
class Route:
    """A path prefix that leads to a group of plain services.

    A request on a route that is not `repeatable` runs at most once and needs
    an ``Idempotency-Key``. A request on a route `open_to_all` needs no API key.
    """

    prefix: Annotated[str, Field(pattern=r"^/[!-~]*$")]
    group: Name
    methods: tuple[str, ...] = ("GET", "POST")
    repeatable: bool = True
    open_to_all: bool = False

    @model_validator(mode="after")
    def _check_open_route(self):
        # Idempotency keys are scoped by customer; an open route has none.
        if self.open_to_all and not self.repeatable:
            raise ValueError("a route open to all must be repeatable")
        return self


@dataclass(frozen=True, config=STRICT)
class Configuration:
    """The complete configuration at one revision."""

    revision: Annotated[int, Field(ge=0)] = 0
    customers: Mapping[str, Customer] = Field(default_factory=dict)
    keys: Mapping[str, Key] = Field(default_factory=dict)
    models: Mapping[str, Model] = Field(default_factory=dict)
    servers: Mapping[str, BackendServer] = Field(default_factory=dict)
    routes: Mapping[str, Route] = Field(default_factory=dict)

    def route_for(self, path: str) -> Route | None:
        """Return the route with the longest prefix of whole path segments.

        Examples
        --------
        >>> bookings = Route("/bookings", "shop")
        >>> Configuration(routes={"/bookings": bookings}).route_for("/bookingsX")
        """
        prefix = path
        while prefix:
            if prefix in self.routes:
                return self.routes[prefix]
            prefix = prefix.rpartition("/")[0]
        return self.routes.get("/")

    def engines_for(self, model: str) -> tuple[BackendServer, ...]:
        """Return the joined engines that serve a model."""
        return tuple(
            server
            for server in self.servers.values()
            if server.kind is ServerKind.ENGINE
            and server.state is ServerState.JOINED
            and model in server.models
        )

    def services_in(self, group: str) -> tuple[BackendServer, ...]:
        """Return the joined plain services of a group."""
        return tuple(
            server
            for server in self.servers.values()
            if server.kind is ServerKind.SERVICE
            and server.state is ServerState.JOINED
            and server.group == group
        )


EMPTY_CONFIGURATION = Configuration()

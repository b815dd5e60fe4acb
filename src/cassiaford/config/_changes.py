"""Changes to the configuration and the log entries that contain them."""

from dataclasses import replace
from typing import Annotated, Literal

from pydantic import Field
from pydantic.dataclasses import dataclass

from cassiaford.config._document import (
    STRICT,
    BackendServer,
    Configuration,
    Customer,
    Key,
    Model,
    Name,
    Route,
)


class ChangeError(ValueError):
    """A change that cannot be applied to the configuration."""


@dataclass(frozen=True, config=STRICT)
class PutCustomer:
    """A change that creates or replaces a customer."""

    value: Customer
    kind: Literal["put_customer"] = "put_customer"


@dataclass(frozen=True, config=STRICT)
class RemoveCustomer:
    """A change that removes a customer together with its keys."""

    name: Name
    kind: Literal["remove_customer"] = "remove_customer"


@dataclass(frozen=True, config=STRICT)
class PutKey:
    """A change that grants a key."""

    value: Key
    kind: Literal["put_key"] = "put_key"


@dataclass(frozen=True, config=STRICT)
class RemoveKey:
    """A change that withdraws a key."""

    key_id: Name
    kind: Literal["remove_key"] = "remove_key"


@dataclass(frozen=True, config=STRICT)
class PutModel:
    """A change that creates or replaces a model, including its weights version."""

    value: Model
    kind: Literal["put_model"] = "put_model"


@dataclass(frozen=True, config=STRICT)
class RemoveModel:
    """A change that removes a model."""

    name: Name
    kind: Literal["remove_model"] = "remove_model"


@dataclass(frozen=True, config=STRICT)
class PutServer:
    """A change that adds or replaces a backend server."""

    value: BackendServer
    kind: Literal["put_server"] = "put_server"


@dataclass(frozen=True, config=STRICT)
class RemoveServer:
    """A change that removes a backend server."""

    name: Name
    kind: Literal["remove_server"] = "remove_server"


@dataclass(frozen=True, config=STRICT)
class PutRoute:
    """A change that creates or replaces a route."""

    value: Route
    kind: Literal["put_route"] = "put_route"


@dataclass(frozen=True, config=STRICT)
class RemoveRoute:
    """A change that removes a route."""

    prefix: str
    kind: Literal["remove_route"] = "remove_route"


Change = Annotated[
    PutCustomer
    | RemoveCustomer
    | PutKey
    | RemoveKey
    | PutModel
    | RemoveModel
    | PutServer
    | RemoveServer
    | PutRoute
    | RemoveRoute,
    Field(discriminator="kind"),
]


@dataclass(frozen=True, config=STRICT)
class Revision:
    """One entry of the configuration log.

    Revision `number` is created at most once, by compare-and-swap. By `nonce`
    its author recognises it if the response to the write was lost.
    `written_at` is the author's wall-clock time in seconds since the epoch.
    """

    number: Annotated[int, Field(gt=0)]
    author: str
    nonce: str
    written_at: float
    changes: tuple[Change, ...]


def apply_changes(configuration: Configuration, revision: Revision) -> Configuration:
    """Return the configuration after a revision.

    Raises `ChangeError` if the revision is not the next one, or if a change
    refers to something that the configuration does not have.
    """
    if revision.number != configuration.revision + 1:
        raise ChangeError(
            f"revision {revision.number} does not follow revision"
            f" {configuration.revision}"
        )
    draft = _Draft(configuration)
    for change in revision.changes:
        draft.apply(change)
    return draft.finish(revision.number)


class _Draft:
    """A mutable copy of a configuration."""

    def __init__(self, configuration):
        self.base = configuration
        self.customers = dict(configuration.customers)
        self.keys = dict(configuration.keys)
        self.models = dict(configuration.models)
        self.servers = dict(configuration.servers)
        self.routes = dict(configuration.routes)

    def apply(self, change):
        match change:
            case PutCustomer(value=customer):
                self.customers[customer.name] = customer
            case RemoveCustomer(name=name):
                self._remove_customer(name)
            case PutKey(value=key):
                self._put_key(key)
            case RemoveKey(key_id=key_id):
                _remove(self.keys, key_id, "key")
            case PutModel(value=model):
                self.models[model.name] = model
            case RemoveModel(name=name):
                _remove(self.models, name, "model")
            case PutServer(value=server):
                self.servers[server.name] = server
            case RemoveServer(name=name):
                _remove(self.servers, name, "backend server")
            case PutRoute(value=route):
                self.routes[route.prefix] = route
            case RemoveRoute(prefix=prefix):
                _remove(self.routes, prefix, "route")

    def finish(self, number):
        return replace(
            self.base,
            revision=number,
            customers=self.customers,
            keys=self.keys,
            models=self.models,
            servers=self.servers,
            routes=self.routes,
        )

    def _put_key(self, key):
        if key.customer not in self.customers:
            raise ChangeError(f"no customer named {key.customer!r}")
        self.keys[key.key_id] = key

    def _remove_customer(self, name):
        _remove(self.customers, name, "customer")
        self.keys = {
            key_id: key for key_id, key in self.keys.items() if key.customer != name
        }


def _remove(mapping, name, kind):
    if mapping.pop(name, None) is None:
        raise ChangeError(f"no {kind} named {name!r}")

"""What a gateway asks of model engines beside requests."""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

from cassiaford.gateway._messages import BackendServer


class EngineCallError(Exception):
    """A call to an engine failed; an order may have been accepted."""


class WrongServerError(EngineCallError):
    """Another server answers at the engine's address; nothing took effect."""


class OrderResponse(enum.Enum):
    """How an engine answers an order."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "already_holds"
    CONFLICT = "conflict"
    FENCED_OFF = "fenced_off"
    REJECTED = "rejected"


@dataclass(frozen=True)
class EngineReport:
    """What an engine says of its weights and orders.

    `orders_accepted` is their number since the engine's start.
    """

    versions: dict[str, int]
    busy: bool
    orders_accepted: int


@dataclass(frozen=True)
class VersionOrder:
    """An order to load a version of a model once running requests have ended.

    `fencing` is the orderer's fencing token; the engine carries the order out
    only if `orders_accepted` is still the number of orders it has accepted.
    """

    model: str
    version: int
    holder: str
    fencing: int
    orders_accepted: int


class EngineControl(ABC):
    """Calls to engines; each raises `EngineCallError` without an answer."""

    @abstractmethod
    async def report(self, server: BackendServer) -> EngineReport:
        """Return an engine's report."""

    @abstractmethod
    async def order(self, server: BackendServer, order: VersionOrder) -> OrderResponse:
        """Give an engine an order."""

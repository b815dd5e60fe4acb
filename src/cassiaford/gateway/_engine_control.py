"""The interface for control calls to model engines."""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

from cassiaford.gateway._messages import BackendServer


class EngineCallError(Exception):
    """A call to an engine failed; an order may have been accepted."""


class WrongServerError(EngineCallError):
    """Another server responds at the engine's address; nothing took effect."""


class OrderResponse(enum.Enum):
    """An engine's response to an order."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "already_holds"
    CONFLICT = "conflict"
    FENCED_OFF = "fenced_off"
    REJECTED = "rejected"


@dataclass(frozen=True)
class EngineReport:
    """An engine's report on its weights and orders.

    `versions` are the versions of the loaded weights by model. `orders_accepted`
    counts the orders that the engine has accepted since its start.
    """

    versions: dict[str, int]
    busy: bool
    orders_accepted: int


@dataclass(frozen=True)
class VersionOrder:
    """An order to load a version of a model once running requests have ended.

    `fencing` is the orderer's fencing token. The engine rejects the order unless
    `orders_accepted` is the number of orders that it has accepted so far.
    """

    model: str
    version: int
    holder: str
    fencing: int
    orders_accepted: int


class EngineControl(ABC):
    """Calls to engines; each raises `EngineCallError` if it gets no response."""

    @abstractmethod
    async def report(self, server: BackendServer) -> EngineReport:
        """Return the engine's report."""

    @abstractmethod
    async def order(self, server: BackendServer, order: VersionOrder) -> OrderResponse:
        """Send the engine an order and return its response."""

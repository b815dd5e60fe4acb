"""The control calls to a model engine, apart from its OpenAI-compatible API."""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass


class EngineError(Exception):
    """A call to an engine failed."""


class CacheEventKind(enum.Enum):
    """What happened to a block of an engine's prefix cache."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclass(frozen=True)
class CacheEvent:
    """A change of an engine's prefix cache; `block` is the block's hash."""

    sequence: int
    kind: CacheEventKind
    block: int


@dataclass(frozen=True)
class CacheEvents:
    """Cache events of one engine; `gap` says that earlier events were lost."""

    incarnation: str
    events: tuple[CacheEvent, ...]
    next_sequence: int
    gap: bool


@dataclass(frozen=True)
class LoadReport:
    """The load of an engine at the time of its report.

    `queued_tokens` counts the prompt tokens that are not prefilled yet. `models`
    maps each loaded model to its weights version.
    """

    incarnation: str
    running: int
    waiting: int
    queued_tokens: int
    models: tuple[tuple[str, str], ...]


class OrderAction(enum.Enum):
    """The action that an order demands."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


@dataclass(frozen=True)
class Order:
    """An order to a backend server; a higher fencing number takes precedence."""

    order_id: str
    fencing: int
    action: OrderAction
    model: str = ""
    version: str = ""
    role: str = ""


@dataclass(frozen=True)
class OrderResponse:
    """The response to an order; `reason` says why it was rejected."""

    accepted: bool
    reason: str = ""


class EngineControl(ABC):
    """The control calls to engines of one kind, which take an address."""

    @abstractmethod
    def load(self, address: str) -> LoadReport:
        """Return the engine's load report; raise `EngineError` on failure."""

    @abstractmethod
    def cache_events(self, address: str, after: int) -> CacheEvents:
        """Return the cache events after a sequence number."""

    @abstractmethod
    def order(self, address: str, order: Order) -> OrderResponse:
        """Send the engine an order and return its response."""

    @abstractmethod
    def cancel(self, address: str, request_id: str) -> None:
        """Cancel a running request."""

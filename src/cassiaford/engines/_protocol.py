"""The calls to a model engine beside the OpenAI-compatible interface."""

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
    """One change of an engine's prefix cache, named by the block's hash."""

    sequence: int
    kind: CacheEventKind
    block: int


@dataclass(frozen=True)
class CacheEvents:
    """Events of one engine; `gap` says that some before them were lost."""

    incarnation: str
    events: tuple[CacheEvent, ...]
    next_sequence: int
    gap: bool


@dataclass(frozen=True)
class LoadReport:
    """The load of an engine at some moment in the past.

    `queued_tokens` counts prompt tokens not yet computed. `models` maps each
    loaded model to its weights version.
    """

    incarnation: str
    running: int
    waiting: int
    queued_tokens: int
    models: tuple[tuple[str, str], ...]


class OrderAction(enum.Enum):
    """What an engine is ordered to do."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


@dataclass(frozen=True)
class Order:
    """An order to a backend server; higher fencing numbers win."""

    order_id: str
    fencing: int
    action: OrderAction
    model: str = ""
    version: str = ""
    role: str = ""


@dataclass(frozen=True)
class OrderResponse:
    """The answer to an order; `reason` says why it was refused."""

    accepted: bool
    reason: str = ""


class EngineControl(ABC):
    """The control calls of one kind of engine, for servers by address."""

    @abstractmethod
    def load(self, address: str) -> LoadReport:
        """Return the engine's load report; raise `EngineError` on failure."""

    @abstractmethod
    def cache_events(self, address: str, after: int) -> CacheEvents:
        """Return the cache events after a sequence number."""

    @abstractmethod
    def order(self, address: str, order: Order) -> OrderResponse:
        """Give the engine an order and return its answer."""

    @abstractmethod
    def cancel(self, address: str, request_id: str) -> None:
        """Cancel a running request."""

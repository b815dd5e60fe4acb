"""Control calls to model engines, and the polling of their state."""

from cassiaford.engines._http import HttpEngineControl, create_engine_control
from cassiaford.engines._poller import EngineObserver, EnginePoller, create_poller
from cassiaford.engines._prompt import (
    BLOCK_BYTES,
    BYTES_PER_TOKEN,
    block_chain,
    cache_scope,
    prompt_text,
    shared_parts,
)
from cassiaford.engines._protocol import (
    CacheEvent,
    CacheEventKind,
    CacheEvents,
    EngineControl,
    EngineError,
    LoadReport,
    Order,
    OrderAction,
    OrderResponse,
)

__all__ = [
    "BLOCK_BYTES",
    "BYTES_PER_TOKEN",
    "CacheEvent",
    "CacheEventKind",
    "CacheEvents",
    "EngineControl",
    "EngineError",
    "EngineObserver",
    "EnginePoller",
    "HttpEngineControl",
    "LoadReport",
    "Order",
    "OrderAction",
    "OrderResponse",
    "block_chain",
    "cache_scope",
    "create_engine_control",
    "create_poller",
    "prompt_text",
    "shared_parts",
]

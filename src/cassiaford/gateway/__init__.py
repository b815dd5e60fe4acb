"""The gateway: an entry instance that runs in one event loop on a platform.

It uses the platform through interfaces such as `Dialect`, `RecordDecoder` and
`SharedStore`, which an adapter for that platform implements.
"""

from cassiaford._hop_by_hop import HOP_BY_HOP
from cassiaford.gateway._adapter import PlatformAdapter
from cassiaford.gateway._configuration import (
    CallerLimits,
    Configuration,
    Customer,
    EngineSpec,
    PrefixStore,
    RequestKind,
    Route,
    Service,
    Target,
)
from cassiaford.gateway._dialect import (
    Dialect,
    Directory,
    MalformedError,
    ReadinessProbe,
    RecordDecoder,
)
from cassiaford.gateway._engine_control import (
    EngineCallError,
    EngineControl,
    EngineReport,
    OrderResponse,
    VersionOrder,
    WrongServerError,
)
from cassiaford.gateway._gateway import Gateway
from cassiaford.gateway._http_caller import CallFailedError, HttpClient, Reply
from cassiaford.gateway._messages import (
    BackendServer,
    Forwarding,
    Headers,
    HttpRequest,
    PromptPart,
    RequestMetadata,
    ResponseMetadata,
)
from cassiaford.gateway._server_connection import ConnectionPool
from cassiaford.gateway._settings import (
    GatewayAddresses,
    GatewaySettings,
    RetryLimits,
)
from cassiaford.gateway._store import (
    Change,
    Changes,
    Committed,
    Condition,
    Conflict,
    HistoryLostError,
    Item,
    LeaseEndedError,
    Page,
    SharedStore,
    StoreDisconnectedError,
    StoreError,
    StoreRefusedError,
    Write,
)

__all__ = [
    "HOP_BY_HOP",
    "BackendServer",
    "CallFailedError",
    "CallerLimits",
    "Change",
    "Changes",
    "Committed",
    "Condition",
    "Configuration",
    "Conflict",
    "ConnectionPool",
    "Customer",
    "Dialect",
    "Directory",
    "EngineCallError",
    "EngineControl",
    "EngineReport",
    "EngineSpec",
    "Forwarding",
    "Gateway",
    "GatewayAddresses",
    "GatewaySettings",
    "PlatformAdapter",
    "Headers",
    "HistoryLostError",
    "HttpClient",
    "HttpRequest",
    "Item",
    "LeaseEndedError",
    "MalformedError",
    "OrderResponse",
    "WrongServerError",
    "Page",
    "PrefixStore",
    "PromptPart",
    "ReadinessProbe",
    "RecordDecoder",
    "Reply",
    "RequestMetadata",
    "RequestKind",
    "RetryLimits",
    "ResponseMetadata",
    "Route",
    "Service",
    "SharedStore",
    "StoreDisconnectedError",
    "StoreError",
    "StoreRefusedError",
    "Target",
    "VersionOrder",
    "Write",
]

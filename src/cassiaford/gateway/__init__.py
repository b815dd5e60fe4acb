"""The gateway: an entry instance as one event loop, on a shared platform.

It speaks through a `Dialect`, `Records` and a `SharedStore`, which an adapter
implements for the platform that it runs on.
"""

from cassiaford._hop_by_hop import HOP_BY_HOP
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
    Records,
)
from cassiaford.gateway._engine_control import (
    EngineCallError,
    EngineControl,
    EngineReport,
    OrderAnswer,
    OtherServerError,
    VersionOrder,
)
from cassiaford.gateway._gateway import Gateway
from cassiaford.gateway._http_caller import CallFailedError, HttpCaller, Reply
from cassiaford.gateway._messages import (
    BackendServer,
    Forwarding,
    Headers,
    HttpRequest,
    PromptPart,
    RequestFacts,
    ResponseFacts,
)
from cassiaford.gateway._server_connection import ConnectionPool
from cassiaford.gateway._settings import (
    GatewayAddresses,
    GatewaySettings,
    ResendLimits,
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
    StoreError,
    StoreRefusedError,
    Write,
)
from cassiaford.gateway._world import GatewayWorld

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
    "GatewayWorld",
    "Headers",
    "HistoryLostError",
    "HttpCaller",
    "HttpRequest",
    "Item",
    "LeaseEndedError",
    "MalformedError",
    "OrderAnswer",
    "OtherServerError",
    "Page",
    "PrefixStore",
    "PromptPart",
    "ReadinessProbe",
    "Records",
    "Reply",
    "RequestFacts",
    "RequestKind",
    "ResendLimits",
    "ResponseFacts",
    "Route",
    "Service",
    "SharedStore",
    "StoreError",
    "StoreRefusedError",
    "Target",
    "VersionOrder",
    "Write",
]

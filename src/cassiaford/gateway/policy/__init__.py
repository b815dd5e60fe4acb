"""Decisions of the gateway, without a clock, sockets or global randomness.

Times are seconds on a monotonic clock that the caller reads.
"""

from cassiaford.gateway.policy._crash_evidence import BrokenRequest, CrashEvidence
from cassiaford.gateway.policy._decode_times import DecodeTimes
from cassiaford.gateway.policy._engine_placer import (
    EnginePlacer,
    EngineView,
    Placement,
)
from cassiaford.gateway.policy._engine_queue import PlacedWork
from cassiaford.gateway.policy._fleet_rates import (
    FleetRates,
    Limit,
    ReserveSettlement,
)
from cassiaford.gateway.policy._generation import GenerationRequest, Prefix
from cassiaford.gateway.policy._late_requests import WaitingPrompts, should_wait
from cassiaford.gateway.policy._load_times import LoadTimes
from cassiaford.gateway.policy._named_versions import (
    NamedVersions,
    VersionAge,
    VersionSource,
)
from cassiaford.gateway.policy._peer_table import PeerState, PeerTable
from cassiaford.gateway.policy._recent_values import RecentValues
from cassiaford.gateway.policy._registry import ServerRegistry
from cassiaford.gateway.policy._retry_budget import RetryBudget
from cassiaford.gateway.policy._rollout import LoadOrder, Rollout, RolloutServer
from cassiaford.gateway.policy._server_health import ServerHealth
from cassiaford.gateway.policy._service_placer import PlainServer, ServicePlacer
from cassiaford.gateway.policy._stop_schedule import StopSchedule
from cassiaford.gateway.policy._weights_bound import START_MARGIN_S, WeightsBound

__all__ = [
    "START_MARGIN_S",
    "BrokenRequest",
    "CrashEvidence",
    "DecodeTimes",
    "EnginePlacer",
    "EngineView",
    "FleetRates",
    "GenerationRequest",
    "Limit",
    "LoadOrder",
    "LoadTimes",
    "NamedVersions",
    "PeerState",
    "PeerTable",
    "ReserveSettlement",
    "PlacedWork",
    "Placement",
    "PlainServer",
    "Prefix",
    "RecentValues",
    "RetryBudget",
    "Rollout",
    "RolloutServer",
    "ServerHealth",
    "ServerRegistry",
    "ServicePlacer",
    "StopSchedule",
    "VersionAge",
    "VersionSource",
    "WaitingPrompts",
    "WeightsBound",
    "should_wait",
]

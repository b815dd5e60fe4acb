"""Decisions of the gateway, free of clock, socket and global randomness.

Times are seconds on a monotonic clock that the caller reads.
"""

from cassiaford.gateway.policy._engine_book import EnginePlacer, EngineView, Placement
from cassiaford.gateway.policy._engine_queue import PlacedWork
from cassiaford.gateway.policy._fleet_rates import FleetRates, Limit
from cassiaford.gateway.policy._generation import GenerationRequest, Prefix
from cassiaford.gateway.policy._late_requests import WaitingPrompts, should_wait
from cassiaford.gateway.policy._named_versions import NamedVersions
from cassiaford.gateway.policy._peer_table import PeerState, PeerTable
from cassiaford.gateway.policy._registry import ServerRegistry
from cassiaford.gateway.policy._roll_out import GiveOrder, Rollout, RollOutServer
from cassiaford.gateway.policy._run_times import RunTimes
from cassiaford.gateway.policy._send_budget import RetryBudget
from cassiaford.gateway.policy._server_trust import ServerHealth
from cassiaford.gateway.policy._service_book import PlainServer, ServicePlacer

__all__ = [
    "EnginePlacer",
    "EngineView",
    "FleetRates",
    "GenerationRequest",
    "GiveOrder",
    "Limit",
    "NamedVersions",
    "PeerState",
    "PeerTable",
    "PlacedWork",
    "Placement",
    "PlainServer",
    "Prefix",
    "Rollout",
    "RollOutServer",
    "RunTimes",
    "RetryBudget",
    "ServerRegistry",
    "ServerHealth",
    "ServicePlacer",
    "WaitingPrompts",
    "should_wait",
]

"""What all exchanges of a gateway share."""

import random
from dataclasses import dataclass

from cassiaford.gateway._begun_streams import BegunStreams
from cassiaford.gateway._crashes import CrashMonitor
from cassiaford.gateway._dialect import Dialect
from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._placer import Placer
from cassiaford.gateway._prober import ServerProber
from cassiaford.gateway._server_connection import ConnectionPool
from cassiaford.gateway._stream_origins import SoleOrigins, StreamOrigins
from cassiaford.gateway._view import View
from cassiaford.gateway.policy import RetryBudget, ServerHealth, StopSchedule


@dataclass(frozen=True)
class ExchangeContext:
    """The collaborators and state that all exchanges share."""

    dialect: Dialect
    view: View
    placer: Placer
    health: ServerHealth
    prober: ServerProber
    pool: ConnectionPool
    crashes: CrashMonitor
    budgets: dict[str, RetryBudget]
    log: EventLog
    rng: random.Random
    origins: StreamOrigins
    sole_origins: SoleOrigins
    begun: BegunStreams
    stop: StopSchedule

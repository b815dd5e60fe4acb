"""The connection of a gateway to the platform that it runs on."""

from dataclasses import dataclass

from cassiaford.gateway._dialect import (
    Dialect,
    Directory,
    ReadinessProbe,
    RecordDecoder,
)
from cassiaford.gateway._engine_control import EngineControl
from cassiaford.gateway._server_connection import ConnectionPool
from cassiaford.gateway._store import SharedStore


@dataclass
class PlatformAdapter:
    """The platform's translations and connections that a gateway uses."""

    dialect: Dialect
    records: RecordDecoder
    directory: Directory
    probe: ReadinessProbe
    store: SharedStore
    control: EngineControl
    pool: ConnectionPool

"""Starts a gateway on the platform."""

import asyncio
import os
import pathlib
import sys

from cassiaford.gateway import ConnectionPool, Gateway, HttpClient, PlatformAdapter
from cassiaford.logs import NonBlockingStream, configure_logging
from cassiaford.platform._dialect import PlatformDialect
from cassiaford.platform._directory import PlatformDirectory, PlatformProbe
from cassiaford.platform._engines import MAX_REPORT_BYTES, PlatformEngineControl
from cassiaford.platform._records import PlatformRecordDecoder
from cassiaford.platform._settings import PATH_VARIABLE, read_settings
from cassiaford.platform._store import PlatformStore


def create_adapter(store_address: str, pool: ConnectionPool) -> PlatformAdapter:
    """Return the platform's implementations of the gateway's interfaces."""
    client = HttpClient(pool)
    return PlatformAdapter(
        dialect=PlatformDialect(),
        records=PlatformRecordDecoder(),
        directory=PlatformDirectory(),
        probe=PlatformProbe(),
        store=PlatformStore(store_address, client),
        control=PlatformEngineControl(HttpClient(pool, MAX_REPORT_BYTES)),
        pool=pool,
    )


async def serve(path: pathlib.Path) -> None:
    """Serve with the settings in a file until SIGTERM."""
    settings = read_settings(path)
    adapter = create_adapter(settings.store_address, ConnectionPool())
    gateway = Gateway(settings, adapter, reload=lambda: read_settings(path))
    await gateway.run()


def main() -> None:
    """Serve with the settings file named by the environment."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        sys.exit(f"{PATH_VARIABLE} must be set to the path of the settings file")
    configure_logging("json", "info", NonBlockingStream(sys.stdout.fileno()))
    asyncio.run(serve(pathlib.Path(path)))

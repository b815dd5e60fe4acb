"""Attaching connected sockets to an event loop."""

import asyncio
import socket
from collections.abc import Callable


async def connect_socket(
    loop: asyncio.AbstractEventLoop,
    sock: socket.socket,
    protocol: asyncio.Protocol,
    on_ready: Callable[[], None],
    on_failed: Callable[[], None],
) -> None:
    """Attach a connected socket to a protocol; the event loop then owns it.

    `on_ready` is called once the protocol has its transport. If the socket can
    no longer be used, it is closed and `on_failed` is called.
    """
    try:
        await loop.connect_accepted_socket(lambda: protocol, sock)
    except (OSError, ValueError):
        sock.close()
        on_failed()
    else:
        on_ready()

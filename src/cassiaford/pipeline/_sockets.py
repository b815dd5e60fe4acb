"""Attaching connected sockets to an event loop."""

import asyncio
import socket
from collections.abc import Callable


async def connect_socket(
    loop: asyncio.AbstractEventLoop,
    sock: socket.socket,
    protocol: asyncio.Protocol,
    ready: Callable[[], None],
    failed: Callable[[], None],
) -> None:
    """Let a protocol serve a connected socket; the loop owns it from now on.

    Calls `ready` once the protocol has its transport. A socket that is of no
    use any more is closed, and `failed` is called.
    """
    try:
        await loop.connect_accepted_socket(lambda: protocol, sock)
    except (OSError, ValueError):
        sock.close()
        failed()
    else:
        ready()

"""The withdrawal of requests that have not begun on their servers in time."""

import asyncio
import contextlib
import math
from collections.abc import Callable

from cassiaford.gateway._server_connection import ExchangeError
from cassiaford.verdict import Failure

# The limit may change while a request waits.
RECHECK_INTERVAL_S = 0.25


@contextlib.asynccontextmanager
async def start_limit(limit: Callable[[], float]):
    """Limit the time of what waits for the start of a response.

    `limit` returns the time on the event loop's clock at which the request is
    withdrawn; infinity stands for no limit. Raises `ExchangeError` then.
    """
    loop = asyncio.get_running_loop()
    timer = None

    def update():
        nonlocal timer
        if timeout.expired():
            return
        withdraw_at = limit()
        timeout.reschedule(None if withdraw_at == math.inf else withdraw_at)
        timer = loop.call_later(RECHECK_INTERVAL_S, update)

    timeout = asyncio.timeout(None)
    try:
        async with timeout:
            update()
            try:
                yield
            finally:
                timer.cancel()
    except TimeoutError as error:
        if not timeout.expired():
            raise
        raise ExchangeError(Failure.WITHDRAWN) from error

"""Running the parts of a gateway that go on beside requests."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from cassiaford.gateway._event_log import EventLog
from cassiaford.logs import Event

# A part that failed is started again after this time.
RESTART_AFTER_S = 0.2
# Characters of a traceback that go into the log.
MOST_CAUSE = 2000


async def run_with_restarts(part: Callable[[], Awaitable[None]], log: EventLog) -> None:
    """Run a part; one that fails is logged and started again."""
    while True:
        try:
            await part()
        except Exception as error:
            cause = "".join(traceback.format_exception(error))
            log.write(Event.BACKGROUND_TASK_FAILED, cause=cause[-MOST_CAUSE:])
        await asyncio.sleep(RESTART_AFTER_S)

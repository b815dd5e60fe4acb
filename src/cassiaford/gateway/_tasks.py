"""Background tasks of a gateway that are restarted after a failure."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from cassiaford.gateway._event_log import EventLog
from cassiaford.logs import Event

RESTART_DELAY_S = 0.2
# Only the end of a longer traceback is logged.
MAX_CAUSE_CHARACTERS = 2000


async def run_with_restarts(task: Callable[[], Awaitable[None]], log: EventLog) -> None:
    """Run a task; log a failure and start the task again."""
    while True:
        try:
            await task()
        except Exception as error:
            cause = "".join(traceback.format_exception(error))
            log.write(Event.BACKGROUND_TASK_FAILED, cause=cause[-MAX_CAUSE_CHARACTERS:])
        await asyncio.sleep(RESTART_DELAY_S)

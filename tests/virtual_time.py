"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors


class _NoWaitSelector(selectors.DefaultSelector):
    """Returns at once, and records the time that a caller wanted to wait."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Return what is ready, after a virtual wait."""
        if timeout is not None and timeout > 0:
            self.now += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs coroutines that only sleep and wait for each other, in no real time."""

    def __init__(self):
        self.selector = _NoWaitSelector()
        super().__init__(self.selector)

    def time(self):
        """Return the virtual time in seconds."""
        return self.selector.now


def run_in_virtual_time(coroutine):
    """Run a coroutine on a virtual clock and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)

"""The decision which requests wait while engines are overloaded.

An engine prefills prompts in the order in which it receives them. Once its
queue takes longer than callers want to wait, every request is late, although
the engine serves as many as before. A request that will be late anyway loses
nothing if those that can still be in time go first. So it waits at its
instance until an engine's queue is short, as long as all waiting prompts can
still be prefilled before their callers leave.
"""

from cassiaford.gateway.policy._engine_placer import Placement

# Reports of work reach other instances this late, so shorter queues cannot be
# distinguished from empty ones.
SHORT_QUEUE_S = 0.1
# Under load a first token may come this much later than expected.
ESTIMATE_ERROR_S = 0.6
# A late request waits no longer than this beyond its target.
MAX_WAIT_S = 1.5


class WaitingPrompts:
    """The prompts that wait at one instance, and their prefill times.

    Examples
    --------
    >>> waiting = WaitingPrompts()
    >>> waiting.add("r1", 0.5)
    >>> waiting.prefill_s_per_engine(instances=6, engines=3)
    1.0
    """

    def __init__(self):
        self.prefill_s: dict[str, float] = {}

    def add(self, request_id: str, prefill_s: float) -> None:
        """Add a waiting request with the time that its prefill takes."""
        self.prefill_s[request_id] = prefill_s

    def remove(self, request_id: str) -> None:
        """Remove a request that no longer waits."""
        self.prefill_s.pop(request_id, None)

    def prefill_s_per_engine(self, instances: int, engines: int) -> float:
        """Return the waiting work per engine, if all instances have as much."""
        return sum(self.prefill_s.values()) * instances / max(1, engines)


def should_wait(
    placement: Placement,
    age_s: float,
    target_s: float,
    patience_s: float,
    waiting_s: float = 0.0,
) -> bool:
    """Return whether a request should let others go first.

    `age_s` is the time since its arrival, `target_s` the time from arrival
    within which its first token should come, and `patience_s` the time after
    which its caller leaves without one. `waiting_s` is the waiting work per
    engine.

    Examples
    --------
    >>> from cassiaford.gateway.policy import EngineView
    >>> engine = EngineView("e", "e", 8, 100_000)
    >>> late = Placement(engine, first_token_s=0.7, prefill_s=0.1, queue_s=0.6)
    >>> should_wait(late, age_s=0.0, target_s=0.8, patience_s=3.0)
    False
    >>> should_wait(late, age_s=0.0, target_s=0.4, patience_s=3.0)
    True
    >>> should_wait(late, age_s=0.0, target_s=0.4, patience_s=3.0, waiting_s=1.3)
    False
    """
    first_token_s = age_s + placement.first_token_s
    if placement.queue_s <= SHORT_QUEUE_S or first_token_s <= target_s:
        return False
    deadline_s = min(patience_s - ESTIMATE_ERROR_S, target_s + MAX_WAIT_S)
    return first_token_s + waiting_s < deadline_s

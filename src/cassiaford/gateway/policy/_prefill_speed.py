"""The prefill speed of engines, estimated from the times of first tokens."""

import statistics

# Prefill speed that is assumed at first, and the bounds of the estimate.
INITIAL_TOKENS_PER_S = 60_000.0
MIN_TOKENS_PER_S = 15_000.0
MAX_TOKENS_PER_S = 500_000.0
# Weight of the initial speed and of all earlier measurements, in tokens: a few
# seconds of an engine's work.
INITIAL_WEIGHT_TOKENS = 40_000.0
MAX_WEIGHT_TOKENS = 400_000.0
# Shorter prefills depend more on the network than on the engine.
MIN_SAMPLE_TOKENS = 500
MIN_SAMPLE_S = 0.005


class PrefillSpeed:
    """The prefill speed of a service's engines, which are assumed to be alike.

    Tokens and seconds are summed separately, so that a prefill that took long
    for another reason weighs no more than its length. Instances exchange their
    estimates and use the median, since each sees few first tokens.

    Examples
    --------
    >>> speed = PrefillSpeed()
    >>> for _ in range(500):
    ...     speed.record_prefill(tokens=10_000, seconds=0.1)
    >>> round(speed.tokens_per_s)
    100000
    """

    def __init__(self):
        self.tokens = INITIAL_WEIGHT_TOKENS
        self.seconds = INITIAL_WEIGHT_TOKENS / INITIAL_TOKENS_PER_S
        self.peer_speeds: dict[str, float] = {}
        self.tokens_per_s = INITIAL_TOKENS_PER_S

    @property
    def own_tokens_per_s(self) -> float:
        """This instance's own estimate."""
        speed = self.tokens / self.seconds
        return min(max(speed, MIN_TOKENS_PER_S), MAX_TOKENS_PER_S)

    def update_from_peer(self, peer: str, tokens_per_s: float) -> None:
        """Record a peer's estimate."""
        self.peer_speeds[peer] = tokens_per_s
        self._update_median()

    def remove_peer(self, peer: str) -> None:
        """Remove the estimate of a lost peer."""
        self.peer_speeds.pop(peer, None)
        self._update_median()

    def record_prefill(self, tokens: float, seconds: float) -> None:
        """Record the duration of a prefill."""
        if tokens < MIN_SAMPLE_TOKENS or seconds < MIN_SAMPLE_S:
            return
        self.tokens += tokens
        self.seconds += seconds
        retained = min(1.0, MAX_WEIGHT_TOKENS / self.tokens)
        self.tokens *= retained
        self.seconds *= retained
        self._update_median()

    def _update_median(self):
        self.tokens_per_s = statistics.median(
            [self.own_tokens_per_s, *self.peer_speeds.values()]
        )

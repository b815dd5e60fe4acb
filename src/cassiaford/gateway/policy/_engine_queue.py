"""The prompts that the fleet has sent to one engine, and when they are computed.

An engine prefills prompts in the order in which it receives them. So when a
response starts, all that was sent before it has been computed, and the queue is
what was sent since. All instances count in tokens, which mean the same to each.
"""

from dataclasses import dataclass, field

from cassiaford.gateway.policy._prefill_speed import PrefillSpeed

# Time from the end of a prefill until its first token reaches the instance.
FIRST_TOKEN_LATENCY_S = 0.07
# Weight of one first token in the estimate of the queue. Peers report their
# work a little late, so one observation alone is not trusted.
CORRECTION_WEIGHT = 0.5


@dataclass(frozen=True)
class PlacedWork:
    """What a peer has placed on an engine.

    `prefill_tokens` is the total since the peer's start. `running` requests
    with `tokens` are there now; `unstarted` of them wait for their first token.
    """

    prefill_tokens: int
    running: int
    tokens: int
    unstarted: int = 0


NO_WORK = PlacedWork(0, 0, 0)


@dataclass(frozen=True)
class _SentRequest:
    """A request that this instance has on the engine.

    `tokens` is the memory that it takes. `sent_total` is the number of tokens
    sent to the engine up to and including it. `alone` says that the engine was
    idle when it was sent.
    """

    tokens: int
    prefill_tokens: float
    sent_at: float
    sent_total: float
    alone: bool


@dataclass
class EngineQueue:
    """One engine's queue as one instance estimates it.

    `sent_tokens` counts the prefill tokens that all instances are known to have
    sent there, `own_sent_tokens` those of this instance.
    """

    speed: PrefillSpeed
    busy_until: float = 0.0
    sent_tokens: float = 0.0
    own_sent_tokens: float = 0.0
    own_requests: dict[str, _SentRequest] = field(default_factory=dict)
    own_tokens: int = 0
    own_unstarted: set[str] = field(default_factory=set)
    peer_work: dict[str, PlacedWork] = field(default_factory=dict)
    # The `sent_total` of the latest first token, and the end of its prefill.
    last_prefill: tuple[float, float] | None = None

    @property
    def running(self) -> int:
        """The number of requests that the fleet runs there."""
        return len(self.own_requests) + sum(p.running for p in self.peer_work.values())

    @property
    def unstarted(self) -> int:
        """The number of the fleet's requests there without a first token."""
        reported = sum(p.unstarted for p in self.peer_work.values())
        return len(self.own_unstarted) + reported

    @property
    def tokens(self) -> int:
        """The tokens of the requests that the fleet runs there."""
        return self.own_tokens + sum(p.tokens for p in self.peer_work.values())

    def own_work(self) -> PlacedWork:
        """Return what this instance has placed, for its peers."""
        return PlacedWork(
            round(self.own_sent_tokens),
            len(self.own_requests),
            self.own_tokens,
            len(self.own_unstarted),
        )

    def record_start(
        self, request_id: str, tokens: int, prefill_tokens: float, now: float
    ) -> None:
        """Record a request that this instance sends."""
        alone = not self.running and self.busy_until <= now
        self._add(prefill_tokens, now)
        self.own_sent_tokens += prefill_tokens
        self.own_requests[request_id] = _SentRequest(
            tokens, prefill_tokens, now, self.sent_tokens, alone
        )
        self.own_tokens += tokens
        self.own_unstarted.add(request_id)

    def record_first_token(self, request_id: str, now: float) -> None:
        """Correct the queue and the prefill speed by a first token."""
        sent = self.own_requests.get(request_id)
        if sent is None:
            return
        self.own_unstarted.discard(request_id)
        prefilled_at = now - FIRST_TOKEN_LATENCY_S
        queued = max(0.0, self.sent_tokens - sent.sent_total)
        self._measure_speed(sent, prefilled_at)
        self.last_prefill = (sent.sent_total, prefilled_at)
        busy_until = prefilled_at + queued / self.speed.tokens_per_s
        self.busy_until += CORRECTION_WEIGHT * (busy_until - self.busy_until)

    def record_end(self, request_id: str) -> None:
        """Record the end of a request."""
        self.own_unstarted.discard(request_id)
        sent = self.own_requests.pop(request_id, None)
        self.own_tokens -= sent.tokens if sent is not None else 0

    def cancel(self, request_id: str) -> None:
        """Remove a request that the engine did not start."""
        sent = self.own_requests.get(request_id)
        if sent is not None:
            self.busy_until -= sent.prefill_tokens / self.speed.tokens_per_s
            self.sent_tokens -= sent.prefill_tokens
            self.own_sent_tokens -= sent.prefill_tokens
        self.record_end(request_id)

    def update_from_peer(
        self, peer: str, placed: PlacedWork, known: bool, now: float
    ) -> float:
        """Apply what a peer has placed; return the prefill tokens that are new.

        A `known` peer that did not name the engine before had no work there.
        """
        before = self.peer_work.get(peer)
        self.peer_work[peer] = placed
        if before is None and not known:
            return 0.0
        added = placed.prefill_tokens - (before or NO_WORK).prefill_tokens
        if added <= 0:
            return 0.0
        self._add(added, now)
        return added

    def _add(self, prefill_tokens, now):
        self.sent_tokens += prefill_tokens
        prefill_s = prefill_tokens / self.speed.tokens_per_s
        self.busy_until = max(now, self.busy_until) + prefill_s

    def _measure_speed(self, sent, prefilled_at):
        if self.last_prefill is not None and sent.sent_at <= self.last_prefill[1]:
            # It was queued when the prefill before it ended, so that the
            # engine was busy all the time between the two.
            sent_total, since = self.last_prefill
            self.speed.record_prefill(
                sent.sent_total - sent_total, prefilled_at - since
            )
        elif sent.alone:
            self.speed.record_prefill(sent.prefill_tokens, prefilled_at - sent.sent_at)

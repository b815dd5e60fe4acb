"""The estimated queue and prefill speed of one backend server."""

import collections
from dataclasses import dataclass

from cassiaford.engines import LoadReport
from cassiaford.policy._placement import PlacementRequest, ServerView

# A report describes the state of the backend server about this long before it
# arrives.
REPORT_LAG_S = 0.3
# An older report does not show how many slots are in use now.
MAX_REPORT_AGE_S = 3.0
# A peer's prompt is included in the load reports after this time: two polls
# and the lag of a report.
PEER_PROMPT_TTL_S = 1.3
# The time for which a request is expected to occupy its slot.
EXPECTED_REQUEST_S = 10.0
# Slots that other instances are expected to fill before a request arrives.
RESERVED_SLOTS = 3
# The cost of a server whose slots are all in use. The cost is proportional to the
# fourth power of the occupancy; it spreads hot prefixes before their homes are full.
FULL_SERVER_COST_S = 2.0
# The limit of running and waiting requests on a server, for each slot. Requests
# that wait on a server have priorities but no fair shares; here they have both.
MAX_OCCUPANCY = 1.25
# With fewer tokens to compute, the time depends more on the network than the speed.
MIN_TOKENS_FOR_SPEED = 2048
# The estimated speed moves by this fraction towards each measured one, so that
# it stays near their median and a single wrong estimate has little effect.
SPEED_STEP_FRACTION = 0.03
# Speeds are measured on requests with at most this fraction of their tokens
# waiting ahead of them.
MAX_TOKENS_AHEAD_FRACTION = 0.1
# The estimated speed stays within this factor of the initial one.
MAX_SPEED_FACTOR = 8.0


@dataclass(frozen=True)
class SentRequest:
    """A request on a backend server that has no first token yet.

    `tokens` is the number of its prompt tokens to compute, `tokens_ahead` the
    number that waited ahead of it, and `cached_blocks` the number of leading
    blocks that were assumed to be cached when it was sent.
    """

    request: PlacementRequest
    tokens: int
    tokens_ahead: float
    sent_at: float
    cached_blocks: int


class ServerLoad:
    """The estimated load of one backend server, as one instance sees it.

    `mask` is the server's bit in the masks of the block table; it is set there
    only if `may_have_blocks`. Reports lag, so requests of this instance that
    they cannot include yet are added to them.
    """

    def __init__(self, mask: int, tokens_per_s: float):
        self.mask = mask
        self.tokens_per_s = tokens_per_s
        self.initial_tokens_per_s = tokens_per_s
        self.incarnation = None
        self.events_since = None
        self.may_have_blocks = False
        self.report = None
        self.reported_at = 0.0
        self.sent = {}
        self.own_tokens = 0
        self.unreported_tokens = 0
        self.unreported_requests = 0
        # For prompts that peers sent: when they were reported, and their tokens.
        self.peer_prompts = collections.deque()

    def waiting_tokens(self, now: float) -> float:
        """Return the number of prompt tokens ahead of a new request."""
        peer_tokens = self._peer_tokens(now)
        if self.report is None:
            return self.own_tokens + peer_tokens
        drained = max(0.0, now - self.reported_at) * self.tokens_per_s
        reported = max(0.0, self.report.queued_tokens - drained)
        return max(self.own_tokens, reported + self.unreported_tokens + peer_tokens)

    def add_peer_prompt(self, tokens: int, now: float) -> None:
        """Add a prompt that another instance sent to the server."""
        self.peer_prompts.append((now, tokens))

    def slot_wait(self, view: ServerView, now: float) -> tuple[float, bool]:
        """Return the expected delay, and whether the server is full.

        The delay is the wait for a slot and a cost that grows with the occupancy.
        """
        occupied = self._occupied(view.in_flight, now)
        missing_slots = max(0, occupied + RESERVED_SLOTS - view.slots)
        full = occupied >= MAX_OCCUPANCY * view.slots
        occupancy_cost_s = FULL_SERVER_COST_S * (occupied / view.slots) ** 4
        return missing_slots * EXPECTED_REQUEST_S / view.slots + occupancy_cost_s, full

    def _occupied(self, in_flight: int, now: float) -> int:
        if self.report is None or now - self.reported_at > MAX_REPORT_AGE_S:
            return in_flight
        reported = self.report.running + self.report.waiting
        return max(in_flight, reported + self.unreported_requests)

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Apply a load report of the current incarnation."""
        self.report = report
        self.reported_at = now
        horizon = now - REPORT_LAG_S
        unreported = [sent for sent in self.sent.values() if sent.sent_at > horizon]
        self.unreported_requests = len(unreported)
        self.unreported_tokens = sum(sent.tokens for sent in unreported)
        self._expire_peer_prompts(horizon)

    def add(self, sent: SentRequest) -> None:
        """Add a request that was sent to the server."""
        self.sent[sent.request.request_id] = sent
        self.own_tokens += sent.tokens
        self.unreported_tokens += sent.tokens
        self.unreported_requests += 1

    def remove(self, request_id: str) -> SentRequest | None:
        """Remove a request that got its first token or ended; return it, if any."""
        sent = self.sent.pop(request_id, None)
        if sent is not None:
            self.own_tokens -= sent.tokens
            self.unreported_tokens = max(0, self.unreported_tokens - sent.tokens)
        return sent

    def update_speed(self, sent: SentRequest, now: float) -> None:
        """Adjust the estimated speed to the time that one prompt took."""
        elapsed = now - sent.sent_at
        if sent.tokens < MIN_TOKENS_FOR_SPEED or elapsed <= 0:
            return
        if sent.tokens_ahead > MAX_TOKENS_AHEAD_FRACTION * sent.tokens:
            return
        measured = (sent.tokens + sent.tokens_ahead) / elapsed
        step = (
            SPEED_STEP_FRACTION
            if measured > self.tokens_per_s
            else -SPEED_STEP_FRACTION
        )
        speed = self.tokens_per_s * (1.0 + step)
        lowest = self.initial_tokens_per_s / MAX_SPEED_FACTOR
        highest = self.initial_tokens_per_s * MAX_SPEED_FACTOR
        self.tokens_per_s = min(highest, max(lowest, speed))

    def _peer_tokens(self, now):
        self._expire_peer_prompts(now - PEER_PROMPT_TTL_S)
        return sum(tokens for _, tokens in self.peer_prompts)

    def _expire_peer_prompts(self, horizon):
        while self.peer_prompts and self.peer_prompts[0][0] <= horizon:
            self.peer_prompts.popleft()

    def enter_incarnation(self, incarnation: str) -> None:
        """Switch to another incarnation."""
        if self.incarnation is not None:
            self.report = None
            self.peer_prompts.clear()
            self.events_since = None
            self.tokens_per_s = self.initial_tokens_per_s
        self.incarnation = incarnation

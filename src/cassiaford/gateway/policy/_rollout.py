"""The choice of the engines that load new weights, and when.

The whole fleet takes a few engines at a time out of use, orders them to load,
and uses them again when they report the new weights. An engine is ordered to
load the version that is newest at that moment, so a version that is replaced
before an engine's turn is never loaded there.
"""

import enum
import math
from collections.abc import Hashable, Iterable
from dataclasses import dataclass

from cassiaford.gateway.policy._named_versions import NamedVersions
from cassiaford.gateway.policy._weights_bound import START_MARGIN_S, WeightsBound

# Weights load more slowly when more than about a third of the engines load.
MAX_LOADING_FRACTION = 1 / 3
# The engines that stay in use must not be busier than this with prefill.
MAX_BUSY_FRACTION = 0.6
# Time until every instance knows that an engine is out of use.
OUT_OF_USE_DELAY_S = 0.15
# An order makes the engine reject requests without a first token, so they are
# waited for, but no longer than a long prompt takes on a busy engine.
MAX_FIRST_TOKEN_WAIT_S = 0.6
# An order without effect is repeated after this time.
ORDER_RETRY_S = 2.5
# After this fraction of the time for a version, more engines load at once.
URGENT_FRACTION = 0.65
URGENT_FACTOR = 2


class _Step(enum.Enum):
    OUT_OF_USE = 1
    ORDERED = 2


@dataclass(frozen=True)
class RolloutServer:
    """An engine, its version of a model, and its load.

    `tokens` are those of the requests that run on it, `unstarted` counts the
    requests without a first token.
    """

    key: Hashable
    model: str
    version: int
    tokens: int
    unstarted: int = 0


@dataclass(frozen=True)
class LoadOrder:
    """A request to order an engine to load a version."""

    key: Hashable
    model: str
    version: int


@dataclass
class _Turn:
    """The step that an engine in its turn has reached, and when.

    `model` and `version` are those of its last order.
    """

    step: _Step
    since: float
    model: str = ""
    version: int = 0


class Rollout:
    """Plans the loads, for the one instance that gives orders.

    `bound` tells until when requests may begin on replaced weights.

    Examples
    --------
    >>> named = NamedVersions()
    >>> rollout = Rollout(named, deadline_s=6.0)
    >>> named.add("m", 2, now=0.0)
    True
    >>> engines = [RolloutServer(name, "m", 1, 0) for name in "abc"]
    >>> rollout.plan(engines, 0.0), sorted(rollout.out_of_use)
    ([], ['a'])
    >>> rollout.plan(engines, 0.2)
    [LoadOrder(key='a', model='m', version=2)]
    """

    def __init__(self, named_versions: NamedVersions, deadline_s: float):
        self.named_versions = named_versions
        self.bound = WeightsBound(named_versions, deadline_s)
        self.turns: dict[Hashable, _Turn] = {}
        self.demand = 0.0

    @property
    def out_of_use(self) -> set[Hashable]:
        """The engines that should get no new requests."""
        return set(self.turns)

    def outdated(self, servers: Iterable[RolloutServer]) -> list[RolloutServer]:
        """Return the engines whose version is not the newest."""
        return [s for s in servers if s.version < self.named_versions.newest(s.model)]

    def plan(
        self, servers: Iterable[RolloutServer], now: float, demand: float = 0.0
    ) -> list[LoadOrder]:
        """Return the orders that are due, and start the turns of further engines.

        `demand` is the number of engines that prompts keep busy.
        """
        servers = list(servers)
        self.demand = demand
        outdated = {s.key: s for s in self.outdated(servers)}
        for key in set(self.turns) - set(outdated):
            del self.turns[key]
        self._start_turns(outdated, len(servers), now)
        orders = []
        for key, turn in tuple(self.turns.items()):
            server = outdated[key]
            if self._is_due(turn, server, now):
                version = self.named_versions.newest(server.model)
                orders.append(LoadOrder(key, server.model, version))
                self.turns[key] = _Turn(_Step.ORDERED, now, server.model, version)
        return orders

    def record_failed_order(self, key: Hashable) -> None:
        """Repeat an order soon that was refused or whose response was lost."""
        turn = self.turns.get(key)
        if turn is not None:
            turn.step = _Step.OUT_OF_USE

    def _is_due(self, turn, server, now):
        waited = now - turn.since
        if turn.step is _Step.ORDERED:
            # An engine that has loaded may still lack another model's weights, or
            # newer ones.
            loaded = server.model != turn.model or server.version >= turn.version
            return loaded or waited >= ORDER_RETRY_S
        return waited >= (
            MAX_FIRST_TOKEN_WAIT_S if server.unstarted else OUT_OF_USE_DELAY_S
        )

    def _start_turns(self, outdated, count, now):
        waiting = [s for key, s in outdated.items() if key not in self.turns]
        waiting.sort(key=lambda s: (s.version, s.tokens, str(s.key)))
        for server in waiting:
            if len(self.turns) >= self._max_loading(server, count, now):
                return
            self.turns[server.key] = _Turn(_Step.OUT_OF_USE, now)

    def _max_loading(self, server, count, now):
        spare = count - math.ceil(self.demand / MAX_BUSY_FRACTION)
        last_start = self.bound.last_start(server.model, server.version, now)
        if now > last_start - START_MARGIN_S:
            # Few requests are sent there any more, and none that waits may begin.
            return count
        usual = max(1, min(spare, math.ceil(count * MAX_LOADING_FRACTION)))
        replaced_for_s = self.named_versions.replaced_for_s(
            server.model, server.version, now
        )
        if replaced_for_s > self.bound.within_s * URGENT_FRACTION:
            return URGENT_FACTOR * usual
        return usual

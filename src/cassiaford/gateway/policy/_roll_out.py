"""Which engines are given new weights, and when.

A few engines at a time are taken out of use by the whole fleet, ordered to
load, and put back when they report the new weights. An engine is ordered to
the newest version at that moment, so a version overtaken before its turn is
never loaded.
"""

import enum
import math
from collections.abc import Hashable, Iterable
from dataclasses import dataclass

from cassiaford.gateway.policy._named_versions import NamedVersions

# Weights load more slowly when more than about a third load at once.
AT_ONCE_SHARE = 1 / 3
# The engines that are left must not be busier than this with prompts.
MOST_BUSY = 0.6
# Until every instance has heard that an engine is taken out of use.
HOLD_S = 0.15
# An order throws back the requests whose first token is not out, so those are
# waited for; no longer than a long prompt takes on a busy engine.
LONGEST_HOLD_S = 0.6
# An order without effect is given again after this time.
REORDER_S = 2.5
# In the last part of the time for a version, more engines load at once.
URGENT_SHARE = 0.65
URGENT_FACTOR = 2


class _Step(enum.Enum):
    HELD = 1
    ORDERED = 2


@dataclass(frozen=True)
class RollOutServer:
    """An engine, the version of a model that it has, and its load.

    `tokens` are those of the requests that run on it, `unstarted` counts those
    without a first token.
    """

    key: Hashable
    model: str
    version: int
    tokens: int
    unstarted: int = 0


@dataclass(frozen=True)
class GiveOrder:
    """Asks for an engine to be ordered to a version."""

    key: Hashable
    model: str
    version: int


@dataclass
class _Turn:
    step: _Step
    since: float
    version: int = 0


class Rollout:
    """Plans loads for the one instance that gives orders.

    Examples
    --------
    >>> named = NamedVersions()
    >>> roll_out = Rollout(named, deadline_s=6.0)
    >>> named.name("m", 2, now=0.0)
    True
    >>> engines = [RollOutServer(name, "m", 1, 0) for name in "abc"]
    >>> roll_out.plan(engines, 0.0), sorted(roll_out.held)
    ([], ['a'])
    >>> roll_out.plan(engines, 0.2)
    [GiveOrder(key='a', model='m', version=2)]
    """

    def __init__(self, named: NamedVersions, deadline_s: float):
        self.named = named
        self.deadline_s = deadline_s
        self.turns: dict[Hashable, _Turn] = {}
        self.demand = 0.0

    @property
    def held(self) -> set[Hashable]:
        """The engines that should get no new requests."""
        return set(self.turns)

    def behind(self, servers: Iterable[RollOutServer]) -> list[RollOutServer]:
        """Return the engines whose version is not the newest."""
        return [s for s in servers if s.version < self.named.newest(s.model)]

    def plan(
        self, servers: Iterable[RollOutServer], now: float, demand: float = 0.0
    ) -> list[GiveOrder]:
        """Return the orders that are due, and choose the engines in turn.

        `demand` is the number of engines that the prompts keep busy.
        """
        servers = list(servers)
        self.demand = demand
        behind = {s.key: s for s in self.behind(servers)}
        for key in set(self.turns) - set(behind):
            del self.turns[key]
        self._choose(behind, len(servers), now)
        orders = []
        for key, turn in self.turns.items():
            server = behind[key]
            if self._due(turn, server, now):
                version = self.named.newest(server.model)
                orders.append(GiveOrder(key, server.model, version))
                turn.step, turn.since, turn.version = _Step.ORDERED, now, version
        return orders

    def order_lost(self, key: Hashable) -> None:
        """Give an order again soon; it was refused or its answer was lost."""
        turn = self.turns.get(key)
        if turn is not None:
            turn.step = _Step.HELD

    def _due(self, turn, server, now):
        waited = now - turn.since
        if turn.step is _Step.ORDERED:
            return waited >= REORDER_S
        return waited >= (LONGEST_HOLD_S if server.unstarted else HOLD_S)

    def _choose(self, behind, count, now):
        waiting = [s for key, s in behind.items() if key not in self.turns]
        waiting.sort(key=lambda s: (s.version, s.tokens, str(s.key)))
        for server in waiting:
            if len(self.turns) >= self._at_once(server, count, now):
                return
            self.turns[server.key] = _Turn(_Step.HELD, now)

    def _at_once(self, server, count, now):
        spare = count - math.ceil(self.demand / MOST_BUSY)
        usual = max(1, min(spare, math.ceil(count * AT_ONCE_SHARE)))
        behind_s = self.named.behind_for(server.model, server.version, now)
        if behind_s > self.deadline_s * URGENT_SHARE:
            return URGENT_FACTOR * usual
        return usual

"""The interface of placement policies, with their inputs and results."""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass, field

from cassiaford.engines import CacheEvents, LoadReport


@dataclass(frozen=True)
class ServerView:
    """What an instance knows for certain about a backend server.

    `in_flight` counts this instance's requests that run on the server;
    `suspected` is true if its latest calls failed.
    """

    name: str
    slots: int
    in_flight: int = 0
    suspected: bool = False


@dataclass(frozen=True)
class PlacementRequest:
    """A request that needs a backend server.

    `chain` contains the hashes of the prompt's blocks, the leading block first.
    `excluded` names servers that have already failed this request.
    """

    request_id: str
    prompt_tokens: int
    max_output: int
    chain: tuple[int, ...] = field(default=(), repr=False)
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Placement:
    """The backend server chosen for a request.

    `cached_tokens` is the number of prompt tokens expected in the server's
    cache, `expected_wait_s` the expected time to the first token.
    """

    server: str
    cached_tokens: int = 0
    expected_wait_s: float = 0.0


class PlacementPolicy(ABC):
    """Chooses backend servers, using the recorded progress of requests."""

    @abstractmethod
    def place(
        self,
        request: PlacementRequest,
        servers: Sequence[ServerView],
        now: float,
        rng: random.Random,
    ) -> Placement | None:
        """Return the chosen server, or None if none may take the request now."""

    def record_start(
        self, placement: Placement, request: PlacementRequest, now: float
    ) -> None:
        """Record that a request was sent to the chosen server."""

    def record_peer_start(self, server: str, tokens: int, now: float) -> None:
        """Record that another instance sent a server prompt tokens to compute."""

    def record_first_token(self, request_id: str, now: float) -> None:
        """Record that the prompt of a request has been computed."""

    def record_end(self, request_id: str, now: float) -> None:
        """Record that a request has ended on its server, successfully or not."""

    def observe_load(self, server: str, report: LoadReport, now: float) -> None:
        """Apply a load report."""

    def observe_events(self, server: str, events: CacheEvents, now: float) -> None:
        """Apply cache events."""

    def remove_server(self, server: str) -> None:
        """Remove all state of a server that left or restarted empty."""

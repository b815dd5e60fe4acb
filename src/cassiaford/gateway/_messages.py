"""Requests, backend servers and answers, as the gateway sees them."""

from dataclasses import dataclass, field

Headers = list[tuple[str, str]]


@dataclass(frozen=True)
class HttpRequest:
    """A whole request from a caller.

    `received_at` is the time of its first byte, on the event loop's clock.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = field(repr=False)
    received_at: float

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class RequestMetadata:
    """What the headers of a request say.

    `deadline_s` is the time that the caller waits, from its sending. `parts`
    are the parts of the prompt in order, the last of them the request's own.
    """

    attempt_id: str
    host: str
    key: str | None = field(repr=False, default=None)
    deadline_s: float | None = None
    model: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def is_generation(self) -> bool:
        """Whether the request asks a model for tokens."""
        return self.model is not None

    @property
    def tokens(self) -> int:
        """The tokens that it may take in all."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True)
class BackendServer:
    """An incarnation of a backend server as it has registered itself.

    `born` tells incarnations under one identifier apart; `versions` are the
    weights in place, by model.
    """

    server_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    started_at: int = 0
    versions: dict[str, int] = field(default_factory=dict)

    @property
    def incarnation(self) -> tuple[str, int, str]:
        """What no other start of any backend server shares."""
        return self.server_id, self.started_at, self.address


@dataclass(frozen=True)
class Forwarding:
    """What the gateway adds to a request that it passes on.

    Engines find cached prefixes only under the `cache_scope` under which they
    were made. They fetch what they lack from `fetch_from`, and send what they
    have read to `save_to`.
    """

    server: BackendServer
    time_left_s: float | None
    customer: str | None = None
    cache_scope: str | None = None
    urgency: int | None = None
    expected_version: int | None = None
    resume_after: str | None = None
    fetch_from: str | None = None
    save_to: str | None = None


@dataclass(frozen=True)
class ResponseMetadata:
    """What the headers of a backend server's response say.

    `signed` is whether they bear the server's signature, `not_run` whether
    the server states that it did not run the request, `misdirected` whether
    it is not the server that was expected.
    """

    attempt_id: str | None
    signed: bool
    not_run: bool
    misdirected: bool = False
    server_id: str | None = None

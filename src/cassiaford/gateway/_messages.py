"""Requests, responses and backend servers in the gateway's own terms."""

from dataclasses import dataclass, field

from cassiaford.origins import StreamOrigin, origin_of

Headers = list[tuple[str, str]]


@dataclass(frozen=True)
class HttpRequest:
    """A complete request from a caller.

    `received_at` is the arrival time of its first byte on the event loop's clock.
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
    """A part of a prompt, which several requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class RequestMetadata:
    """The metadata in the headers of a request.

    `deadline_s` is how long the caller waits after sending. `parts` are the
    prompt's parts in order; the last one belongs to this request only. A caller
    that takes a stream up again names its last event in `resume_after`, and in
    `resumes` the attempt that brought its first event.
    """

    attempt_id: str
    host: str
    key: str | None = field(repr=False, default=None)
    deadline_s: float | None = None
    model: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    resume_after: str | None = None
    resumes: str | None = None

    @property
    def takes_up(self) -> bool:
        """Whether the caller has events of a stream that it takes up again."""
        return self.resume_after is not None or self.resumes is not None

    @property
    def is_generation(self) -> bool:
        """Whether the request is for a model's output."""
        return self.model is not None

    @property
    def tokens(self) -> int:
        """The tokens of prompt and output together."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True)
class BackendServer:
    """An incarnation of a backend server, as registered.

    `started_at` is the registered start, which distinguishes incarnations of one
    identifier; `versions` are the versions of the loaded weights by model.
    `software_version` is that of the server's program, None if it is unknown.
    """

    server_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    started_at: int = 0
    versions: dict[str, int] = field(default_factory=dict)
    software_version: str | None = None

    @property
    def origin(self) -> StreamOrigin | None:
        """The origin of the streams that the server begins, None if unknown."""
        return origin_of(self.service, self.software_version)

    @property
    def incarnation(self) -> tuple[str, int, str]:
        """The unique identity of this start of the backend server."""
        return self.server_id, self.started_at, self.address


@dataclass(frozen=True)
class Forwarding:
    """What the gateway adds to a request when it sends it to a backend server.

    Engines reuse cached prefixes only of the same `cache_scope`. They fetch
    missing prefixes from `fetch_from` and copy computed ones to `save_to`.
    """

    server: BackendServer
    time_left_s: float | None = None
    customer: str | None = None
    cache_scope: str | None = None
    urgency: int | None = None
    expected_version: int | None = None
    resume_after: str | None = None
    fetch_from: str | None = None
    save_to: str | None = None


@dataclass(frozen=True)
class ResponseMetadata:
    """The metadata in the headers of a backend server's response.

    `signed` is whether the server's signature is present, `not_run` whether the
    server states that it did not run the request, and `misdirected` whether it
    is not the expected server.
    """

    attempt_id: str | None
    signed: bool
    not_run: bool
    misdirected: bool = False
    server_id: str | None = None

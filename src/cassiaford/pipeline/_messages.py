"""The messages that are passed between the steps of the pipeline."""

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from cassiaford.config import Customer, Model, Route
from cassiaford.verdict import Refusal, Verdict


class ServiceClass(enum.Enum):
    """The urgency of a request: a quick check, ordinary work, or bulk work."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BATCH = "batch"


@dataclass(frozen=True)
class Header:
    """One HTTP header; in received messages the name is in lower case."""

    name: str
    value: str


@dataclass(frozen=True)
class CallerRequest:
    """A request received from a caller.

    `received_at` is in seconds on the monotonic clock. `headers` contains
    neither the caller's key nor hop-by-hop headers. `target` is the path with
    its query, unchanged.
    """

    request_id: str
    received_at: float
    method: str
    target: str
    path: str
    headers: tuple[Header, ...]
    body: bytes = field(repr=False)
    key: str = field(default="", repr=False)

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        for header in self.headers:
            if header.name == name:
                return header.value
        return ""


@dataclass(frozen=True)
class AuthenticatedRequest:
    """A request with its customer, which is None on a route open to all.

    Exactly one of `route` and `model_path` is set: a plain service's route,
    or the path of the OpenAI-compatible interface.
    """

    caller: CallerRequest
    customer: Customer | None
    revision: int
    route: Route | None = None
    model_path: str = ""


@dataclass(frozen=True)
class ModelCall:
    """The parsed body of a request to a model engine.

    `prompt_tokens` is estimated from the length of the prompt; `max_output`
    is in tokens. `chain` holds the hashes of the prompt's blocks under
    `scope`.
    """

    model: Model
    body: Mapping[str, object] = field(repr=False)
    streaming: bool
    prompt_tokens: int
    max_output: int
    scope: int
    chain: tuple[int, ...] = field(repr=False)


@dataclass(frozen=True)
class AdmittedRequest:
    """A request within its customer's rate, and the tokens charged for it.

    `deadline` is in seconds on the monotonic clock: the latest time at which
    the request may be sent to a backend server for the first time. No attempt
    may start after `start_by`, on the same clock: otherwise a process that was
    suspended could run a request that another has run in the meantime.
    """

    authenticated: AuthenticatedRequest
    service_class: ServiceClass
    repeatable: bool
    deadline: float
    charged_tokens: int
    call: ModelCall | None = None
    start_by: float = math.inf

    @property
    def request_id(self) -> str:
        """The identifier of the request."""
        return self.authenticated.caller.request_id

    @property
    def customer_name(self) -> str:
        """The customer's name, empty on a route open to all."""
        customer = self.authenticated.customer
        return customer.name if customer else ""


@dataclass(frozen=True)
class Usage:
    """The tokens that a backend server counted for a request."""

    prompt_tokens: int
    output_tokens: int
    cached_tokens: int = 0

    @property
    def total(self) -> int:
        """Prompt and output tokens together."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True)
class Timings:
    """The durations of a request's steps in seconds; None if not reached.

    `queue_wait_s` runs from receipt to the first placement, `placement_s` is
    the time taken to choose that server, and `longest_gap_s` the longest time
    between two arrivals of response bytes.
    """

    queue_wait_s: float | None = None
    placement_s: float | None = None
    longest_gap_s: float | None = None


@dataclass(frozen=True)
class Outcome:
    """How a request ended.

    `status` is the HTTP status sent to the caller, 0 if the caller disconnected
    before one was sent. `first_token_s` is the time in seconds from receipt
    to the first byte of the response body.
    """

    verdict: Verdict
    status: int
    servers: tuple[str, ...] = ()
    usage: Usage | None = None
    refusal: Refusal | None = None
    first_token_s: float | None = None
    timings: Timings = Timings()
    body: bytes = field(default=b"", repr=False)
    content_type: str = ""

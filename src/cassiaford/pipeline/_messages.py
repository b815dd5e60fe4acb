"""The messages that pass between the filters of the pipeline."""

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from cassiaford.config import Customer, Model, Route
from cassiaford.verdict import Refusal, Verdict


class ServiceClass(enum.Enum):
    """How urgent a request is: a quick check, ordinary work, or bulk work."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BATCH = "batch"


@dataclass(frozen=True)
class Header:
    """One HTTP header as it came, its name in lower case."""

    name: str
    value: str


@dataclass(frozen=True)
class CallerRequest:
    """A request as it came from a caller.

    `received_at` is in seconds on the monotonic clock. `headers` has neither
    the caller's key nor any hop-by-hop header. `target` is the path with its
    query, as it came.
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
        """Return the first header of a name, or an empty text."""
        for header in self.headers:
            if header.name == name:
                return header.value
        return ""


@dataclass(frozen=True)
class AuthenticatedRequest:
    """A request of which the customer is known; None on a route open to all.

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
    """What a request asks of a model engine.

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
    """A request within its customer's rate, with the tokens charged for it.

    `deadline` is in seconds on the monotonic clock: the latest time at which
    the request may be sent to a backend server for the first time. No attempt
    may start after `start_by`, on the same clock: a process that was paused
    might otherwise run what another has run in the meantime.
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
    """How long the steps of a request took, in seconds; None if not taken.

    `queue_wait_s` runs from receipt to the first choice of a server,
    `decision_s` is the time of that choice, and `longest_gap_s` the longest
    time between two arrivals of its answer's bytes.
    """

    queue_wait_s: float | None = None
    decision_s: float | None = None
    longest_gap_s: float | None = None


@dataclass(frozen=True)
class Outcome:
    """How a request ended.

    `status` is the HTTP status that the caller got, 0 if the caller left
    before one was sent. `first_token_s` is the time in seconds from receipt
    to the first byte of the answer's body.
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

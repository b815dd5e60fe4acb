"""The calls of the demo's callers: sending, retrying and recording the outcome."""

import enum
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import httpx2
import openai
import urllib3

from standins.answers import expected_completion

ATTEMPT_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 15.0
MAX_RETRY_DELAY_S = 1.0
IN_PROGRESS = "request_in_progress"
CRASHES_SERVERS = "request_crashes_servers"


class CallKind(enum.Enum):
    """The kind of a call; the values are printed in the table."""

    MARKING = "marking (stream)"
    CHECK = "quick check"
    BOOKING = "exam booking"
    LOOKUP = "lookup"


class CallOutcome(enum.Enum):
    """The outcome of a call for its caller, after all attempts."""

    COMPLETED = "completed"
    REFUSED = "refused not-run"
    MAY_HAVE_RUN = "may-have-run"


@dataclass(frozen=True)
class Attempt:
    """One attempt at one instance.

    `verdict`, `code` and `request_id` come from an error response and are
    empty without one. `truncated` means that the response ended after its
    head but before it was complete.
    """

    address: str
    completed: bool = False
    verdict: str = ""
    code: str = ""
    request_id: str = ""
    retry_after_s: float = 0.0
    truncated: bool = False
    not_sent: bool = False
    text: str = ""
    first_token_at: float | None = None
    prompt_tokens: int = 0
    cached_tokens: int = 0


@dataclass(frozen=True)
class CallResult:
    """A finished call; `correct` tells whether the response had the expected text."""

    kind: CallKind
    outcome: CallOutcome
    attempts: tuple[Attempt, ...]
    first_token_s: float | None
    correct: bool = True
    idempotency_key: str = ""


@dataclass(frozen=True)
class Call:
    """A call that can be attempted at one address after the other."""

    kind: CallKind
    expected_text: str
    attempt: Callable[[str], Attempt] = field(repr=False)
    idempotency_key: str = ""


class ModelCaller:
    """Makes model calls with the public `openai` client."""

    def __init__(self, key: str):
        self.key = key
        self.clients: dict[str, openai.OpenAI] = {}

    def marking(self, body: dict) -> Call:
        """Return a call with a streamed response."""
        return Call(CallKind.MARKING, expected_completion(body), self._streaming(body))

    def check(self, body: dict) -> Call:
        """Return a call without streaming."""
        return Call(CallKind.CHECK, expected_completion(body), self._plain(body))

    def close(self) -> None:
        """Close all clients and their connections."""
        for client in self.clients.values():
            client.close()

    def _client(self, address):
        if address not in self.clients:
            self.clients[address] = openai.OpenAI(
                base_url=f"http://{address}/v1",
                api_key=self.key,
                max_retries=0,
                timeout=ATTEMPT_TIMEOUT_S,
            )
        return self.clients[address]

    def _plain(self, body):
        def attempt(address):
            try:
                response = self._client(address).chat.completions.create(**body)
            except openai.APIError as error:
                return _failed_attempt(address, error)
            text = response.choices[0].message.content or ""
            return _completed_attempt(address, text, time.monotonic(), response.usage)

        return attempt

    def _streaming(self, body):
        options = {"stream": True, "stream_options": {"include_usage": True}}

        def attempt(address):
            try:
                stream = self._client(address).chat.completions.create(
                    **body, **options
                )
            except openai.APIError as error:
                return _failed_attempt(address, error)
            return _read_stream(address, stream)

        return attempt


class ServiceCaller:
    """Makes calls to the plain services."""

    def __init__(self, key: str):
        self.key = key
        self.http = urllib3.PoolManager(retries=False, timeout=ATTEMPT_TIMEOUT_S)

    def booking(self, idempotency_key: str, exam: int) -> Call:
        """Return a booking call, which must not run twice."""
        headers = {"Idempotency-Key": idempotency_key}

        def attempt(address):
            return self._send("POST", address, "/bookings", headers, {"exam": exam})

        return Call(CallKind.BOOKING, "", attempt, idempotency_key)

    def lookup(self, subject: str) -> Call:
        """Return a lookup call."""

        def attempt(address):
            return self._send("GET", address, f"/lookup/{subject}", {}, None)

        return Call(CallKind.LOOKUP, "", attempt)

    def _send(self, method, address, path, headers, body):
        headers = headers | {"Authorization": f"Bearer {self.key}"}
        url = f"http://{address}{path}"
        try:
            response = self.http.request(method, url, json=body, headers=headers)
        except urllib3.exceptions.NewConnectionError:
            return Attempt(address, not_sent=True)
        except urllib3.exceptions.HTTPError:
            return Attempt(address)
        if response.status < 300:
            now = time.monotonic()
            return Attempt(address, completed=True, first_token_at=now)
        return _refused_attempt(address, _error_object(response.data))


def perform(
    call: Call, next_address: Callable[[Attempt | None], str | None]
) -> CallResult:
    """Attempt a call until its outcome is final, and return the result.

    Every call here may be retried: a model call because it changes nothing,
    a booking because it carries an idempotency key. `next_address` returns the
    address to try next, given the last attempt, or None if there is none.
    """
    started_at = time.monotonic()
    attempts = []
    last = None
    while time.monotonic() < started_at + CALL_TIMEOUT_S:
        address = next_address(last)
        if address is None:
            break
        last = call.attempt(address)
        attempts.append(last)
        if last.completed or _is_final(call, last):
            break
        time.sleep(min(MAX_RETRY_DELAY_S, last.retry_after_s or 0.05))
    return _result(call, tuple(attempts), started_at)


def _result(call, attempts, started_at):
    completed = bool(attempts) and attempts[-1].completed
    if completed:
        outcome = CallOutcome.COMPLETED
    elif all(attempt.verdict == "not_run" or attempt.not_sent for attempt in attempts):
        outcome = CallOutcome.REFUSED
    else:
        outcome = CallOutcome.MAY_HAVE_RUN
    token_times = [a.first_token_at for a in attempts if a.first_token_at is not None]
    first_token_s = min(token_times) - started_at if token_times else None
    correct = not completed or attempts[-1].text == call.expected_text
    return CallResult(
        call.kind, outcome, attempts, first_token_s, correct, call.idempotency_key
    )


def _is_final(call, attempt):
    """Return whether the response says that another attempt cannot help."""
    if attempt.verdict == "not_run":
        return attempt.retry_after_s == 0.0
    if call.kind is CallKind.BOOKING:
        return attempt.verdict != "" and attempt.code != IN_PROGRESS
    return attempt.code == CRASHES_SERVERS


def _read_stream(address, stream):
    text, first_token_at, usage, finished = [], None, None, False
    try:
        for chunk in stream:
            usage = chunk.usage or usage
            for choice in chunk.choices:
                if choice.delta.content:
                    first_token_at = first_token_at or time.monotonic()
                    text.append(choice.delta.content)
                finished = finished or choice.finish_reason is not None
    except (openai.APIError, httpx2.HTTPError) as error:
        failed = _failed_attempt(address, error, first_token_at)
        # A stream may end with an error event; any other error truncated it.
        return replace(failed, truncated=not failed.verdict)
    if not finished:
        return Attempt(address, truncated=True, first_token_at=first_token_at)
    return _completed_attempt(address, "".join(text), first_token_at, usage)


def _completed_attempt(address, text, first_token_at, usage):
    details = usage.prompt_tokens_details if usage else None
    return Attempt(
        address,
        completed=True,
        text=text,
        first_token_at=first_token_at,
        prompt_tokens=usage.prompt_tokens if usage else 0,
        cached_tokens=(details.cached_tokens or 0) if details else 0,
    )


def _failed_attempt(address, error, first_token_at=None):
    if not isinstance(error, openai.APIError):
        return Attempt(address, first_token_at=first_token_at)
    if isinstance(error, openai.APIConnectionError):
        not_sent = isinstance(error.__cause__, httpx2.ConnectError)
        return Attempt(address, not_sent=not_sent, first_token_at=first_token_at)
    body = error.body if isinstance(error.body, dict) else {}
    return _refused_attempt(address, body, first_token_at)


def _refused_attempt(address, error, first_token_at=None):
    return Attempt(
        address,
        verdict=error.get("verdict", ""),
        code=error.get("code") or "",
        request_id=error.get("request_id", ""),
        retry_after_s=float(error.get("retry_after_s") or 0.0),
        first_token_at=first_token_at,
    )


def _error_object(data):
    try:
        return json.loads(data)["error"]
    except (ValueError, KeyError, TypeError):
        return {}

"""The callers of the demo: where they connect to, and what they keep sending."""

import itertools
import random
import threading
import time
from collections.abc import Callable

import urllib3

from standins._demo_calls import (
    Attempt,
    Call,
    CallResult,
    ModelCaller,
    ServiceCaller,
    perform,
)

LOOKUP_TIMEOUT_S = 2.0
# How long an address that failed is left alone.
AVOID_S = 3.0
BINDER_BYTES = 24 * 1024
SECTION_BYTES = 8 * 1024
BINDERS = 3
SECTIONS = 4
MARKING_TOKENS = 60
CHECK_TOKENS = 8


class EntryFinder:
    """Asks the system which instances to use, and keeps the answer a while."""

    def __init__(self, known: list[str], customer: str, data_centre: str):
        self.known = known
        self.query = {"customer": customer, "data_centre": data_centre}
        self.http = urllib3.PoolManager(retries=False, timeout=LOOKUP_TIMEOUT_S)
        self.lock = threading.Lock()
        self.entries: list[str] = []
        self.fresh_until = 0.0
        self.avoided: dict[str, float] = {}

    def next_address(self, last: Attempt | None) -> str | None:
        """Return where to try next, given the attempt before."""
        with self.lock:
            if last is not None:
                self._learn(last)
            if time.monotonic() >= self.fresh_until:
                self._ask()
            usable = [entry for entry in self.entries if not self._is_avoided(entry)]
            return next(iter(usable or self.entries), None)

    def ask(self) -> list[str]:
        """Ask now and return the addresses, best first."""
        with self.lock:
            self._ask()
            return self.entries

    def _learn(self, last):
        broken = not last.completed and not last.verdict
        if broken or last.code in ("instance_stopping", "instance_starting"):
            self.avoided[last.address] = time.monotonic() + AVOID_S
            self.fresh_until = 0.0

    def _is_avoided(self, address):
        return time.monotonic() < self.avoided.get(address, 0.0)

    def _ask(self):
        first = [address for address in self.known if not self._is_avoided(address)]
        rest = [address for address in self.known if address not in first]
        for address in (*first, *rest):
            answer = self._lookup(address)
            if answer is not None:
                self.entries = [entry["http_address"] for entry in answer["entries"]]
                self.fresh_until = time.monotonic() + answer["max_age_s"]
                return
        self.entries = []

    def _lookup(self, address):
        url = f"http://{address}/cassiaford/v1/entries"
        try:
            response = self.http.request("GET", url, fields=self.query)
        except urllib3.exceptions.HTTPError:
            return None
        return response.json() if response.status == 200 else None


class CallerPool:
    """Caller threads that send one call after the other until told to end."""

    def __init__(self, finder: EntryFinder):
        self.finder = finder
        self.ending = threading.Event()
        self.threads: list[threading.Thread] = []
        self.results: list[CallResult] = []
        self.faults: list[BaseException] = []

    def start(self, next_call: Callable[[], Call], pause_s: float = 0.0) -> None:
        """Start a caller; `next_call` makes each of its calls."""
        thread = threading.Thread(
            target=self._run, args=(next_call, pause_s), daemon=True
        )
        self.threads.append(thread)
        thread.start()

    def end(self) -> None:
        """Let the callers end after the call that they have under way."""
        self.ending.set()

    def join(self, timeout_s: float) -> bool:
        """Wait for the callers; return whether all have ended."""
        end = time.monotonic() + timeout_s
        for thread in self.threads:
            thread.join(max(0.0, end - time.monotonic()))
        return not any(thread.is_alive() for thread in self.threads)

    def _run(self, next_call, pause_s):
        try:
            while not self.ending.is_set():
                self.results.append(perform(next_call(), self.finder.next_address))
                self.ending.wait(pause_s)
        except BaseException as error:
            self.faults.append(error)
            raise


class Academy:
    """The calls of a small Academy, from a seed."""

    def __init__(self, model: str, key: str, seed: int):
        self.model = model
        self.models = ModelCaller(key)
        self.services = ServiceCaller(key)
        self.rng = random.Random(seed)
        self.lock = threading.Lock()
        self.numbers = itertools.count(1)
        self.binders = [_text(self.rng, BINDER_BYTES) for _ in range(BINDERS)]
        self.sections = [_text(self.rng, SECTION_BYTES) for _ in range(SECTIONS)]

    def marking(self) -> Call:
        """Return the marking of a tare note against the recipe binder."""
        return self.models.marking(self._body("Mark this tare note", MARKING_TOKENS))

    def check(self) -> Call:
        """Return a yes-or-no question of a shift leader."""
        return self.models.check(self._body("Is this step right", CHECK_TOKENS))

    def booking(self) -> Call:
        """Return the booking of an exam."""
        number = next(self.numbers)
        return self.services.booking(f"exam-{number}", number)

    def lookup(self) -> Call:
        """Return the lookup of a hygiene checklist."""
        return self.services.lookup(f"hygiene-{next(self.numbers)}")

    def _body(self, question, tokens):
        with self.lock:
            binder = self.rng.choice(self.binders)
            section = self.rng.choice(self.sections)
        content = f"{section}\n{question}: note {next(self.numbers)}?"
        messages = [
            {"role": "system", "content": binder},
            {"role": "user", "content": content},
        ]
        return {"model": self.model, "messages": messages, "max_tokens": tokens}


def _text(rng, size):
    words = ("salt", "kelp", "broth", "tare", "noodle", "simmer", "skim", "rest")
    text = " ".join(rng.choice(words) for _ in range(size // 4))
    return text[:size]

"""The callers of the demo: how they find an instance and which calls they make."""

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
# An address that failed is not tried again for this time.
BACKOFF_S = 3.0
BINDER_BYTES = 24 * 1024
SECTION_BYTES = 8 * 1024
BINDER_COUNT = 3
SECTION_COUNT = 4
MARKING_TOKENS = 60
CHECK_TOKENS = 8


class EntryFinder:
    """Looks up the instances that a customer should use.

    The reply is cached for the time that it states.
    """

    def __init__(self, known_addresses: list[str], customer: str, data_centre: str):
        self.known_addresses = known_addresses
        self.query = {"customer": customer, "data_centre": data_centre}
        self.http = urllib3.PoolManager(retries=False, timeout=LOOKUP_TIMEOUT_S)
        self.lock = threading.Lock()
        self.entries: list[str] = []
        self.fresh_until = 0.0
        self.backoff_until: dict[str, float] = {}

    def next_address(self, last: Attempt | None) -> str | None:
        """Return the address to try next, given the previous attempt."""
        with self.lock:
            if last is not None:
                self._record_attempt(last)
            if time.monotonic() >= self.fresh_until:
                self._refresh()
            usable = [
                entry for entry in self.entries if not self._is_backing_off(entry)
            ]
            return next(iter(usable or self.entries), None)

    def refresh(self) -> list[str]:
        """Look up the addresses now and return them, best first."""
        with self.lock:
            self._refresh()
            return self.entries

    def _record_attempt(self, last):
        connection_failed = not last.completed and not last.verdict
        if connection_failed or last.code in ("instance_stopping", "instance_starting"):
            self.backoff_until[last.address] = time.monotonic() + BACKOFF_S
            self.fresh_until = 0.0

    def _is_backing_off(self, address):
        return time.monotonic() < self.backoff_until.get(address, 0.0)

    def _refresh(self):
        preferred = [
            address
            for address in self.known_addresses
            if not self._is_backing_off(address)
        ]
        others = [
            address for address in self.known_addresses if address not in preferred
        ]
        for address in (*preferred, *others):
            reply = self._lookup(address)
            if reply is not None:
                self.entries = [entry["http_address"] for entry in reply["entries"]]
                self.fresh_until = time.monotonic() + reply["max_age_s"]
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
    """Caller threads, each of which makes one call after the other until stopped."""

    def __init__(self, finder: EntryFinder):
        self.finder = finder
        self.stopping = threading.Event()
        self.threads: list[threading.Thread] = []
        self.results: list[CallResult] = []
        self.faults: list[BaseException] = []

    def start(self, next_call: Callable[[], Call], pause_s: float = 0.0) -> None:
        """Start a caller thread; `next_call` returns each call to make."""
        thread = threading.Thread(
            target=self._run, args=(next_call, pause_s), daemon=True
        )
        self.threads.append(thread)
        thread.start()

    def stop(self) -> None:
        """Make each caller end after its current call."""
        self.stopping.set()

    def join(self, timeout_s: float) -> bool:
        """Wait for the callers to end and return whether all have ended."""
        deadline = time.monotonic() + timeout_s
        for thread in self.threads:
            thread.join(max(0.0, deadline - time.monotonic()))
        return not any(thread.is_alive() for thread in self.threads)

    def _run(self, next_call, pause_s):
        try:
            while not self.stopping.is_set():
                self.results.append(perform(next_call(), self.finder.next_address))
                self.stopping.wait(pause_s)
        except BaseException as error:
            self.faults.append(error)
            raise


class AcademyWorkload:
    """The calls that a small cooking academy makes, generated from a seed.

    All model calls share a few long prompt prefixes: a binder and a section.
    """

    def __init__(self, model: str, key: str, seed: int):
        self.model = model
        self.models = ModelCaller(key)
        self.services = ServiceCaller(key)
        self.rng = random.Random(seed)
        self.lock = threading.Lock()
        self.numbers = itertools.count(1)
        self.binders = [_text(self.rng, BINDER_BYTES) for _ in range(BINDER_COUNT)]
        self.sections = [_text(self.rng, SECTION_BYTES) for _ in range(SECTION_COUNT)]

    def marking(self) -> Call:
        """Return a streaming call that marks a tare note against the recipe binder."""
        return self.models.marking(self._body("Mark this tare note", MARKING_TOKENS))

    def check(self) -> Call:
        """Return a short plain call: a shift leader's yes-or-no question."""
        return self.models.check(self._body("Is this step right", CHECK_TOKENS))

    def booking(self) -> Call:
        """Return a call that books an exam."""
        number = next(self.numbers)
        return self.services.booking(f"exam-{number}", number)

    def lookup(self) -> Call:
        """Return a call that looks up a hygiene checklist."""
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

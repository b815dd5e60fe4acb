"""The Academy's and the Authority's workloads, generated from a seed."""

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

BLOCK_TOKENS = 1024


@dataclass(frozen=True)
class Arrival:
    """A request with the instance that it reaches and its time in seconds."""

    time: float
    instance: int
    customer: str
    service_class: str
    chain: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int


@dataclass(frozen=True)
class TaskKind:
    """A kind of request.

    `weight` is its fraction of the requests, `question_tokens` the length of what
    follows the shared prefix, `output_tokens` that of the response. Prompts have
    no section if `section_blocks` is 0.
    """

    name: str
    service_class: str
    weight: float
    document_blocks: int
    documents: int
    section_blocks: int
    sections: int
    question_tokens: int
    output_tokens: int


@dataclass(frozen=True)
class Workload:
    """A mix of request kinds at a rate in requests a second, for a number of engines.

    `customer_weights` divides the requests among the customers; `skew` is the
    exponent of the Zipf distribution from which documents are chosen.
    """

    name: str
    engines: int
    rate: float
    customer_weights: tuple[float, ...]
    skew: float
    kinds: tuple[TaskKind, ...]
    instances: int = 7

    def arrivals(
        self, seed: int, until: float, shift_at: float | None = None
    ) -> Iterator[Arrival]:
        """Yield requests in the order of their times.

        From `shift_at` on, other documents are the most frequent.
        """
        rng = random.Random(f"{self.name}:{seed}")
        now = rng.expovariate(self.rate)
        for number in itertools.count():
            if now > until:
                return
            shifted = shift_at is not None and now >= shift_at
            yield self._arrival(rng, now, number, shifted)
            now += rng.expovariate(self.rate)

    def _arrival(self, rng, now, number, shifted):
        customers = range(len(self.customer_weights))
        customer = rng.choices(customers, self.customer_weights)[0]
        kind = rng.choices(self.kinds, [kind.weight for kind in self.kinds])[0]
        document = _zipf(rng, kind.documents, self.skew)
        if shifted:
            document = (document + kind.documents // 2) % kind.documents
        section = rng.randrange(kind.sections) if kind.section_blocks else 0
        chain = _chain(customer, kind, document, section)
        question_tokens = max(16, int(kind.question_tokens * rng.uniform(0.5, 1.5)))
        question_blocks = _blocks(f"question:{number}", question_tokens // BLOCK_TOKENS)
        shared_blocks = kind.document_blocks + kind.section_blocks
        return Arrival(
            now,
            rng.randrange(self.instances),
            f"customer-{customer + 1}",
            kind.service_class,
            chain + question_blocks,
            shared_blocks * BLOCK_TOKENS + question_tokens,
            max(1, int(kind.output_tokens * rng.uniform(0.5, 1.5))),
        )


ACADEMY = Workload(
    name="academy",
    engines=10,
    rate=25.0,
    customer_weights=(0.4, 0.25, 0.2, 0.1, 0.05),
    skew=1.0,
    kinds=(
        TaskKind("check", "interactive", 0.3, 16, 8, 6, 10, 200, 4),
        TaskKind("marking", "standard", 0.7, 16, 8, 6, 10, 1500, 150),
    ),
)

AUTHORITY = Workload(
    name="authority",
    engines=5,
    rate=12.0,
    customer_weights=(0.4, 0.25, 0.2, 0.1, 0.05),
    skew=0.8,
    kinds=(
        TaskKind("digest", "batch", 0.08, 40, 6, 10, 6, 600, 500),
        TaskKind("tag", "interactive", 0.72, 6, 3, 0, 0, 300, 4),
        TaskKind("dispatch", "standard", 0.2, 8, 4, 4, 3, 900, 120),
    ),
)

WORKLOADS = (ACADEMY, AUTHORITY)


def _zipf(rng: random.Random, count: int, skew: float) -> int:
    weights = [1.0 / (rank + 1) ** skew for rank in range(count)]
    return rng.choices(range(count), weights)[0]


def _chain(customer, kind, document, section) -> tuple[int, ...]:
    # Checks and markings share documents, so the scope does not contain the kind.
    scope = f"{customer}:{kind.document_blocks}:{document}"
    blocks = _blocks(scope, kind.document_blocks)
    return blocks + _blocks(f"{scope}:{section}", kind.section_blocks)


def _blocks(scope: str, count: int) -> tuple[int, ...]:
    digest = xxhash.xxh3_64_intdigest
    return tuple(digest(f"{scope}:{index}".encode()) for index in range(count))

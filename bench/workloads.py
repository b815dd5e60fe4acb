"""The Academy's and the Authority's workloads, drawn from a seed."""

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

BLOCK_TOKENS = 1024


@dataclass(frozen=True)
class Arrival:
    """One request as it reaches an instance at a time in seconds."""

    time: float
    instance: int
    customer: str
    service_class: str
    chain: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int


@dataclass(frozen=True)
class TaskKind:
    """One kind of request.

    `part` is its part of the requests, `question_tokens` what follows the
    shared prefix, `output_tokens` the length of the answer. `section_blocks`
    0 means that a prompt has no section.
    """

    name: str
    service_class: str
    part: float
    document_blocks: int
    documents: int
    section_blocks: int
    sections: int
    question_tokens: int
    output_tokens: int


@dataclass(frozen=True)
class Workload:
    """A mix of kinds at a rate, in requests a second, for some engines.

    `customer_parts` says how the requests are divided among the customers;
    `skew` is the exponent of the Zipf law by which documents are chosen.
    """

    name: str
    engines: int
    rate: float
    customer_parts: tuple[float, ...]
    skew: float
    kinds: tuple[TaskKind, ...]
    instances: int = 7

    def arrivals(
        self, seed: int, until: float, shift_at: float | None = None
    ) -> Iterator[Arrival]:
        """Yield requests in the order of their times.

        From `shift_at` on, other documents are the hot ones.
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
        customers = range(len(self.customer_parts))
        customer = rng.choices(customers, self.customer_parts)[0]
        kind = rng.choices(self.kinds, [kind.part for kind in self.kinds])[0]
        document = _zipf(rng, kind.documents, self.skew)
        if shifted:
            document = (document + kind.documents // 2) % kind.documents
        section = rng.randrange(kind.sections) if kind.section_blocks else 0
        chain = _chain(customer, kind, document, section)
        question = max(16, int(kind.question_tokens * rng.uniform(0.5, 1.5)))
        own = _blocks(f"question:{number}", question // BLOCK_TOKENS)
        shared = kind.document_blocks + kind.section_blocks
        return Arrival(
            now,
            rng.randrange(self.instances),
            f"customer-{customer + 1}",
            kind.service_class,
            chain + own,
            shared * BLOCK_TOKENS + question,
            max(1, int(kind.output_tokens * rng.uniform(0.5, 1.5))),
        )


ACADEMY = Workload(
    name="academy",
    engines=10,
    rate=25.0,
    customer_parts=(0.4, 0.25, 0.2, 0.1, 0.05),
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
    customer_parts=(0.4, 0.25, 0.2, 0.1, 0.05),
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
    # Checks and markings share their binders: the kind is not part of the key.
    scope = f"{customer}:{kind.document_blocks}:{document}"
    blocks = _blocks(scope, kind.document_blocks)
    return blocks + _blocks(f"{scope}:{section}", kind.section_blocks)


def _blocks(scope: str, count: int) -> tuple[int, ...]:
    digest = xxhash.xxh3_64_intdigest
    return tuple(digest(f"{scope}:{index}".encode()) for index in range(count))

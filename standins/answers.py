"""The deterministic answers of the engine stand-in.

The same model and prompt always give the same tokens, whichever engine runs
the request, so that a caller can check that a stream is complete.
"""

from collections.abc import Mapping

import xxhash

from cassiaford.engines import prompt_text

DEFAULT_OUTPUT_TOKENS = 32


def output_limit(body: Mapping[str, object]) -> int:
    """Return the number of output tokens that a request body asks for."""
    for name in ("max_completion_tokens", "max_tokens"):
        if body.get(name) is not None:
            return int(body[name])
    return DEFAULT_OUTPUT_TOKENS


def answer_token(seed: int, index: int) -> str:
    """Return one token of an answer."""
    return f"{xxhash.xxh3_64_intdigest(b'%d' % index, seed) & 0xFFFF:04x} "


def answer_seed(model: str, prompt: bytes) -> int:
    """Return the seed from which the tokens of an answer follow."""
    return xxhash.xxh3_64_intdigest(model.encode() + b"\0" + prompt)


def expected_answer(body: Mapping[str, object]) -> str:
    """Return the whole text that an engine answers to a request body.

    Examples
    --------
    >>> len(expected_answer({"model": "m", "prompt": "p", "max_tokens": 2}))
    10
    """
    seed = answer_seed(str(body["model"]), prompt_text(body))
    return "".join(answer_token(seed, index) for index in range(output_limit(body)))

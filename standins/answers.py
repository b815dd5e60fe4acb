"""The deterministic completions of the engine stand-in.

The same model and prompt always give the same tokens, on whichever engine the
request runs, so a caller can check that a response is complete and correct.
"""

from collections.abc import Mapping

import xxhash

from cassiaford.engines import prompt_text

DEFAULT_OUTPUT_TOKENS = 32


def output_limit(body: Mapping[str, object]) -> int:
    """Return the maximum number of output tokens that a request body allows."""
    for name in ("max_completion_tokens", "max_tokens"):
        if body.get(name) is not None:
            return int(body[name])
    return DEFAULT_OUTPUT_TOKENS


def completion_token(seed: int, index: int) -> str:
    """Return the token at an index of a completion."""
    return f"{xxhash.xxh3_64_intdigest(b'%d' % index, seed) & 0xFFFF:04x} "


def completion_seed(model: str, prompt: bytes) -> int:
    """Return the seed from which the tokens of a completion are generated."""
    return xxhash.xxh3_64_intdigest(model.encode() + b"\0" + prompt)


def expected_completion(body: Mapping[str, object]) -> str:
    """Return the complete text that an engine generates for a request body.

    Examples
    --------
    >>> len(expected_completion({"model": "m", "prompt": "p", "max_tokens": 2}))
    10
    """
    seed = completion_seed(str(body["model"]), prompt_text(body))
    return "".join(completion_token(seed, index) for index in range(output_limit(body)))

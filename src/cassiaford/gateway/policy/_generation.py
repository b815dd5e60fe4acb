"""A generation request with the data that placement needs."""

from dataclasses import dataclass

# A placement prefix covers at least this fraction of the shared tokens.
MIN_PLACEMENT_FRACTION = 0.5


@dataclass(frozen=True)
class Prefix:
    """A prefix that prompts share, and its length in tokens."""

    key: bytes
    tokens: int


@dataclass(frozen=True)
class GenerationRequest:
    """A request for tokens with the data that placement needs.

    `shared_prefixes` are ordered from the shortest to the longest; their keys
    differ between customers and between models that share no prefixes. The
    first token should come within `target_s`.
    """

    request_id: str
    shared_prefixes: tuple[Prefix, ...]
    prompt_tokens: int
    output_tokens: int
    target_s: float = 0.0

    @property
    def shared_tokens(self) -> int:
        """The length of the longest shared prefix."""
        return self.shared_prefixes[-1].tokens if self.shared_prefixes else 0

    @property
    def placement_prefix(self) -> bytes:
        """The key of the prefix by which the request is placed."""
        min_tokens = self.shared_tokens * MIN_PLACEMENT_FRACTION
        for prefix in self.shared_prefixes:
            if prefix.tokens >= min_tokens:
                return prefix.key
        return self.request_id.encode()

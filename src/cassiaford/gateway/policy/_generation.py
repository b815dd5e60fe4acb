"""A request for tokens, as placement sees it."""

from dataclasses import dataclass

# A unit holds at least this share of what its prompts share.
UNIT_SHARE = 0.5


@dataclass(frozen=True)
class Prefix:
    """A prefix that prompts share, and its length in tokens."""

    key: bytes
    tokens: int


@dataclass(frozen=True)
class GenerationRequest:
    """A request as placement sees it.

    `levels` are its shared prefixes, from the shortest to the longest, within
    the customers and weights that share them. The answer should begin within
    `target_s`.
    """

    request_id: str
    levels: tuple[Prefix, ...]
    prompt_tokens: int
    output_tokens: int
    target_s: float = 0.0

    @property
    def shared_tokens(self) -> int:
        """The length of the longest prefix that it shares."""
        return self.levels[-1].tokens if self.levels else 0

    @property
    def unit(self) -> bytes:
        """The prefix by which it is placed."""
        enough = self.shared_tokens * UNIT_SHARE
        for level in self.levels:
            if level.tokens >= enough:
                return level.key
        return self.request_id.encode()

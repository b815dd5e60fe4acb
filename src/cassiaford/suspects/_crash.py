"""The identity of a crash."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Crash:
    """The identity of a crash: a server and the incarnation that it ended."""

    server: str
    incarnation: str

"""The dispatcher's interface for requests that crash their servers."""

from abc import ABC, abstractmethod

from cassiaford.pipeline._messages import AdmittedRequest
from cassiaford.verdict import Refusal


class SuspectPolicy(ABC):
    """Tracks the requests that were running on a server when it crashed."""

    @abstractmethod
    def refusal(self, request: AdmittedRequest) -> Refusal | None:
        """Return a refusal if a request has crashed too many servers."""

    @abstractmethod
    def record_crash(self, request: AdmittedRequest, server: str) -> None:
        """Record that a server's connection broke while it ran a request."""

    def servers_to_avoid(
        self, request: AdmittedRequest, servers: tuple[str, ...]
    ) -> frozenset[str]:
        """Return which of the servers must not run a request now.

        Two suspects must not run on one server, so that the next crash shows
        which of them causes it.
        """
        return frozenset()

    def record_start(self, request: AdmittedRequest, server: str) -> None:
        """Record that a request was sent to a server."""

    def record_end(self, request: AdmittedRequest, server: str) -> None:
        """Record that a request no longer runs on a server."""

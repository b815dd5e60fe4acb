"""What the dispatcher asks about requests that crash their servers."""

from abc import ABC, abstractmethod

from cassiaford.pipeline._messages import AdmittedRequest
from cassiaford.verdict import Refusal


class SuspectPolicy(ABC):
    """Knows the requests that were running on servers when these crashed."""

    @abstractmethod
    def refusal(self, request: AdmittedRequest) -> Refusal | None:
        """Return a refusal if a request has crashed too many servers."""

    @abstractmethod
    def crashed(self, request: AdmittedRequest, server: str) -> None:
        """Take note that a server's connection broke while it ran a request."""

    def avoided(
        self, request: AdmittedRequest, servers: tuple[str, ...]
    ) -> frozenset[str]:
        """Return which of the servers must not run a request now.

        A suspect must not run beside another one, so that the next crash
        tells the guilty from those that were merely beside it.
        """
        return frozenset()

    def sent(self, request: AdmittedRequest, server: str) -> None:
        """Take note that a request was sent to a server."""

    def left(self, request: AdmittedRequest, server: str) -> None:
        """Take note that a request no longer runs on a server."""

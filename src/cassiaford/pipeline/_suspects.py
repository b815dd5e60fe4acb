"""What the dispatcher asks about requests that crash their servers."""

from abc import ABC, abstractmethod

from cassiaford.pipeline._messages import AdmittedRequest
from cassiaford.verdict import Refusal


class SuspectRegister(ABC):
    """Knows the requests that were running on servers when these crashed."""

    @abstractmethod
    def refusal(self, request: AdmittedRequest) -> Refusal | None:
        """Return a refusal if a request has crashed too many servers."""

    @abstractmethod
    def crashed(self, request: AdmittedRequest, server: str) -> None:
        """Take note that a server's connection broke while it ran a request."""

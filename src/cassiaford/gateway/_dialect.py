"""What a gateway needs translated between itself and its surroundings."""

from abc import ABC, abstractmethod

from cassiaford.gateway._configuration import Configuration
from cassiaford.gateway._messages import (
    BackendServer,
    Forwarding,
    Headers,
    HttpRequest,
    RequestMetadata,
    ResponseMetadata,
)


class MalformedError(ValueError):
    """A message that does not have the form of its protocol."""


class Dialect(ABC):
    """Reads and writes the headers of callers and backend servers."""

    @abstractmethod
    def read_request(self, request: HttpRequest) -> RequestMetadata:
        """Return what a caller's headers say; raise `MalformedError`."""

    @abstractmethod
    def forwarded_headers(self, request: HttpRequest, facts: Forwarding) -> Headers:
        """Return the headers with which a request goes to a backend server."""

    @abstractmethod
    def read_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return what the headers of a response say."""

    @abstractmethod
    def returned_headers(self, headers: Headers) -> Headers:
        """Return the headers of a response that its caller gets."""


class RecordDecoder(ABC):
    """Decodes what operators and backend servers keep in the shared store."""

    configuration_key: str
    operators_prefix: str
    versions_prefix: str
    servers_prefix: str

    @abstractmethod
    def configuration(self, value: bytes) -> Configuration:
        """Return a configuration; raise `MalformedError`."""

    @abstractmethod
    def named_version(self, value: bytes) -> tuple[str, int]:
        """Return a model and the version named for it; raise `MalformedError`."""

    @abstractmethod
    def server(self, key: str, value: bytes) -> BackendServer:
        """Return a registered backend server; raise `MalformedError`."""


class Directory(ABC):
    """Answers callers that ask where to connect."""

    @abstractmethod
    def requested(self, target: str) -> bool:
        """Return whether a target is that question."""

    @abstractmethod
    def answer(self, addresses: list[str], time_to_live_s: float) -> bytes:
        """Return the body that names addresses, the best first."""


class ReadinessProbe(ABC):
    """Recognises the probe that asks whether an instance is ready."""

    @abstractmethod
    def requested(self, target: str) -> bool:
        """Return whether a target is that probe."""

"""Interfaces that translate the platform's protocols for the gateway."""

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
from cassiaford.verdict import RefusalReason


class MalformedError(ValueError):
    """A message or entry violates the format of its protocol."""


class Dialect(ABC):
    """Reads and writes the headers of callers and backend servers."""

    @abstractmethod
    def read_request(self, request: HttpRequest) -> RequestMetadata:
        """Return the metadata in a caller's headers; raise `MalformedError`."""

    @abstractmethod
    def forwarded_headers(
        self, request: HttpRequest, forwarding: Forwarding
    ) -> Headers:
        """Return the headers of a request as sent to a backend server."""

    @abstractmethod
    def read_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return the metadata in a backend server's response headers."""

    def status(self, reason: RefusalReason) -> int:
        """Return the status of a refusal as sent to the caller."""
        return reason.status

    @abstractmethod
    def returned_headers(self, headers: Headers) -> Headers:
        """Return the headers of a response as sent to the caller."""


class RecordDecoder(ABC):
    """Decodes the store entries that operators and backend servers write."""

    configuration_key: str
    operators_prefix: str
    versions_prefix: str
    servers_prefix: str

    @abstractmethod
    def configuration(self, value: bytes) -> Configuration:
        """Return the decoded configuration; raise `MalformedError`."""

    @abstractmethod
    def named_version(self, value: bytes) -> tuple[str, int]:
        """Return a model and its named version; raise `MalformedError`."""

    @abstractmethod
    def server(self, key: str, value: bytes) -> BackendServer:
        """Return the registered backend server; raise `MalformedError`."""


class Directory(ABC):
    """The directory protocol, by which callers look up addresses to connect to."""

    @abstractmethod
    def matches(self, target: str) -> bool:
        """Return whether a request target is a directory lookup."""

    @abstractmethod
    def encode(self, addresses: list[str], time_to_live_s: float) -> bytes:
        """Return the response body that lists addresses in the given order."""


class ReadinessProbe(ABC):
    """Recognises readiness probes."""

    @abstractmethod
    def matches(self, target: str) -> bool:
        """Return whether a request target is the readiness probe."""

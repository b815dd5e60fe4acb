"""The interfaces of the platform's key-value service and list of instances."""

from abc import ABC, abstractmethod
from dataclasses import dataclass


class KeyValueError(Exception):
    """A call to the key-value service failed."""


class UnavailableError(KeyValueError):
    """The service did not receive the call, or refused it; nothing took effect."""


class OutcomeUnknownError(KeyValueError):
    """The call was sent and its response lost; a write may have taken effect."""


@dataclass(frozen=True)
class Entry:
    """A value with its version; version 0 stands for an absent key."""

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True)
class CasResult:
    """The result of a compare-and-swap, with the entry as it is now."""

    swapped: bool
    entry: Entry


@dataclass(frozen=True)
class Lease:
    """A lease, which expires `ttl_s` seconds after its last renewal."""

    lease_id: str
    ttl_s: float


@dataclass(frozen=True)
class InstanceRecord:
    """One entry of the platform's lagging list of instances."""

    instance: str
    incarnation: int
    data_centre: str
    http_address: str
    peer_address: str
    leaving: bool


class KeyValueService(ABC):
    """The operations of the platform's key-value service that the product uses.

    Every method makes one call and blocks until the response. Reads raise
    `UnavailableError` when they fail. Writes raise `UnavailableError` if they
    cannot have taken effect, and `OutcomeUnknownError` otherwise.
    """

    @abstractmethod
    def get(self, key: str) -> Entry:
        """Return the entry of a key; an absent key has version 0."""

    @abstractmethod
    def list(self, prefix: str) -> tuple[Entry, ...]:
        """Return the entries whose key starts with a prefix, sorted by key."""

    @abstractmethod
    def compare_and_swap(
        self, key: str, value: bytes | None, version: int, lease: Lease | None = None
    ) -> CasResult:
        """Set a key if its version is still `version`.

        A `value` of None deletes the key. An entry written under a lease is
        deleted when the lease expires.
        """

    @abstractmethod
    def watch(self, key: str, version: int, timeout_s: float) -> Entry:
        """Return the entry once its version differs, or after the timeout."""

    @abstractmethod
    def grant_lease(self, ttl_s: float) -> Lease:
        """Return a new lease."""

    @abstractmethod
    def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease; return whether it was still held."""

    @abstractmethod
    def revoke_lease(self, lease: Lease) -> None:
        """End a lease and delete the entries written under it."""

    def close(self) -> None:
        """Release the client's resources, such as idle connections."""


class InstanceList(ABC):
    """The platform's lagging list of live and leaving instances."""

    @abstractmethod
    def fetch(self) -> tuple[InstanceRecord, ...]:
        """Return the instances on the list; raise `UnavailableError` on failure."""

    def close(self) -> None:
        """Release the client's resources, such as idle connections."""

"""The shared store: keys with revisions, leases, conditions and watches."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field


class StoreError(Exception):
    """A call to the shared store failed; a write may have taken effect."""


class StoreDisconnectedError(StoreError):
    """The connection broke before the response.

    The store may have closed it although it responds to other calls.
    """


class StoreRefusedError(StoreError):
    """The store refused the call; nothing took effect."""


class HistoryLostError(StoreError):
    """The store no longer has the changes after a revision."""


class LeaseEndedError(StoreError):
    """The lease has ended."""


@dataclass(frozen=True)
class Item:
    """A key's value and the revision of its last change."""

    key: str
    value: bytes = field(repr=False)
    revision: int


@dataclass(frozen=True)
class Change:
    """A key's new item, or None if it was removed at a revision."""

    key: str
    revision: int
    item: Item | None


@dataclass(frozen=True)
class Page:
    """All items below a prefix, as of a revision of the store."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True)
class Changes:
    """The changes after one revision, up to and including `revision`."""

    changes: tuple[Change, ...]
    revision: int


@dataclass(frozen=True)
class Condition:
    """Requires that a key still has a revision; 0 stands for an absent key."""

    key: str
    revision: int


@dataclass(frozen=True)
class Write:
    """A value for a key; with a lease, it is removed when the lease ends."""

    key: str
    value: bytes = field(repr=False)
    lease: int = 0


@dataclass(frozen=True)
class Committed:
    """The result of a transaction that took effect at a revision."""

    revision: int


@dataclass(frozen=True)
class Conflict:
    """The current items, if the conditions of a transaction did not hold."""

    items: tuple[Item, ...]


class SharedStore(ABC):
    """The store that outlives every instance.

    `era` rises each time the store comes back without the newest changes that it
    had acknowledged. Revisions and leases of an earlier era mean nothing then.

    Each method is one call. It raises `StoreRefusedError` if nothing took
    effect, and another `StoreError` if it may have taken effect.
    """

    era: int = 0

    @abstractmethod
    async def read(self, prefix: str) -> Page:
        """Return all items below a prefix."""

    @abstractmethod
    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes after a revision and return them.

        Returns without changes after `wait_s`. Raises `HistoryLostError` if the
        store no longer has the changes after the revision.
        """

    @abstractmethod
    async def transact(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> Committed | Conflict:
        """Write all values if all conditions hold."""

    @abstractmethod
    async def remove(self, key: str, revision: int) -> Committed | Conflict:
        """Remove a key if it still has a revision."""

    @abstractmethod
    async def grant_lease(self, time_to_live_s: float) -> int:
        """Create a lease and return its identifier."""

    @abstractmethod
    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise `LeaseEndedError` if it has ended."""

    @abstractmethod
    async def end_lease(self, lease: int) -> None:
        """End a lease and remove the values written under it."""

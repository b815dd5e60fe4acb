"""The shared store: keys with revisions, leases, conditions and watches."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field


class StoreError(Exception):
    """A call to the shared store failed; a write may have taken effect."""


class StoreRefusedError(StoreError):
    """The store refused the call; nothing took effect."""


class HistoryLostError(StoreError):
    """The changes after a revision are no longer to be had."""


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
    """Items below a prefix, and the store's revision at that moment."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True)
class Changes:
    """What changed after a revision, up to another one."""

    changes: tuple[Change, ...]
    revision: int


@dataclass(frozen=True)
class Condition:
    """Holds if a key still has a revision; 0 stands for an absent key."""

    key: str
    revision: int


@dataclass(frozen=True)
class Write:
    """A value for a key, removed with its lease if it has one."""

    key: str
    value: bytes = field(repr=False)
    lease: int = 0


@dataclass(frozen=True)
class Committed:
    """A transaction that took effect at a revision."""

    revision: int


@dataclass(frozen=True)
class Conflict:
    """A transaction whose conditions did not hold; the items as they are."""

    items: tuple[Item, ...]


class SharedStore(ABC):
    """The store that outlives every instance.

    Every method is one call. It raises `StoreRefusedError` if nothing took
    effect and another `StoreError` if that is not known.
    """

    @abstractmethod
    async def read(self, prefix: str) -> Page:
        """Return all items below a prefix."""

    @abstractmethod
    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a revision, as soon as there is one.

        Raises `HistoryLostError` if they are no longer to be had.
        """

    @abstractmethod
    async def transact(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> Committed | Conflict:
        """Write values if all conditions hold."""

    @abstractmethod
    async def remove(self, key: str, revision: int) -> Committed | Conflict:
        """Remove a key if it still has a revision."""

    @abstractmethod
    async def grant_lease(self, time_to_live_s: float) -> int:
        """Return a new lease."""

    @abstractmethod
    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise `LeaseEndedError` if it has ended."""

    @abstractmethod
    async def end_lease(self, lease: int) -> None:
        """End a lease and remove what was written under it."""

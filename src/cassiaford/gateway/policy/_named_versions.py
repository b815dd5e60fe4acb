"""The versions of weights that operators have named, and when."""

import bisect
import enum
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass

# Versions stored for each model beyond those on which an engine's age depends.
MAX_VERSIONS = 16


class VersionSource(enum.Enum):
    """How an instance knows of a version."""

    SEEN = "seen"
    READ = "read"
    PEER = "peer"
    RECORDED = "recorded"


@dataclass(frozen=True)
class VersionAge:
    """The time since a version of a model, or a newer one, was first named.

    It is `witnessed` if an instance saw the naming, not only the version.
    """

    model: Hashable
    version: int
    age_s: float
    witnessed: bool = False


class NamedVersions:
    """The named versions of each model, with the time since they were replaced.

    An instance learns of a version after it was named, so of all that it learns
    the greatest age is the soundest. Callers pass the time of a clock, and
    `suspended_s` returns the seconds for which that clock has stood still.

    Examples
    --------
    >>> named = NamedVersions()
    >>> named.add("m", 2, now=1.0), named.add("m", 3, now=4.0)
    (True, True)
    >>> named.replaced_for_s("m", 1, now=5.0), named.replaced_for_s("m", 2, now=5.0)
    (4.0, 1.0)
    >>> named.replaced_for_s("m", 3, now=5.0)
    0.0
    >>> named.add("m", 3, now=5.0, age_s=2.5)
    False
    >>> named.replaced_for_s("m", 2, now=5.0)
    2.5
    """

    def __init__(self, suspended_s: Callable[[], float] = lambda: 0.0):
        self.suspended_s = suspended_s
        # Both versions and times rise, since a version that was known no sooner
        # than a newer one decides nothing.
        self.versions: dict[Hashable, list[tuple[int, float]]] = {}
        self.witnessed: dict[Hashable, set[int]] = {}

    def add(
        self, model: Hashable, version: int, now: float, age_s: float = 0.0
    ) -> bool:
        """Add a version that was named at least `age_s` ago.

        Returns whether it is newer than all before.
        """
        versions = self.versions.setdefault(model, [])
        newest = self.newest(model)
        named_at = now + self.suspended_s() - age_s
        if not any(v >= version and at <= named_at for v, at in versions):
            versions[:] = [
                (v, at) for v, at in versions if v > version or at < named_at
            ]
            bisect.insort(versions, (version, named_at))
        return version > newest

    def record_witness(self, model: Hashable, version: int) -> None:
        """Record that an instance saw the naming of a version."""
        self.witnessed.setdefault(model, set()).add(version)

    def is_witnessed(self, model: Hashable, version: int) -> bool:
        """Return whether an instance saw the naming of a version."""
        return version in self.witnessed.get(model, ())

    def retain(self, model: Hashable, in_use: Iterable[int]) -> None:
        """Limit the versions stored; keep those that replaced versions in use."""
        versions = self.versions.get(model, [])
        self.witnessed.get(model, set()).intersection_update(v for v, _ in versions)
        excess = len(versions) - MAX_VERSIONS
        if excess <= 0:
            return
        numbers = [version for version, _ in versions]
        decisive = {bisect.bisect_right(numbers, version) for version in in_use}
        # Whatever old weights an engine starts with, the oldest entry decides.
        decisive |= {0, len(versions) - 1}
        dropped = [i for i in range(len(versions)) if i not in decisive][:excess]
        for index in reversed(dropped):
            del versions[index]

    def newest(self, model: Hashable) -> int:
        """Return the newest version of a model, 0 if none was named."""
        versions = self.versions.get(model)
        return versions[-1][0] if versions else 0

    def age_s(self, model: Hashable, version: int, now: float) -> float:
        """Return the seconds since a version or a newer one was first named."""
        return self.replaced_for_s(model, version - 1, now)

    def replaced_for_s(self, model: Hashable, version: int, now: float) -> float:
        """Return the seconds since a newer version was first named, 0 if none was."""
        for newer, named_at in self.versions.get(model, ()):
            if newer > version:
                return now + self.suspended_s() - named_at
        return 0.0

    def ages(self, model: Hashable, now: float) -> list[VersionAge]:
        """Return the ages of a model's versions."""
        now += self.suspended_s()
        return [
            VersionAge(
                model, version, now - named_at, self.is_witnessed(model, version)
            )
            for version, named_at in self.versions.get(model, ())
        ]

    def pop(self, model: Hashable, now: float) -> list[VersionAge]:
        """Remove a model and return the ages of its versions."""
        ages = self.ages(model, now)
        self.versions.pop(model, None)
        self.witnessed.pop(model, None)
        return ages

    @property
    def models(self) -> list[Hashable]:
        """The models with a named version."""
        return list(self.versions)

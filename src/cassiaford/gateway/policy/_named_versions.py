"""The versions of weights that operators have named, and when."""

import enum

# Versions stored for each model. Older ones are in place or long overdue.
MAX_VERSIONS = 64


class VersionSource(enum.Enum):
    """How an instance knows of a version."""

    SEEN = "seen"
    READ = "read"


class NamedVersions:
    """The named versions of each model, with the time since they were replaced.

    Examples
    --------
    >>> named = NamedVersions()
    >>> named.add("m", 2, now=1.0), named.add("m", 3, now=4.0)
    (True, True)
    >>> named.replaced_for_s("m", 1, now=5.0), named.replaced_for_s("m", 2, now=5.0)
    (4.0, 1.0)
    >>> named.replaced_for_s("m", 3, now=5.0)
    0.0
    """

    def __init__(self):
        self.versions: dict[str, list[tuple[int, float]]] = {}

    def add(self, model: str, version: int, now: float) -> bool:
        """Add a version; return whether it is newer than all before."""
        versions = self.versions.setdefault(model, [])
        if versions and version <= versions[-1][0]:
            return False
        versions.append((version, now))
        del versions[:-MAX_VERSIONS]
        return True

    def newest(self, model: str) -> int:
        """Return the newest version of a model, 0 if none was named."""
        versions = self.versions.get(model)
        return versions[-1][0] if versions else 0

    def age_s(self, model: str, version: int, now: float) -> float:
        """Return the seconds since a version or a newer one was first named."""
        return self.replaced_for_s(model, version - 1, now)

    def replaced_for_s(self, model: str, version: int, now: float) -> float:
        """Return the seconds since a newer version was first named, 0 if none was."""
        for newer, named_at in self.versions.get(model, ()):
            if newer > version:
                return now - named_at
        return 0.0

    @property
    def models(self) -> list[str]:
        """The models with a named version."""
        return list(self.versions)

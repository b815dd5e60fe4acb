"""The versions of weights that operators have named, and when."""

# Versions remembered for each model; older ones are in place or long overdue.
MOST_VERSIONS = 64


class NamedVersions:
    """Tells for how long weights have been replaced.

    Examples
    --------
    >>> named = NamedVersions()
    >>> named.name("m", 2, now=1.0), named.name("m", 3, now=4.0)
    (True, True)
    >>> named.behind_for("m", 1, now=5.0), named.behind_for("m", 2, now=5.0)
    (4.0, 1.0)
    >>> named.behind_for("m", 3, now=5.0)
    0.0
    """

    def __init__(self):
        self.named: dict[str, list[tuple[int, float]]] = {}

    def name(self, model: str, version: int, now: float) -> bool:
        """Take in a version; return whether it is newer than all before."""
        versions = self.named.setdefault(model, [])
        if versions and version <= versions[-1][0]:
            return False
        versions.append((version, now))
        del versions[:-MOST_VERSIONS]
        return True

    def newest(self, model: str) -> int:
        """Return the newest version of a model, 0 if none was named."""
        versions = self.named.get(model)
        return versions[-1][0] if versions else 0

    def behind_for(self, model: str, version: int, now: float) -> float:
        """Return the seconds since a version was first replaced by a newer one."""
        for newer, named_at in self.named.get(model, ()):
            if newer > version:
                return now - named_at
        return 0.0

    @property
    def models(self) -> list[str]:
        """The models with a named version."""
        return list(self.named)

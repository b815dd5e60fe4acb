"""The time until which requests may begin on weights that were replaced."""

import math
from collections.abc import Callable

from cassiaford.gateway.policy._named_versions import NamedVersions

# Under load a request may start this much later than expected, so none is sent that
# is expected to start in the last part of the time.
START_MARGIN_S = 1.0


class WeightsBound:
    """Tells how long requests may begin on each version of a model's weights.

    They may for `within_s` after a newer version was named. While the store is
    away no engine can be ordered to load it, so that time starts again at the
    end of an outage: `stable_since` returns when the last one ended, or the
    present time during one.

    Examples
    --------
    >>> named = NamedVersions()
    >>> named.add("m", 1, now=0.0), named.add("m", 2, now=10.0)
    (True, True)
    >>> bound = WeightsBound(named, within_s=6.0)
    >>> bound.last_start("m", 1, now=11.0), bound.last_start("m", 2, now=11.0)
    (16.0, inf)
    >>> bound.stable_since = lambda: 13.0
    >>> bound.last_start("m", 1, now=14.0)
    19.0
    """

    def __init__(self, named_versions: NamedVersions, within_s: float):
        self.named_versions = named_versions
        self.within_s = within_s
        self.stable_since: Callable[[], float] = lambda: -math.inf

    def last_start(self, model: str | None, version: int | None, now: float) -> float:
        """Return the time until which a request may begin on a version."""
        if model is None or version is None:
            return math.inf
        age_s = self.named_versions.replaced_for_s(model, version, now)
        if age_s <= 0.0:
            return math.inf
        return max(now - age_s, self.stable_since()) + self.within_s

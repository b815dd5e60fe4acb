"""What the dispatcher asks about the weights that engines have loaded."""

import secrets
from abc import ABC, abstractmethod

from cassiaford.config import Model
from cassiaford.pipeline._job import Job
from cassiaford.pipeline._upstream import UpstreamRequest

# The size of a cache salt that no other request has.
SALT_BYTES = 8


class ServedVersions(ABC):
    """Knows which versions of models the engines serve."""

    @abstractmethod
    def is_serving(self, server: str, model: str) -> bool:
        """Return whether an engine can take requests for a model now."""

    @abstractmethod
    def is_current(self, server: str, model: Model) -> bool:
        """Return whether an engine surely runs just this version of a model.

        If not, a request must neither use nor leave blocks of the version's
        prefix cache there: they might come from other weights.
        """


def scoped_upstream(job: Job, versions: ServedVersions | None) -> UpstreamRequest:
    """Return a placed job's request, with a salt of its own in doubtful cases."""
    call = job.request.call
    if call is None or versions is None:
        return job.upstream
    if versions.is_current(job.server.name, call.model):
        return job.upstream
    return job.upstream.with_salt(secrets.token_hex(SALT_BYTES))

"""The dispatcher's interface for the model versions that engines have loaded."""

import secrets
from abc import ABC, abstractmethod

from cassiaford.config import Model
from cassiaford.pipeline._job import Job
from cassiaford.pipeline._upstream import UpstreamRequest

# The size of a random cache salt for a single request.
SALT_BYTES = 8


class ServedVersions(ABC):
    """Tracks which versions of models the engines serve."""

    @abstractmethod
    def is_serving(self, server: str, model: str) -> bool:
        """Return whether an engine can take requests for a model now."""

    @abstractmethod
    def is_current(self, server: str, model: Model) -> bool:
        """Return whether an engine is confirmed to run exactly this version.

        If not, a request must neither read nor write the prefix cache of the
        version there: its blocks might be computed with other weights.
        """


def upstream_for_server(job: Job, versions: ServedVersions | None) -> UpstreamRequest:
    """Return a placed job's request, with a random salt if the version is uncertain."""
    call = job.request.call
    if call is None or versions is None:
        return job.upstream
    if versions.is_current(job.server.name, call.model):
        return job.upstream
    return job.upstream.with_salt(secrets.token_hex(SALT_BYTES))

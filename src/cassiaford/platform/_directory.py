"""The platform's questions to an instance: where to connect, and readiness."""

import json

from cassiaford.gateway import Directory, ReadinessProbe

# An answer names at most this many addresses.
MAX_ADDRESSES = 64


class PlatformDirectory(Directory):
    """Answers callers that resolve a host."""

    def matches(self, target: str) -> bool:
        """Return whether a target resolves a host."""
        return target.partition("?")[0] == "/resolve"

    def response_body(self, addresses: list[str], time_to_live_s: float) -> bytes:
        """Return the body that names addresses."""
        document = {"Addresses": addresses[:MAX_ADDRESSES], "TtlS": time_to_live_s}
        return json.dumps(document).encode()


class PlatformProbe(ReadinessProbe):
    """Recognises the platform's readiness probe."""

    def matches(self, target: str) -> bool:
        """Return whether a target is the probe."""
        return target.partition("?")[0] == "/readiness"

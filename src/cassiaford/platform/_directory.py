"""The platform's directory lookups and readiness probes."""

import json

from cassiaford.gateway import Directory, ReadinessProbe

# Maximum number of addresses in a response.
MAX_ADDRESSES = 64


class PlatformDirectory(Directory):
    """The platform's protocol for callers that resolve a host."""

    def matches(self, target: str) -> bool:
        """Return whether a request target is a directory lookup."""
        return target.partition("?")[0] == "/resolve"

    def encode(self, addresses: list[str], time_to_live_s: float) -> bytes:
        """Return the response body that lists addresses."""
        document = {"Addresses": addresses[:MAX_ADDRESSES], "TtlS": time_to_live_s}
        return json.dumps(document).encode()


class PlatformProbe(ReadinessProbe):
    """Recognises the platform's readiness probes."""

    def matches(self, target: str) -> bool:
        """Return whether a request target is the readiness probe."""
        return target.partition("?")[0] == "/readiness"

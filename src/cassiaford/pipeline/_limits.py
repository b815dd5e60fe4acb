"""The time limits of one exchange."""

from dataclasses import dataclass

from cassiaford.pipeline._messages import AdmittedRequest
from cassiaford.settings import LimitSettings

# The first byte of a non-streaming response is sent after its last token.
SECONDS_PER_OUTPUT_TOKEN = 0.1
# The time that a caller has to read the rest of its response.
FLUSH_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class ExchangeLimits:
    """The timeouts of an exchange."""

    first_byte_timeout_s: float
    silence_timeout_s: float
    request_timeout_s: float
    flush_timeout_s: float = FLUSH_TIMEOUT_S

    def first_byte_s(self, request: AdmittedRequest) -> float:
        """Return the timeout in seconds for the first byte of a body."""
        call = request.call
        if call is None or call.streaming:
            return self.first_byte_timeout_s
        return self.first_byte_timeout_s + call.max_output * SECONDS_PER_OUTPUT_TOKEN


def exchange_limits(settings: LimitSettings) -> ExchangeLimits:
    """Return the limits for the given settings."""
    return ExchangeLimits(
        first_byte_timeout_s=settings.first_byte_timeout_s,
        silence_timeout_s=settings.silence_timeout_s,
        request_timeout_s=settings.request_timeout_s,
    )

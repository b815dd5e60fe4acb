"""The time limits of one exchange."""

from dataclasses import dataclass

from cassiaford.pipeline._messages import AdmittedRequest
from cassiaford.settings import LimitSettings

# An answer that does not stream begins only when all of it is computed.
SECONDS_PER_OUTPUT_TOKEN = 0.1
# The time that a caller has to read the end of its answer.
FLUSH_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class ExchangeLimits:
    """The settings that bound an exchange, and what follows from them."""

    first_byte_timeout_s: float
    silence_timeout_s: float
    request_timeout_s: float
    flush_timeout_s: float = FLUSH_TIMEOUT_S

    def first_byte_s(self, request: AdmittedRequest) -> float:
        """Return the time in seconds that the first byte of a body may take."""
        call = request.call
        if call is None or call.streaming:
            return self.first_byte_timeout_s
        return self.first_byte_timeout_s + call.max_output * SECONDS_PER_OUTPUT_TOKEN


def exchange_limits(settings: LimitSettings) -> ExchangeLimits:
    """Return the limits that the settings ask for."""
    return ExchangeLimits(
        first_byte_timeout_s=settings.first_byte_timeout_s,
        silence_timeout_s=settings.silence_timeout_s,
        request_timeout_s=settings.request_timeout_s,
    )

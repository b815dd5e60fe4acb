"""Authentication: finds the customer and the route of a request."""

from collections.abc import Callable

from cassiaford.config import Configuration, find_customer
from cassiaford.pipeline._filter import Filter
from cassiaford.pipeline._messages import AuthenticatedRequest, CallerRequest
from cassiaford.verdict import Refusal, RefusalReason, refuse

MODEL_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
STALE_RETRY_AFTER_S = 2.0


class AuthenticateFilter(Filter[CallerRequest, AuthenticatedRequest]):
    """Finds the customer of a key in the current configuration.

    The configuration is read for each request, so that a withdrawn key stops
    working on persistent connections too. `is_fresh` returns whether this
    instance would have received a recent withdrawal; if not, requests that
    need a key are refused.
    """

    def __init__(
        self, configuration: Callable[[], Configuration], is_fresh: Callable[[], bool]
    ):
        self.configuration = configuration
        self.is_fresh = is_fresh

    def process(self, message: CallerRequest) -> AuthenticatedRequest | Refusal:
        """Return the request with its customer, or a refusal."""
        configuration = self.configuration()
        if message.path in MODEL_PATHS:
            return self._authenticate_model_call(message, configuration)
        route = configuration.route_for(message.path)
        if route is None:
            return refuse(
                RefusalReason.UNKNOWN_ROUTE, f"no route for {message.path[:200]}"
            )
        if message.method not in route.methods:
            return _wrong_method(message.method, route.methods)
        if route.open_to_all:
            return AuthenticatedRequest(message, None, configuration.revision, route)
        customer = self.find_customer(message, configuration)
        if isinstance(customer, Refusal):
            return customer
        return AuthenticatedRequest(message, customer, configuration.revision, route)

    def find_customer(self, message, configuration):
        """Return the customer whose key a request carries, or a refusal."""
        if not message.key:
            return refuse(
                RefusalReason.MISSING_KEY,
                "send your key in the header 'Authorization: Bearer KEY'",
            )
        if not self.is_fresh():
            return refuse(
                RefusalReason.CONFIGURATION_STALE,
                "the configuration of this instance may be out of date;"
                " it cannot tell whether the key was withdrawn",
                STALE_RETRY_AFTER_S,
            )
        customer = find_customer(configuration, message.key)
        if customer is None:
            return refuse(
                RefusalReason.INVALID_KEY, "the API key is unknown or was withdrawn"
            )
        return customer

    def _authenticate_model_call(self, message, configuration):
        if message.method != "POST":
            return _wrong_method(message.method, ("POST",))
        customer = self.find_customer(message, configuration)
        if isinstance(customer, Refusal):
            return customer
        return AuthenticatedRequest(
            message, customer, configuration.revision, model_path=message.path
        )


def _wrong_method(method, allowed):
    return refuse(
        RefusalReason.METHOD_NOT_ALLOWED,
        f"{method[:20]} is not allowed here; use {' or '.join(allowed)}",
    )

"""Handlers of an instance's own resources, such as readiness and metrics."""

from abc import abstractmethod
from collections.abc import Callable
from http import HTTPStatus

from cassiaford.gateway._caller_connection import CallerConnection, RequestHandler
from cassiaford.gateway._configuration import CallerLimits
from cassiaford.gateway._messages import HttpRequest


class ResourceHandler(RequestHandler):
    """Responds to one resource at once, and with 404 to any other target."""

    def __init__(self, matches: Callable[[str], bool]):
        self.matches = matches

    @property
    def limits(self) -> CallerLimits:
        """The limits on what a caller may send."""
        return CallerLimits()

    @property
    def closing(self) -> bool:
        """Whether to close connections after their responses."""
        return False

    async def handle(self, request: HttpRequest, connection: CallerConnection) -> None:
        """Handle one request."""
        if self.matches(request.target):
            self.respond(request, connection)
        else:
            connection.send(HTTPStatus.NOT_FOUND, [])

    @abstractmethod
    def respond(self, request: HttpRequest, connection: CallerConnection) -> None:
        """Respond to a request for the handler's resource."""


class ProbeHandler(ResourceHandler):
    """Responds to readiness probes."""

    def __init__(self, matches: Callable[[str], bool], ready: Callable[[], bool]):
        super().__init__(matches)
        self.ready = ready

    def respond(self, request, connection):
        """Respond with 200 if the instance is ready, else with 503."""
        ready = self.ready()
        connection.send(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE, [])


class BodyHandler(ResourceHandler):
    """Responds with a body computed for each request, or 503 if there is none."""

    def __init__(
        self,
        matches: Callable[[str], bool],
        body: Callable[[str], bytes | None],
        content_type: str,
    ):
        super().__init__(matches)
        self.body = body
        self.content_type = content_type

    def respond(self, request, connection):
        """Respond with the body."""
        body = self.body(request.target)
        if body is None:
            connection.send(HTTPStatus.SERVICE_UNAVAILABLE, [])
        else:
            headers = [("Content-Type", self.content_type)]
            connection.send(HTTPStatus.OK, headers, body)

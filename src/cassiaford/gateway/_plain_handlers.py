"""Handlers of an instance's own addresses: readiness, directory, metrics."""

from abc import abstractmethod
from collections.abc import Callable
from http import HTTPStatus

from cassiaford.gateway._caller_connection import CallerConnection, RequestHandler
from cassiaford.gateway._configuration import CallerLimits
from cassiaford.gateway._messages import HttpRequest


class PlainHandler(RequestHandler):
    """Answers at once, and 404 to what it does not know."""

    def __init__(self, requested: Callable[[str], bool]):
        self.requested = requested

    @property
    def limits(self) -> CallerLimits:
        """What a caller may send."""
        return CallerLimits()

    @property
    def closing(self) -> bool:
        """Whether connections are to be closed after their answers."""
        return False

    async def handle(self, request: HttpRequest, connection: CallerConnection) -> None:
        """Answer one request."""
        if self.requested(request.target):
            self.answer(request, connection)
        else:
            connection.send(HTTPStatus.NOT_FOUND, [])

    @abstractmethod
    def answer(self, request: HttpRequest, connection: CallerConnection) -> None:
        """Answer a request that the handler knows."""


class ProbeHandler(PlainHandler):
    """Answers whether the instance is ready."""

    def __init__(self, requested: Callable[[str], bool], ready: Callable[[], bool]):
        super().__init__(requested)
        self.ready = ready

    def answer(self, request, connection):
        """Answer 200 if the instance is ready, else 503."""
        ready = self.ready()
        connection.send(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE, [])


class BodyHandler(PlainHandler):
    """Answers with a body made at that moment; 503 where there is none."""

    def __init__(
        self,
        requested: Callable[[str], bool],
        body: Callable[[str], bytes | None],
        content_type: str,
    ):
        super().__init__(requested)
        self.body = body
        self.content_type = content_type

    def answer(self, request, connection):
        """Answer with the body."""
        body = self.body(request.target)
        if body is None:
            connection.send(HTTPStatus.SERVICE_UNAVAILABLE, [])
        else:
            headers = [("Content-Type", self.content_type)]
            connection.send(HTTPStatus.OK, headers, body)

"""Sending of requests to backend servers, and cancelling them.

Each request has its own connection. A connection that is not reused can neither
deliver a late response to the wrong request nor have died while it was idle.
"""

import http.client
import socket

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from cassiaford.pipeline._upstream import UpstreamRequest
from cassiaford.policy import Failure


class ForwardError(Exception):
    """A request that could not be sent, for the reason in `failure`."""

    def __init__(self, failure: Failure):
        super().__init__(failure.text)
        self.failure = failure


def send_request(
    address: str,
    request: UpstreamRequest,
    offset: int | None,
    connect_timeout_s: float,
    send_timeout_s: float,
) -> socket.socket:
    """Send a request and return the socket on which the response will arrive.

    With `offset` set, the server is asked to resume a stream after that many
    events. Raises `ForwardError`.
    """
    connection = _connect(address, connect_timeout_s)
    connection.timeout = send_timeout_s
    try:
        connection.request(
            request.method,
            request.target,
            body=request.body or None,
            headers=request.headers_at(offset),
        )
    except (ValueError, http.client.InvalidURL) as error:
        # Raised while the head is built, before anything is sent.
        connection.close()
        raise ForwardError(Failure.UNSENDABLE) from error
    except (OSError, HTTPError) as error:
        connection.close()
        raise ForwardError(Failure.SEND_FAILED) from error
    return _detach_socket(connection)


def cancel_request(
    address: str, request_id: str, credential: str, timeout_s: float
) -> None:
    """Cancel a request at an engine; ignore an engine that cannot be reached."""
    headers = {"Authorization": f"Bearer {credential}"} if credential else {}
    try:
        connection = _connect(address, timeout_s)
    except ForwardError:
        return
    try:
        connection.request("DELETE", f"/v1/requests/{request_id}", headers=headers)
        connection.getresponse().close()
    except (OSError, HTTPError, http.client.HTTPException):
        return
    finally:
        connection.close()


def _connect(address, timeout_s):
    host, port = address.rsplit(":", 1)
    connection = HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.connect()
    except (OSError, HTTPError) as error:
        raise ForwardError(Failure.CONNECT_FAILED) from error
    return connection


def _detach_socket(connection):
    """Detach the socket, which its connection would close at garbage collection."""
    sock = connection.sock
    connection.sock = None
    sock.setblocking(False)
    return sock

"""Stream scripts for fake servers, shared by several tests."""

from tests.fakes import DONE, token_event

EVENTS = [token_event(number) for number in range(6)]
WHOLE = b"".join(EVENTS) + DONE


def broken_stream(count, end, partial=b""):
    """Return a script that sends some events and then calls `end`."""

    def script(connection):
        connection.stream_head(x_request_id=connection.request.headers["x-request-id"])
        connection.events(*EVENTS[:count])
        if partial:
            connection.chunk(partial)
        end(connection)

    return script


def silent(connection):
    connection.wait_closed()

"""HTTP requests to entry instances."""

import json
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

import typer
import urllib3

from cassiaford.cli._output import CommandError, ExitCode, NoResponseError

TIMEOUT_S = 3.0
MAX_CONCURRENT_REQUESTS = 16
STATUS_PATH = "/cassiaford/v1/status"


@dataclass(frozen=True)
class InstanceResponse:
    """The document that an instance returned, or why it returned none."""

    instance: str
    address: str
    document: dict = field(default_factory=dict)
    error: str = ""


def fetch_document(
    address: str, path: str, token: str = "", fields: dict | None = None
) -> dict:
    """Return the JSON document that an instance serves at a path.

    Raises `NoResponseError` if there is no valid response and `CommandError`
    if the response is an error.
    """
    if not address:
        raise CommandError("name an instance with --instance or CASSIAFORD_INSTANCE")
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    url = f"http://{address}{path}"
    try:
        response = urllib3.request(
            "GET", url, headers=headers, fields=fields, timeout=TIMEOUT_S, retries=False
        )
        document = json.loads(response.data)
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise NoResponseError(f"instance at {address}: {error}") from None
    if not isinstance(document, dict):
        raise NoResponseError(f"instance at {address}: not a cassiaford response")
    if response.status != 200:
        message = document.get("error", {}).get("message", "")
        raise CommandError(f"instance at {address}: {response.status} {message}")
    return document


def fetch_statuses(address: str, token: str) -> list[InstanceResponse]:
    """Return the status of every member that an instance lists, itself included."""
    return fetch_from_members(address, token, STATUS_PATH, {})


def fetch_from_members(
    address: str, token: str, path: str, fields: dict
) -> list[InstanceResponse]:
    """Return the document at a path of every member that an instance lists."""
    members = fetch_document(address, STATUS_PATH, token).get("members", [])
    with ThreadPoolExecutor(MAX_CONCURRENT_REQUESTS) as pool:
        return list(
            pool.map(
                lambda member: _fetch_from_member(member, path, token, fields), members
            )
        )


def report_unreachable(responses: Iterable[InstanceResponse]) -> None:
    """Print the errors of instances without a document; exit if there are any.

    The exit code is then `ExitCode.UNAVAILABLE`.
    """
    unreachable = [response for response in responses if response.error]
    for response in unreachable:
        typer.echo(f"{response.instance}: {response.error}", err=True)
    if unreachable:
        raise typer.Exit(ExitCode.UNAVAILABLE)


def _fetch_from_member(member, path, token, fields):
    name, address = member["instance"], member["http_address"]
    try:
        document = fetch_document(address, path, token, fields)
    except (NoResponseError, CommandError) as error:
        return InstanceResponse(name, address, error=str(error))
    return InstanceResponse(name, address, document)

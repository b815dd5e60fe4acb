"""Asking entry instances over HTTP."""

import json
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

import typer
import urllib3

from cassiaford.cli._output import CommandError, ExitCode, NoAnswerError

TIMEOUT_S = 3.0
MAX_ASKED_AT_ONCE = 16
STATUS_PATH = "/cassiaford/v1/status"


@dataclass(frozen=True)
class InstanceAnswer:
    """What an instance answered, or why it did not."""

    instance: str
    address: str
    document: dict = field(default_factory=dict)
    error: str = ""


def ask(address: str, path: str, token: str = "", fields: dict | None = None) -> dict:
    """Return the JSON document that an instance has at a path.

    Raises `NoAnswerError` if there is no answer and `CommandError` if the
    instance refuses.
    """
    if not address:
        raise CommandError("name an instance by --instance or CASSIAFORD_INSTANCE")
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    url = f"http://{address}{path}"
    try:
        answer = urllib3.request(
            "GET", url, headers=headers, fields=fields, timeout=TIMEOUT_S, retries=False
        )
        document = json.loads(answer.data)
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise NoAnswerError(f"instance at {address}: {error}") from None
    if not isinstance(document, dict):
        raise NoAnswerError(f"instance at {address}: not a cassiaford answer")
    if answer.status != 200:
        message = document.get("error", {}).get("message", "")
        raise CommandError(f"instance at {address}: {answer.status} {message}")
    return document


def ask_fleet(address: str, token: str) -> list[InstanceAnswer]:
    """Return the status of an instance and of every member it knows."""
    return ask_members(address, token, STATUS_PATH, {})


def ask_members(
    address: str, token: str, path: str, fields: dict
) -> list[InstanceAnswer]:
    """Return what every member that an instance knows has at a path."""
    members = ask(address, STATUS_PATH, token).get("members", [])
    with ThreadPoolExecutor(MAX_ASKED_AT_ONCE) as pool:
        return list(
            pool.map(lambda member: _ask_member(member, path, token, fields), members)
        )


def report_missing(answers: Iterable[InstanceAnswer]) -> None:
    """Name the instances that did not answer, and end with their exit code."""
    missing = [answer for answer in answers if answer.error]
    for answer in missing:
        typer.echo(f"{answer.instance}: {answer.error}", err=True)
    if missing:
        raise typer.Exit(ExitCode.UNAVAILABLE)


def _ask_member(member, path, token, fields):
    name, address = member["instance"], member["http_address"]
    try:
        document = ask(address, path, token, fields)
    except (NoAnswerError, CommandError) as error:
        return InstanceAnswer(name, address, error=str(error))
    return InstanceAnswer(name, address, document)

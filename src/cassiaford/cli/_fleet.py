"""The commands that query entry instances."""

import typer

from cassiaford.cli._app import app
from cassiaford.cli._http import fetch_document, fetch_statuses, report_unreachable
from cassiaford.cli._options import InstanceOption, JsonOption, TokenOption
from cassiaford.cli._output import (
    EXIT_CODES_HELP,
    print_json,
    print_table,
    reporting_errors,
)


@app.command(epilog=EXIT_CODES_HELP)
def status(
    instance: InstanceOption = "",
    token: TokenOption = "",
    as_json: JsonOption = False,
) -> None:
    """Show every entry instance that the given one lists as a member.

    An instance that does not respond is named on standard error with the
    cause, and the exit code is then 4.
    """
    with reporting_errors():
        responses = fetch_statuses(instance, token)
        if as_json:
            print_json(
                [response.document or _failure(response) for response in responses]
            )
        else:
            rows = [_row(response) for response in responses]
            print_table(("INSTANCE", "ADDRESS", "REVISION", "STATE", "IN FLIGHT"), rows)
        report_unreachable(responses)


@app.command(epilog=EXIT_CODES_HELP)
def entries(
    customer: str,
    data_centre: str = typer.Option("", help="The callers' data centre."),
    instance: InstanceOption = "",
    as_json: JsonOption = False,
) -> None:
    """Show the entry instances that a customer's callers should use."""
    with reporting_errors():
        fields = {"customer": customer, "data_centre": data_centre}
        document = fetch_document(instance, "/cassiaford/v1/entries", fields=fields)
        if as_json:
            print_json(document)
            return
        for entry in document["entries"]:
            typer.echo(entry["http_address"])


def _row(response):
    status = response.document
    if not status:
        return (response.instance, response.address, "-", "no answer", "-")
    return (
        response.instance,
        response.address,
        status["revision"],
        _state(status),
        status["in_flight"],
    )


def _state(status):
    if status["draining"]:
        return "draining"
    return "ready" if status["ready"] else "not ready"


def _failure(response):
    return {
        "instance": response.instance,
        "address": response.address,
        "error": response.error,
    }

"""The commands that ask the entry instances."""

import typer

from cassiaford.cli._app import app
from cassiaford.cli._http import ask, ask_fleet
from cassiaford.cli._options import InstanceOption, JsonOption, TokenOption
from cassiaford.cli._output import (
    EXIT_CODES_HELP,
    ExitCode,
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
    """Show every entry instance that the named one knows.

    The exit code is 4 if one of them does not answer.
    """
    with reporting_errors():
        answers = ask_fleet(instance, token)
        if as_json:
            print_json([answer.document or _failure(answer) for answer in answers])
        else:
            rows = [_row(answer) for answer in answers]
            print_table(("INSTANCE", "ADDRESS", "REVISION", "STATE", "IN FLIGHT"), rows)
        if any(answer.error for answer in answers):
            raise typer.Exit(ExitCode.UNAVAILABLE)


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
        document = ask(instance, "/cassiaford/v1/entries", fields=fields)
        if as_json:
            print_json(document)
            return
        for entry in document["entries"]:
            typer.echo(entry["http_address"])


def _row(answer):
    status = answer.document
    if not status:
        return (answer.instance, answer.address, "-", answer.error, "-")
    return (
        answer.instance,
        answer.address,
        status["revision"],
        _state(status),
        status["in_flight"],
    )


def _state(status):
    if status["draining"]:
        return "draining"
    return "ready" if status["ready"] else "not ready"


def _failure(answer):
    return {
        "instance": answer.instance,
        "address": answer.address,
        "error": answer.error,
    }

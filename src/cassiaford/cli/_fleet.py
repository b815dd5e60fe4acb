"""The commands that ask the entry instances."""

import typer

from cassiaford.cli._app import app
from cassiaford.cli._http import ask, ask_fleet, report_missing
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
    """Show every entry instance that the named one knows.

    An instance that does not answer is named on standard error with the
    cause, and the exit code is then 4.
    """
    with reporting_errors():
        answers = ask_fleet(instance, token)
        if as_json:
            print_json([answer.document or _failure(answer) for answer in answers])
        else:
            rows = [_row(answer) for answer in answers]
            print_table(("INSTANCE", "ADDRESS", "REVISION", "STATE", "IN FLIGHT"), rows)
        report_missing(answers)


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
        return (answer.instance, answer.address, "-", "no answer", "-")
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

"""The command that gathers the time line from all live instances."""

import datetime
import pathlib
from typing import Annotated

import typer

from cassiaford.cli._app import app
from cassiaford.cli._http import ask_members, report_missing
from cassiaford.cli._options import InstanceOption, JsonOption, TokenOption
from cassiaford.cli._output import (
    EXIT_CODES_HELP,
    CommandError,
    print_json,
    reporting_errors,
)
from cassiaford.timeline import (
    html_page,
    merge,
    parse_record,
    read_log_lines,
    record_document,
    text_line,
)

TIMELINE_PATH = "/cassiaford/v1/timeline"


@app.command(epilog=EXIT_CODES_HELP)
def timeline(
    instance: InstanceOption = "",
    token: TokenOption = "",
    request: Annotated[str, typer.Option(help="Only this request.")] = "",
    customer: Annotated[str, typer.Option(help="Only this customer.")] = "",
    since: Annotated[
        str, typer.Option(help="Only from this time on, such as 2026-12-03T08:00:00Z.")
    ] = "",
    log: Annotated[
        list[pathlib.Path] | None,
        typer.Option(help="Read this log file instead of asking instances."),
    ] = None,
    as_json: JsonOption = False,
    as_html: Annotated[bool, typer.Option("--html", help="Print a page.")] = False,
) -> None:
    """Show the events of all instances in one order.

    From live instances, no effect stands before its cause; one that does not
    answer is named on standard error, and the exit code is then 4. From log
    files, the clocks of instances are aligned by what all learn together.
    """
    with reporting_errors():
        if log:
            records = _from_logs(log, request, customer, _seconds(since))
            _print(records, as_json, as_html)
            return
        fields = {"request": request, "customer": customer, "since": _seconds(since)}
        answers = ask_members(instance, token, TIMELINE_PATH, fields)
        records = merge(
            parse_record(document)
            for answer in answers
            for document in answer.document.get("records", [])
        )
        _print(records, as_json, as_html)
        report_missing(answers)


def _from_logs(paths, request, customer, since_s):
    try:
        lines = [
            line
            for path in paths
            for line in path.read_text("utf-8", "replace").splitlines()
        ]
    except OSError as error:
        raise CommandError(f"cannot read {error.filename}: {error.strerror}") from None
    return [
        record
        for record in read_log_lines(lines)
        if (not request or record.request_id == request)
        and (not customer or record.customer == customer)
        and record.wall_ms >= since_s * 1000
    ]


def _print(records, as_json, as_html):
    if as_json:
        print_json([record_document(record) for record in records])
    elif as_html:
        typer.echo(html_page(records))
    else:
        for record in records:
            typer.echo(text_line(record))


def _seconds(since):
    if not since:
        return 0.0
    try:
        moment = datetime.datetime.fromisoformat(since)
    except ValueError:
        raise CommandError(f"{since!r} is not a time like 2026-12-03T08:00") from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return moment.timestamp()

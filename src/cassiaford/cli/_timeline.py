"""The command that merges the time lines of instances."""

import datetime
import pathlib
from typing import Annotated

import typer

from cassiaford.cli._app import app
from cassiaford.cli._http import fetch_from_members, report_unreachable
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
        str, typer.Option(help="Only since this time, such as 2026-12-03T08:00:00Z.")
    ] = "",
    log: Annotated[
        list[pathlib.Path] | None,
        typer.Option(help="Read this log file instead of querying instances."),
    ] = None,
    as_json: JsonOption = False,
    as_html: Annotated[
        bool, typer.Option("--html", help="Print an HTML page.")
    ] = False,
) -> None:
    """Show the events of all instances in one order.

    Events of live instances are ordered so that no effect precedes its cause;
    an instance that does not respond is named on standard error, and the exit
    code is then 4. In log files, the clocks of instances are aligned by the
    configurations and versions that all of them log at nearly the same time.
    """
    with reporting_errors():
        if log:
            records = _read_logs(log, request, customer, _parse_time(since))
            _print_records(records, as_json, as_html)
            return
        fields = {"request": request, "customer": customer, "since": _parse_time(since)}
        responses = fetch_from_members(instance, token, TIMELINE_PATH, fields)
        records = merge(
            parse_record(document)
            for response in responses
            for document in response.document.get("records", [])
        )
        _print_records(records, as_json, as_html)
        report_unreachable(responses)


def _read_logs(paths, request, customer, since_s):
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


def _print_records(records, as_json, as_html):
    if as_json:
        print_json([record_document(record) for record in records])
    elif as_html:
        typer.echo(html_page(records))
    else:
        for record in records:
            typer.echo(text_line(record))


def _parse_time(since):
    if not since:
        return 0.0
    try:
        moment = datetime.datetime.fromisoformat(since)
    except ValueError:
        raise CommandError(
            f"{since!r} is not a time such as 2026-12-03T08:00"
        ) from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return moment.timestamp()

"""The commands for the day sheet and the history of the configuration."""

import datetime
from pathlib import Path
from typing import Annotated

import typer

from cassiaford.cli._app import app
from cassiaford.cli._http import fetch_statuses
from cassiaford.cli._options import (
    AuthorOption,
    InstanceOption,
    JsonOption,
    KeyValueOption,
    SettingsOption,
    TokenOption,
    open_log,
    write_revision,
)
from cassiaford.cli._output import (
    EXIT_CODES_HELP,
    ExitCode,
    print_json,
    print_table,
    reporting_errors,
)
from cassiaford.config import describe_change, load_sheet, plan_sheet

sheets = typer.Typer(
    help="Apply a day sheet to the configuration of the fleet.",
    epilog=EXIT_CODES_HELP,
    no_args_is_help=True,
)
app.add_typer(sheets, name="sheet")

SheetArgument = Annotated[Path, typer.Argument(help="The day sheet, in TOML.")]


@sheets.command(epilog=EXIT_CODES_HELP)
def check(sheet: SheetArgument, as_json: JsonOption = False) -> None:
    """Report every mistake in a day sheet, without using the service."""
    with reporting_errors():
        load_sheet(sheet)
        if as_json:
            print_json({"mistakes": []})
        else:
            typer.echo("no mistakes")


@sheets.command(epilog=EXIT_CODES_HELP)
def plan(
    sheet: SheetArgument,
    key_value: KeyValueOption = "",
    settings: SettingsOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show what `apply` would change: + added, ~ changed, - removed."""
    with reporting_errors():
        desired = load_sheet(sheet)
        base = open_log(key_value, settings).load()
        changes = plan_sheet(desired, base, str(sheet))
        _print_plan(base, changes, as_json)


@sheets.command(epilog=EXIT_CODES_HELP)
def apply(
    sheet: SheetArgument,
    key_value: KeyValueOption = "",
    settings: SettingsOption = None,
    author: AuthorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Apply a day sheet to the configuration as one revision."""
    with reporting_errors():
        desired = load_sheet(sheet)
        log = open_log(key_value, settings)
        base = log.load()
        changes = plan_sheet(desired, base, str(sheet))
        if not changes:
            _print_plan(base, changes, as_json)
            return
        revision = write_revision(log, base, changes, author)
        if as_json:
            print_json(
                {
                    "revision": revision.number,
                    "nonce": revision.nonce,
                    "changes": _change_lines(changes, base),
                }
            )
            return
        _print_plan(base, changes, as_json)
        typer.echo(f"revision {revision.number} written")


@sheets.command("status", epilog=EXIT_CODES_HELP)
def sheet_status(
    key_value: KeyValueOption = "",
    settings: SettingsOption = None,
    instance: InstanceOption = "",
    token: TokenOption = "",
    as_json: JsonOption = False,
) -> None:
    """Show which revision each entry instance has in force.

    The exit code is 1 if one of them is behind, 4 if one does not respond.
    """
    with reporting_errors():
        newest = open_log(key_value, settings).load().revision
        responses = fetch_statuses(instance, token)
        rows = [_status_row(response, newest) for response in responses]
        if as_json:
            print_json(_status_document(newest, rows))
        else:
            typer.echo(f"newest revision {newest}")
            print_table(("INSTANCE", "REVISION", "IN FORCE"), rows)
        if any(response.error for response in responses):
            raise typer.Exit(ExitCode.UNAVAILABLE)
        if any(row[2] != "yes" for row in rows):
            raise typer.Exit(ExitCode.FAILED)


@app.command(epilog=EXIT_CODES_HELP)
def history(
    last: Annotated[int, typer.Option(min=1, help="Maximum number of revisions.")] = 20,
    key_value: KeyValueOption = "",
    settings: SettingsOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show the newest revisions with their author, time and changes."""
    with reporting_errors():
        revisions = open_log(key_value, settings).history()[-last:]
        if as_json:
            print_json([_history_document(revision) for revision in revisions])
            return
        for revision in revisions:
            written_at = _written_at(revision)
            typer.echo(
                f"revision {revision.number} {written_at} {revision.author} "
                f"nonce {revision.nonce}"
            )
            for change in revision.changes:
                typer.echo(f"  {describe_change(change)}")


def _print_plan(base, changes, as_json):
    lines = _change_lines(changes, base)
    if as_json:
        print_json({"revision": base.revision, "changes": lines})
        return
    for line in lines:
        typer.echo(line)
    if not lines:
        typer.echo(f"nothing to change; revision {base.revision} matches the sheet")


def _change_lines(changes, base):
    return [describe_change(change, base) for change in changes]


def _status_row(response, newest):
    if response.error:
        return (response.instance, "-", response.error)
    revision = response.document["revision"]
    return (response.instance, revision, "yes" if revision >= newest else "no")


def _status_document(newest, rows):
    return {
        "newest": newest,
        "instances": [
            {"instance": name, "revision": revision, "in_force": in_force}
            for name, revision, in_force in rows
        ],
    }


def _history_document(revision):
    return {
        "revision": revision.number,
        "author": revision.author,
        "nonce": revision.nonce,
        "written_at": _written_at(revision),
        "changes": [describe_change(change) for change in revision.changes],
    }


def _written_at(revision):
    moment = datetime.datetime.fromtimestamp(revision.written_at, datetime.UTC)
    return moment.isoformat(timespec="seconds")

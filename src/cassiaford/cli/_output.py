"""Printed output, error messages and exit codes of the commands."""

import contextlib
import enum
import json
from collections.abc import Iterator, Sequence

import typer
from pydantic import ValidationError

from cassiaford.config import ChangeError, Revision, describe_change
from cassiaford.documents import DocumentError
from cassiaford.fleet import ConfigurationLogError, LostRaceError, UnknownOutcomeError
from cassiaford.keyvalue import KeyValueError


class ExitCode(enum.IntEnum):
    """The exit codes of the commands."""

    OK = 0
    FAILED = 1
    USAGE = 2
    LOST_RACE = 3
    UNAVAILABLE = 4
    OUTCOME_UNKNOWN = 5


EXIT_CODES_HELP = (
    "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 another operator was first, "
    "4 no response from the service or an instance, 5 it is unknown whether the "
    "change was made."
)


class CommandError(Exception):
    """A command failed; the message is shown to the operator."""


class NoResponseError(Exception):
    """An instance did not respond."""


@contextlib.contextmanager
def reporting_errors() -> Iterator[None]:
    """Report errors as a message on standard error and an exit code."""
    try:
        yield
    except DocumentError as error:
        _fail(ExitCode.FAILED, *(f"{error.source}: {m}" for m in error.mistakes))
    except LostRaceError as error:
        _fail(ExitCode.LOST_RACE, *_lost_race_lines(error.winner))
    except UnknownOutcomeError as error:
        _fail(ExitCode.OUTCOME_UNKNOWN, *_unknown_outcome_lines(error.revision))
    except KeyValueError as error:
        _fail(ExitCode.UNAVAILABLE, f"key-value service: {error}", "nothing changed")
    except NoResponseError as error:
        _fail(ExitCode.UNAVAILABLE, str(error))
    except ValidationError as error:
        _fail(ExitCode.FAILED, *_invalid_lines(error))
    except (ChangeError, ConfigurationLogError, CommandError) as error:
        _fail(ExitCode.FAILED, str(error))


def print_json(value: object) -> None:
    """Print a value as JSON."""
    typer.echo(json.dumps(value, indent=2))


def print_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Print rows in aligned columns."""
    lines = [tuple(header), *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(len(line[n]) for line in lines) for n in range(len(header))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        typer.echo("  ".join(cells).rstrip())


def print_revision(revision: Revision, as_json: bool) -> None:
    """Print that a revision was written."""
    if as_json:
        print_json({"revision": revision.number, "nonce": revision.nonce})
    else:
        typer.echo(f"revision {revision.number} written")


def _fail(code, *lines):
    for line in lines:
        typer.echo(f"error: {line}", err=True)
    raise typer.Exit(code)


def _lost_race_lines(winner):
    yield f"{winner.author} wrote revision {winner.number} first:"
    for change in winner.changes:
        yield f"  {describe_change(change)}"
    yield "nothing changed; check the configuration in force and try again"


def _unknown_outcome_lines(revision):
    yield f"it is unknown whether revision {revision.number} was written"
    yield "if so, `cassiaford history` lists it with the nonce " + revision.nonce


def _invalid_lines(error):
    for detail in error.errors(include_url=False):
        path = ".".join(str(part) for part in detail["loc"])
        yield f"{path}: {detail['input']!r} is not allowed: {detail['msg']}"

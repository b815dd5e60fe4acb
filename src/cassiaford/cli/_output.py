"""What the commands print, and how they end."""

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
    """How a command ended."""

    OK = 0
    FAILED = 1
    USAGE = 2
    LOST_RACE = 3
    UNAVAILABLE = 4
    OUTCOME_UNKNOWN = 5


EXIT_CODES_HELP = (
    "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 another operator was first, "
    "4 no answer from the service or instance, 5 it is not known whether the "
    "change was made."
)


class CommandError(Exception):
    """A command failed; the text says why."""


class NoAnswerError(Exception):
    """An instance did not answer."""


@contextlib.contextmanager
def reporting_errors() -> Iterator[None]:
    """Turn errors into a message on standard error and an exit code."""
    try:
        yield
    except DocumentError as error:
        _fail(ExitCode.FAILED, *(f"{error.source}: {m}" for m in error.mistakes))
    except LostRaceError as error:
        _fail(ExitCode.LOST_RACE, *_winner_lines(error.winner))
    except UnknownOutcomeError as error:
        _fail(ExitCode.OUTCOME_UNKNOWN, *_unknown_lines(error.revision))
    except KeyValueError as error:
        _fail(ExitCode.UNAVAILABLE, f"key-value service: {error}", "nothing changed")
    except NoAnswerError as error:
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


def _winner_lines(winner):
    yield f"{winner.author} wrote revision {winner.number} first:"
    for change in winner.changes:
        yield f"  {describe_change(change)}"
    yield "nothing changed; look at what is in force and try again"


def _unknown_lines(revision):
    yield f"it is not known whether revision {revision.number} was written"
    yield "`cassiaford history` shows it if so, with the nonce " + revision.nonce


def _invalid_lines(error):
    for detail in error.errors(include_url=False):
        path = ".".join(str(part) for part in detail["loc"])
        yield f"{path}: {detail['input']!r} is not allowed: {detail['msg']}"

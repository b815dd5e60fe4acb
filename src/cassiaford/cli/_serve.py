"""The command that runs an instance."""

import signal
import threading
from pathlib import Path
from typing import Annotated

import typer

from cassiaford.cli._app import app
from cassiaford.instance import create_instance
from cassiaford.logs import configure_logging
from cassiaford.settings import SettingsError, load_settings

EXIT_CUT_SHORT = 1
EXIT_USAGE = 2


@app.command()
def serve(
    settings: Annotated[Path, typer.Option("--settings", "-s", help="The TOML file.")],
) -> None:
    """Run an entry instance until SIGTERM or SIGINT.

    The first signal starts a graceful shutdown, a second one ends it. The
    exit status is 0 if every accepted request was finished, 1 if some had to
    be cut, and 2 if the settings, or an address in them, cannot be used.
    """
    try:
        checked = load_settings(settings)
    except SettingsError as error:
        for mistake in error.mistakes:
            typer.echo(f"{error.source}: {mistake}", err=True)
        raise typer.Exit(EXIT_USAGE) from None
    configure_logging(checked.log.format, checked.log.level)
    try:
        cut = _run(create_instance(checked))
    except OSError as error:
        typer.echo(f"{settings}: cannot listen: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from None
    if cut:
        raise typer.Exit(EXIT_CUT_SHORT)


def _run(instance):
    asked_to_stop = threading.Event()
    finished = threading.Event()
    cut = []

    def handle_signal(number, frame):
        if asked_to_stop.is_set():
            threading.Thread(target=instance.abort_drain, daemon=True).start()
        asked_to_stop.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, handle_signal)

    def drain_when_asked():
        asked_to_stop.wait()
        try:
            cut.append(instance.drain())
        except* Exception as group:
            for error in group.exceptions:
                typer.echo(f"while stopping: {error!r}", err=True)
            cut.append(1)
        finally:
            finished.set()

    threading.Thread(target=drain_when_asked, daemon=True).start()
    try:
        instance.start()
    except OSError:
        instance.stop()
        raise
    finished.wait()
    return cut[0]

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

EXIT_REQUESTS_ABORTED = 1
EXIT_USAGE = 2


@app.command()
def serve(
    settings: Annotated[
        Path, typer.Option("--settings", "-s", help="The settings file, in TOML.")
    ],
) -> None:
    """Run an entry instance until SIGTERM or SIGINT.

    The first signal starts a graceful shutdown, a second one ends it early.
    The exit status is 0 if every accepted request was finished, 1 if some were
    aborted, and 2 if the settings, or an address in them, cannot be used.
    """
    try:
        loaded = load_settings(settings)
    except SettingsError as error:
        for mistake in error.mistakes:
            typer.echo(f"{error.source}: {mistake}", err=True)
        raise typer.Exit(EXIT_USAGE) from None
    configure_logging(loaded.log.format, loaded.log.level)
    try:
        aborted = _run(create_instance(loaded))
    except OSError as error:
        typer.echo(f"{settings}: cannot listen: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from None
    if aborted:
        raise typer.Exit(EXIT_REQUESTS_ABORTED)


def _run(instance):
    stop_requested = threading.Event()
    finished = threading.Event()
    aborted_counts = []

    def handle_signal(number, frame):
        if stop_requested.is_set():
            threading.Thread(target=instance.abort_drain, daemon=True).start()
        stop_requested.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, handle_signal)

    def drain_on_request():
        stop_requested.wait()
        try:
            aborted_counts.append(instance.drain())
        except* Exception as group:
            for error in group.exceptions:
                typer.echo(f"while stopping: {error!r}", err=True)
            aborted_counts.append(1)
        finally:
            finished.set()

    threading.Thread(target=drain_on_request, daemon=True).start()
    try:
        instance.start()
    except OSError:
        instance.stop()
        raise
    finished.wait()
    return aborted_counts[0]

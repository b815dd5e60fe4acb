"""The application to which the command modules add their commands."""

import typer

import cassiaford

app = typer.Typer(
    name="cassiaford",
    help="A router for language-model traffic with long shared prompts.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)


def _print_version(wanted: bool) -> None:
    if wanted:
        typer.echo(f"cassiaford {cassiaford.__version__}")
        raise typer.Exit


@app.callback()
def root(
    version: bool = typer.Option(
        False,
        "--version",
        callback=_print_version,
        is_eager=True,
        help="Print the version.",
    ),
) -> None:
    """Handle the options that precede a command."""


def main() -> None:
    """Run the command line."""
    app()

"""The command-line interface; importing it registers all commands."""

from cassiaford.cli import (  # noqa: F401
    _customer,
    _fleet,
    _key,
    _serve,
    _server,
    _sheet,
    _timeline,
)
from cassiaford.cli._app import app, main

__all__ = ["app", "main"]

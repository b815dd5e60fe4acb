"""Options and functions that several commands share."""

import getpass
import os
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import typer

from cassiaford import keyvalue
from cassiaford.cli._output import CommandError
from cassiaford.config import Change, Revision
from cassiaford.fleet import Author, ConfigurationLog
from cassiaford.settings import KeyValueSettings, load_settings

KEY_VALUE_VARIABLE = "CASSIAFORD_KEY_VALUE"
AUTHOR_VARIABLE = "CASSIAFORD_AUTHOR"

KeyValueOption = Annotated[
    str,
    typer.Option(
        "--key-value",
        envvar=KEY_VALUE_VARIABLE,
        metavar="ADDRESS",
        help="Address of the key-value service, such as 127.0.0.1:9000.",
    ),
]
SettingsOption = Annotated[
    Path | None,
    typer.Option("--settings", help="A settings file with the address of the service."),
]
AuthorOption = Annotated[
    str,
    typer.Option(
        "--author", envvar=AUTHOR_VARIABLE, help="Author of the change; default: login."
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
InstanceOption = Annotated[
    str,
    typer.Option(
        "--instance",
        envvar="CASSIAFORD_INSTANCE",
        metavar="ADDRESS",
        help="The HTTP address of any entry instance.",
    ),
]
TokenOption = Annotated[
    str,
    typer.Option("--token", envvar="CASSIAFORD_TOKEN", help="The operators' token."),
]


def open_log(key_value: str, settings: Path | None) -> ConfigurationLog:
    """Return the configuration log in the service given by the options."""
    return ConfigurationLog(
        keyvalue.connect_key_value(_key_value_settings(key_value, settings))
    )


def write_revision(
    log: ConfigurationLog, base, changes: Sequence[Change], author: str
) -> Revision:
    """Write the revision that follows `base`.

    The author defaults to the login name.
    """
    return log.append(base, changes, Author(author or _login()))


def _key_value_settings(key_value, settings):
    if key_value:
        return KeyValueSettings(address=key_value, list_address=key_value)
    if settings is not None:
        return load_settings(settings).key_value
    raise CommandError(
        f"name the key-value service with --key-value, {KEY_VALUE_VARIABLE}"
        " or --settings"
    )


def _login():
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return f"user {os.getuid()}"

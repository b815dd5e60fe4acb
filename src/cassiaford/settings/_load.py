"""Reading settings and reporting every mistake in them at once."""

from pathlib import Path

from cassiaford.documents import DocumentError, parse_document, read_text
from cassiaford.settings._model import Settings


class SettingsError(DocumentError):
    """The settings cannot be used; `mistakes` holds one line for each fault."""


def load_settings(path: Path) -> Settings:
    """Return the settings in a TOML file.

    Raises `SettingsError` if the file cannot be read or anything in it is
    wrong.
    """
    return parse_settings(read_text(path, SettingsError), str(path))


def parse_settings(text: str, source: str = "settings") -> Settings:
    """Return the settings in a TOML text.

    Raises `SettingsError` naming the path, the value and what is allowed for
    every mistake found.
    """
    return parse_document(text, source, Settings, "setting", SettingsError)

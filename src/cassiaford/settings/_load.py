"""Loading of settings, which reports all mistakes at once."""

from pathlib import Path

from cassiaford.documents import DocumentError, parse_document, read_text
from cassiaford.settings._model import Settings


class SettingsError(DocumentError):
    """The settings are invalid; `mistakes` has one line for each mistake."""


def load_settings(path: Path) -> Settings:
    """Return the settings in a TOML file.

    Raises `SettingsError` if the file cannot be read or has any mistake.
    """
    return parse_settings(read_text(path, SettingsError), str(path))


def parse_settings(text: str, source: str = "settings") -> Settings:
    """Return the settings in TOML text.

    Raises `SettingsError` with the path, the value and the allowed values of
    every mistake.
    """
    return parse_document(text, source, Settings, "setting", SettingsError)

"""Reading settings and reporting every mistake in them at once."""

import difflib
import tomllib
from dataclasses import fields, is_dataclass
from pathlib import Path
from typing import get_args

from pydantic import SecretStr, TypeAdapter, ValidationError

from cassiaford.settings._model import Settings

_ADAPTER = TypeAdapter(Settings)


class SettingsError(ValueError):
    """The settings cannot be used; `mistakes` holds one line for each fault."""

    def __init__(self, source: str, mistakes: tuple[str, ...]):
        super().__init__(f"{source}: " + "; ".join(mistakes))
        self.source = source
        self.mistakes = mistakes


def load_settings(path: Path) -> Settings:
    """Return the settings in a TOML file.

    Raises `SettingsError` if the file cannot be read or anything in it is
    wrong.
    """
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), (str(error),)) from error
    return parse_settings(text, str(path))


def parse_settings(text: str, source: str = "settings") -> Settings:
    """Return the settings in a TOML text.

    Raises `SettingsError` naming the path, the value and what is allowed for
    every mistake found.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(source, (str(error),)) from error
    try:
        return _ADAPTER.validate_python(document)
    except ValidationError as error:
        details = error.errors(include_url=False)
        mistakes = tuple(_describe(detail) for detail in details)
        raise SettingsError(source, mistakes) from None


def _describe(detail):
    location = tuple(str(part) for part in detail["loc"])
    path = ".".join(location)
    if detail["type"] in ("unexpected_keyword_argument", "extra_forbidden"):
        return f"{path}: unknown setting{_suggestion(location)}"
    if detail["type"] == "missing":
        return f"{path}: missing"
    shown = _shown(location, detail["input"])
    return f"{path}: {shown} is not allowed: {detail['msg']}"


def _shown(location, value):
    if _is_secret(location):
        return "the given secret"
    return repr(value)


def _is_secret(location):
    annotation = _field_type(location)
    return annotation is SecretStr or SecretStr in get_args(annotation)


def _suggestion(location):
    known = _known_names(location[:-1])
    nearest = difflib.get_close_matches(location[-1], known, n=1)
    return f"; did you mean {nearest[0]!r}?" if nearest else ""


def _known_names(location):
    section = _field_type(location)
    if not is_dataclass(section):
        return []
    return [field.name for field in fields(section)]


def _field_type(location):
    section = Settings
    for name in location:
        if not is_dataclass(section):
            return None
        types = {field.name: field.type for field in fields(section)}
        section = types.get(name)
    return section

"""Parsing of TOML documents, which reports all mistakes at once."""

import difflib
import tomllib
from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from pathlib import Path
from types import NoneType, UnionType
from typing import Annotated, Any, Union, get_args, get_origin

from pydantic import SecretStr, TypeAdapter, ValidationError


class DocumentError(ValueError):
    """A document is invalid; `mistakes` has one line for each mistake."""

    def __init__(self, source: str, mistakes: tuple[str, ...]):
        super().__init__(f"{source}: " + "; ".join(mistakes))
        self.source = source
        self.mistakes = mistakes


def read_text(path: Path, error_type: type[DocumentError] = DocumentError) -> str:
    """Return the text of a file; raise `error_type` if it cannot be read."""
    try:
        return path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise error_type(str(path), (str(error),)) from error


def parse_document(
    text: str,
    source: str,
    root: type,
    noun: str,
    error_type: type[DocumentError] = DocumentError,
) -> Any:
    """Return the document in TOML text as an instance of `root`.

    `noun` is what messages call a field, such as "setting". Raises `error_type`
    with the path, the value and the allowed values of every mistake.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise error_type(source, (str(error),)) from error
    try:
        return TypeAdapter(root).validate_python(document)
    except ValidationError as error:
        details = error.errors(include_url=False)
        mistakes = tuple(_format_mistake(root, noun, detail) for detail in details)
        raise error_type(source, mistakes) from None


def _format_mistake(root, noun, detail):
    location = tuple(str(part) for part in detail["loc"])
    path = ".".join(location)
    if detail["type"] in ("unexpected_keyword_argument", "extra_forbidden"):
        return f"{path}: unknown {noun}{_format_suggestion(root, location)}"
    if detail["type"] == "missing":
        return f"{path}: missing"
    value = _format_value(root, location, detail["input"])
    return f"{path}: {value} is not allowed: {detail['msg']}"


def _format_value(root, location, value):
    if _is_secret(root, location):
        return "the given secret"
    return repr(value)


def _is_secret(root, location):
    annotation = _field_type(root, location)
    return annotation is SecretStr or SecretStr in get_args(annotation)


def _format_suggestion(root, location):
    names = _field_names(root, location[:-1])
    nearest = difflib.get_close_matches(location[-1], names, n=1)
    return f"; did you mean {nearest[0]!r}?" if nearest else ""


def _field_names(root, location):
    section = _field_type(root, location)
    if not is_dataclass(section):
        return []
    return [field.name for field in fields(section)]


def _field_type(root, location):
    section = root
    for name in location:
        section = _member_type(section, name)
    return section


def _member_type(section, name):
    """Return the type of the member with a given name in a section."""
    if is_dataclass(section):
        types = {field.name: field.type for field in fields(section)}
        return _without_none(types.get(name))
    if get_origin(section) in (dict, Mapping):
        return get_args(section)[1]
    return None


def _without_none(annotation):
    """Return the type of a field without None, and of a section without validators."""
    if get_origin(annotation) in (Union, UnionType):
        members = [a for a in get_args(annotation) if a is not NoneType]
        annotation = members[0] if len(members) == 1 else annotation
    if get_origin(annotation) is Annotated and _is_section(get_args(annotation)[0]):
        return get_args(annotation)[0]
    return annotation


def _is_section(annotation):
    return is_dataclass(annotation) or get_origin(annotation) in (dict, Mapping)

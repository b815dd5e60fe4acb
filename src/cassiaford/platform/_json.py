"""Typed access to the fields of JSON documents.

The functions raise `MalformedError` if a field has another type.
"""

import json

from cassiaford.gateway import MalformedError


def parse_object(data: bytes) -> dict:
    """Return the JSON object in encoded data; raise `MalformedError`."""
    try:
        document = json.loads(data)
    except ValueError as error:
        raise MalformedError(f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise MalformedError("not a JSON object")
    return document


def string(document: dict, name: str, default: str | None = None) -> str:
    """Return a string field."""
    value = document.get(name, default)
    if not isinstance(value, str):
        raise MalformedError(f"{name} is not a string")
    return value


def number(document: dict, name: str, default: float | None = None) -> float:
    """Return a number field."""
    value = document.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedError(f"{name} is not a number")
    return value


def integer(document: dict, name: str, default: int | None = None) -> int:
    """Return an integer field; a float without a fraction is allowed."""
    value = number(document, name, default)
    if value != int(value):
        raise MalformedError(f"{name} is not an integer")
    return int(value)


def boolean(document: dict, name: str, default: bool = False) -> bool:
    """Return a Boolean field."""
    value = document.get(name, default)
    if not isinstance(value, bool):
        raise MalformedError(f"{name} is not a Boolean")
    return value


def objects(document: dict, name: str) -> list[dict]:
    """Return a field with a list of objects; if absent, an empty list."""
    value = document.get(name) or []
    if not isinstance(value, list) or not all(isinstance(v, dict) for v in value):
        raise MalformedError(f"{name} is not a list of objects")
    return value


def strings(document: dict, name: str) -> list[str]:
    """Return a field with a list of strings; if absent, an empty list."""
    value = document.get(name) or []
    if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
        raise MalformedError(f"{name} is not a list of strings")
    return value

"""Reading fields of JSON documents with a check of their types."""

import json

from cassiaford.gateway import MalformedError


def parse_object(data: bytes) -> dict:
    """Return the JSON object in some bytes; raise `MalformedError`."""
    try:
        document = json.loads(data)
    except ValueError as error:
        raise MalformedError(f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise MalformedError("not a JSON object")
    return document


def text(document: dict, name: str, default: str | None = None) -> str:
    """Return a field that holds text."""
    value = document.get(name, default)
    if not isinstance(value, str):
        raise MalformedError(f"{name} is not text")
    return value


def number(document: dict, name: str, default: float | None = None) -> float:
    """Return a field that holds a number."""
    value = document.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedError(f"{name} is not a number")
    return value


def whole(document: dict, name: str, default: int | None = None) -> int:
    """Return a field that holds a whole number."""
    value = number(document, name, default)
    if value != int(value):
        raise MalformedError(f"{name} is not a whole number")
    return int(value)


def flag(document: dict, name: str, default: bool = False) -> bool:
    """Return a field that holds true or false."""
    value = document.get(name, default)
    if not isinstance(value, bool):
        raise MalformedError(f"{name} is neither true nor false")
    return value


def objects(document: dict, name: str) -> list[dict]:
    """Return a field that holds a list of objects; absent, it is empty."""
    value = document.get(name) or []
    if not isinstance(value, list) or not all(isinstance(v, dict) for v in value):
        raise MalformedError(f"{name} is not a list of objects")
    return value


def texts(document: dict, name: str) -> list[str]:
    """Return a field that holds a list of texts; absent, it is empty."""
    value = document.get(name) or []
    if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
        raise MalformedError(f"{name} is not a list of texts")
    return value

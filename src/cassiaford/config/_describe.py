"""Descriptions of configuration changes, for plans and write conflicts."""

from dataclasses import fields

from cassiaford.config._changes import (
    Change,
    PutCustomer,
    PutKey,
    PutModel,
    PutRoute,
    PutServer,
    RemoveCustomer,
    RemoveKey,
    RemoveModel,
    RemoveRoute,
    RemoveServer,
)
from cassiaford.config._document import EMPTY_CONFIGURATION, Configuration

# Names, which the line already contains, and values derived from secrets.
_HIDDEN_FIELDS = {"name", "prefix", "salt", "digest", "key_id"}


def describe_change(change: Change, base: Configuration = EMPTY_CONFIGURATION) -> str:
    """Return one line for a change: ``+`` added, ``~`` altered, ``-`` removed.

    Examples
    --------
    >>> describe_change(RemoveKey("4f"))
    '- key 4f'
    """
    match change:
        case PutCustomer(value=value):
            return _describe_put("customer", value.name, value, base.customers)
        case PutKey(value=value):
            return _describe_put("key", value.key_id, value, base.keys)
        case PutModel(value=value):
            return _describe_put("model", value.name, value, base.models)
        case PutServer(value=value):
            return _describe_put("server", value.name, value, base.servers)
        case PutRoute(value=value):
            return _describe_put("route", value.prefix, value, base.routes)
        case RemoveCustomer(name=name):
            return f"- customer {name}{_withdrawn_keys(name, base)}"
        case RemoveKey(key_id=key_id):
            return f"- key {key_id}"
        case RemoveModel(name=name):
            return f"- model {name}"
        case RemoveServer(name=name):
            return f"- server {name}"
        case RemoveRoute(prefix=prefix):
            return f"- route {prefix}"


def _describe_put(kind, name, value, present):
    before = present.get(name)
    if before is None:
        return f"+ {kind} {name}: {_format_fields(value)}"
    differences = [
        f"{field} {_format(getattr(before, field))} -> {_format(getattr(value, field))}"
        for field in _field_names(value)
        if getattr(before, field) != getattr(value, field)
    ]
    return f"~ {kind} {name}: {', '.join(differences)}"


def _format_fields(value):
    pairs = [f"{name} {_format(getattr(value, name))}" for name in _field_names(value)]
    return ", ".join(pairs)


def _field_names(value):
    return [f.name for f in fields(value) if f.name not in _HIDDEN_FIELDS]


def _format(value):
    if isinstance(value, tuple):
        return "[" + " ".join(value) + "]"
    if isinstance(value, float):
        return f"{value:g}"
    return str(getattr(value, "value", value))


def _withdrawn_keys(name, base):
    count = sum(key.customer == name for key in base.keys.values())
    return f" (withdraws {count} keys)" if count else ""

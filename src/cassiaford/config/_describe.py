"""Changes of the configuration in words, for plans and for lost races."""

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

# Fields that say nothing to a reader, or that need not be shown.
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
            return _put("customer", value.name, value, base.customers)
        case PutKey(value=value):
            return _put("key", value.key_id, value, base.keys)
        case PutModel(value=value):
            return _put("model", value.name, value, base.models)
        case PutServer(value=value):
            return _put("server", value.name, value, base.servers)
        case PutRoute(value=value):
            return _put("route", value.prefix, value, base.routes)
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


def _put(what, name, value, present):
    before = present.get(name)
    if before is None:
        return f"+ {what} {name}: {_shown_fields(value)}"
    differences = [
        f"{name_} {_shown(getattr(before, name_))} -> {_shown(getattr(value, name_))}"
        for name_ in _field_names(value)
        if getattr(before, name_) != getattr(value, name_)
    ]
    return f"~ {what} {name}: {', '.join(differences)}"


def _shown_fields(value):
    pairs = [f"{name} {_shown(getattr(value, name))}" for name in _field_names(value)]
    return ", ".join(pairs)


def _field_names(value):
    return [f.name for f in fields(value) if f.name not in _HIDDEN_FIELDS]


def _shown(value):
    if isinstance(value, tuple):
        return "[" + " ".join(value) + "]"
    if isinstance(value, float):
        return f"{value:g}"
    return str(getattr(value, "value", value))


def _withdrawn_keys(name, base):
    count = sum(key.customer == name for key in base.keys.values())
    return f" (withdraws {count} keys)" if count else ""

"""The day sheet: the configuration that operators desire, as a TOML document.

A section in the sheet replaces that section of the configuration; a section
that it lacks stays unchanged. Keys are not part of the sheet: they are granted
and withdrawn separately, while traffic runs.
"""

from dataclasses import replace
from pathlib import Path
from typing import Annotated

from pydantic import BeforeValidator
from pydantic.dataclasses import dataclass

from cassiaford.config._changes import (
    Change,
    PutCustomer,
    PutModel,
    PutRoute,
    PutServer,
    RemoveCustomer,
    RemoveModel,
    RemoveRoute,
    Revision,
    apply_changes,
)
from cassiaford.config._document import (
    EMPTY_CONFIGURATION,
    STRICT,
    BackendServer,
    Configuration,
    Customer,
    Model,
    Route,
    ServerKind,
    ServerState,
)
from cassiaford.documents import DocumentError, parse_document, read_text


class SheetError(DocumentError):
    """A day sheet that is invalid; `mistakes` has one line for each fault."""


def _named_by(field):
    """Return a validator that copies the name of each entry into a field of it."""

    def add_names(section):
        if not isinstance(section, dict):
            return section
        return {
            name: {field: name, **entry} if isinstance(entry, dict) else entry
            for name, entry in section.items()
        }

    return BeforeValidator(add_names)


@dataclass(frozen=True, config=STRICT)
class DaySheet:
    """The desired configuration; a section that is None stays unchanged."""

    customers: Annotated[dict[str, Customer], _named_by("name")] | None = None
    models: Annotated[dict[str, Model], _named_by("name")] | None = None
    servers: Annotated[dict[str, BackendServer], _named_by("name")] | None = None
    routes: Annotated[dict[str, Route], _named_by("prefix")] | None = None


def load_sheet(path: Path) -> DaySheet:
    """Return the day sheet in a TOML file; raise `SheetError`."""
    return parse_sheet(read_text(path, SheetError), str(path))


def parse_sheet(text: str, source: str = "sheet") -> DaySheet:
    """Return the day sheet in a TOML text.

    Raises `SheetError` with every mistake, including names that one section
    refers to and another one lacks.
    """
    sheet = parse_document(text, source, DaySheet, "field", SheetError)
    mistakes = _mistakes(sheet, EMPTY_CONFIGURATION)
    if mistakes:
        raise SheetError(source, mistakes)
    return sheet


def plan_sheet(
    sheet: DaySheet, base: Configuration, source: str = "sheet"
) -> tuple[Change, ...]:
    """Return the changes that apply a sheet to a configuration.

    Raises `SheetError` if the sheet does not fit the sections that it leaves
    unchanged. A backend server that the sheet no longer names is set to
    leaving instead of removed, so that its running requests can end.
    """
    changes = (
        *_put_changes(sheet.models, base.models, PutModel),
        *_put_changes(_desired_servers(sheet, base), base.servers, PutServer),
        *_put_changes(sheet.routes, base.routes, PutRoute),
        *_put_changes(sheet.customers, base.customers, PutCustomer),
        *_remove_changes(sheet.customers, base.customers, RemoveCustomer),
        *_remove_changes(sheet.routes, base.routes, RemoveRoute),
        *_remove_changes(sheet.models, base.models, RemoveModel),
    )
    trial = Revision(base.revision + 1, "", "", 0.0, changes)
    mistakes = _mistakes(sheet, apply_changes(base, trial))
    if mistakes:
        raise SheetError(source, mistakes)
    return changes


def _put_changes(section, present, put):
    return [
        put(value)
        for name, value in (section or {}).items()
        if present.get(name) != value
    ]


def _remove_changes(section, present, remove):
    if section is None:
        return []
    return [remove(name) for name in present if name not in section]


def _desired_servers(sheet, base):
    if sheet.servers is None:
        return None
    missing = {
        name: replace(server, state=ServerState.LEAVING)
        for name, server in base.servers.items()
        if name not in sheet.servers
    }
    return {**sheet.servers, **missing}


def _mistakes(sheet, after):
    """Return one line for each invalid entry or reference.

    `after` is the configuration with the sheet applied. If it is empty, only
    references within the sheet are checked.
    """
    models = _names(sheet.models, after.models)
    servers = _joined(after.servers) or sheet.servers
    return (
        *_misnamed("customers", sheet.customers, "name"),
        *_misnamed("models", sheet.models, "name"),
        *_misnamed("servers", sheet.servers, "name"),
        *_misnamed("routes", sheet.routes, "prefix"),
        *_unknown_models("customers", after.customers or sheet.customers, models),
        *_unknown_models("servers", servers, models),
        *_invalid_servers(servers),
        *_unknown_groups(after.routes or sheet.routes, _groups(servers)),
    )


def _misnamed(title, section, field):
    return [
        f"{title}.{name}.{field}: must be left out or {name!r}"
        for name, entry in (section or {}).items()
        if getattr(entry, field) != name
    ]


def _joined(servers):
    return {
        name: server
        for name, server in servers.items()
        if server.state is ServerState.JOINED
    }


def _names(section, present):
    if section is None and not present:
        return None
    return set(section or ()) | set(present)


def _groups(servers):
    if servers is None:
        return None
    return {
        entry.group for entry in servers.values() if entry.kind is ServerKind.SERVICE
    }


def _unknown_models(title, section, models):
    if models is None:
        return []
    return [
        f"{title}.{name}.models: no model named {model!r}"
        for name, entry in (section or {}).items()
        for model in entry.models
        if model not in models
    ]


def _invalid_servers(section):
    for name, entry in (section or {}).items():
        if entry.kind is ServerKind.SERVICE and entry.group is None:
            yield f"servers.{name}.group: missing; a service needs a group"
        if entry.kind is ServerKind.SERVICE and entry.models:
            yield f"servers.{name}.models: a service has no models"
        if entry.kind is ServerKind.ENGINE and not entry.models:
            yield f"servers.{name}.models: missing; an engine needs a model"


def _unknown_groups(section, groups):
    if groups is None:
        return []
    return [
        f"routes.{prefix}.group: no service in group {entry.group!r}"
        for prefix, entry in (section or {}).items()
        if entry.group not in groups
    ]

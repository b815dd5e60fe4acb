"""The day sheet: what operators want to be in force, as a TOML document.

A section that the sheet holds is made true as a whole; one that it lacks is
left as it is. Keys are not part of it: they are granted and withdrawn while
traffic runs.
"""

from dataclasses import fields, replace
from pathlib import Path
from typing import Annotated

from pydantic import Field
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
    Address,
    BackendServer,
    Configuration,
    Customer,
    Model,
    Name,
    Route,
    ServerKind,
    ServerState,
)
from cassiaford.documents import DocumentError, parse_document, read_text

PathPrefix = Annotated[str, Field(pattern=r"^/[!-~]*$")]


class SheetError(DocumentError):
    """The day sheet cannot be used; `mistakes` has one line for each fault."""


@dataclass(frozen=True, config=STRICT)
class SheetCustomer:
    """A customer in the sheet; see `Customer`."""

    rate: Annotated[float, Field(gt=0)]
    burst: Annotated[float, Field(gt=0)]
    models: tuple[Name, ...] = ()


@dataclass(frozen=True, config=STRICT)
class SheetModel:
    """A model in the sheet; see `Model`."""

    version: Name
    max_output: Annotated[int, Field(gt=0)] = 4096


@dataclass(frozen=True, config=STRICT)
class SheetServer:
    """A backend server in the sheet; see `BackendServer`."""

    address: Address
    data_centre: Name
    kind: ServerKind = ServerKind.ENGINE
    models: tuple[Name, ...] = ()
    group: Name | None = None
    checks_fencing: bool = False
    slots: Annotated[int, Field(gt=0)] = 32


@dataclass(frozen=True, config=STRICT)
class SheetRoute:
    """A route in the sheet; see `Route`."""

    group: Name
    methods: tuple[str, ...] = ("GET", "POST")
    repeatable: bool = True
    open_to_all: bool = False


@dataclass(frozen=True, config=STRICT)
class DaySheet:
    """What is to be in force; a section that is None is left as it is."""

    customers: dict[Name, SheetCustomer] | None = None
    models: dict[Name, SheetModel] | None = None
    servers: dict[Name, SheetServer] | None = None
    routes: dict[PathPrefix, SheetRoute] | None = None


def load_sheet(path: Path) -> DaySheet:
    """Return the day sheet in a TOML file; raises `SheetError`."""
    return parse_sheet(read_text(path, SheetError), str(path))


def parse_sheet(text: str, source: str = "sheet") -> DaySheet:
    """Return the day sheet in a TOML text.

    Raises `SheetError` with every mistake found, also with names that are
    used in one section and missing in another.
    """
    sheet = parse_document(text, source, DaySheet, "field", SheetError)
    mistakes = _mistakes(sheet, EMPTY_CONFIGURATION)
    if mistakes:
        raise SheetError(source, mistakes)
    return sheet


def plan_sheet(
    sheet: DaySheet, base: Configuration, source: str = "sheet"
) -> tuple[Change, ...]:
    """Return the changes that make a sheet true.

    Raises `SheetError` if the sheet does not fit what it leaves as it is. A
    backend server that the sheet no longer names leaves, so that what runs
    on it can end.
    """
    changes = (
        *_puts(_wanted_models(sheet), base.models, PutModel),
        *_puts(_wanted_servers(sheet, base), base.servers, PutServer),
        *_puts(_wanted_routes(sheet), base.routes, PutRoute),
        *_puts(_wanted_customers(sheet), base.customers, PutCustomer),
        *_removals(sheet.customers, base.customers, RemoveCustomer),
        *_removals(sheet.routes, base.routes, RemoveRoute),
        *_removals(sheet.models, base.models, RemoveModel),
    )
    trial = Revision(base.revision + 1, "", "", 0.0, changes)
    mistakes = _mistakes(sheet, apply_changes(base, trial))
    if mistakes:
        raise SheetError(source, mistakes)
    return changes


def _puts(wanted, present, put):
    return [put(value) for name, value in wanted.items() if present.get(name) != value]


def _removals(section, present, remove):
    if section is None:
        return []
    return [remove(name) for name in present if name not in section]


def _wanted_customers(sheet):
    return {
        name: Customer(name, entry.rate, entry.burst, entry.models)
        for name, entry in (sheet.customers or {}).items()
    }


def _wanted_models(sheet):
    return {
        name: Model(name, entry.version, entry.max_output)
        for name, entry in (sheet.models or {}).items()
    }


def _wanted_routes(sheet):
    return {
        prefix: Route(prefix, **_fields_of(entry))
        for prefix, entry in (sheet.routes or {}).items()
    }


def _wanted_servers(sheet, base):
    if sheet.servers is None:
        return {}
    wanted = {
        name: BackendServer(name, **_fields_of(entry))
        for name, entry in sheet.servers.items()
    }
    for name, server in base.servers.items():
        if name not in wanted:
            wanted[name] = replace(server, state=ServerState.LEAVING)
    return wanted


def _fields_of(entry):
    return {field.name: getattr(entry, field.name) for field in fields(entry)}


def _mistakes(sheet, after):
    """Return one line for each name that leads nowhere.

    `after` is the configuration that the sheet leads to; before that is
    known, only names within the sheet are checked.
    """
    models = _names(sheet.models, after.models)
    servers = _joined(after.servers) or sheet.servers
    return (
        *_unknown_models("customers", after.customers or sheet.customers, models),
        *_unknown_models("servers", servers, models),
        *_odd_servers(servers),
        *_unknown_groups(after.routes or sheet.routes, _groups(servers)),
    )


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


def _odd_servers(section):
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

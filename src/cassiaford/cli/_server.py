"""The commands that add and remove backend servers."""

from dataclasses import replace
from typing import Annotated

import typer
from pydantic import TypeAdapter

from cassiaford.cli._app import app
from cassiaford.cli._options import (
    AuthorOption,
    JsonOption,
    KeyValueOption,
    SettingsOption,
    open_log,
    write_revision,
)
from cassiaford.cli._output import (
    EXIT_CODES_HELP,
    CommandError,
    print_json,
    print_revision,
    print_table,
    reporting_errors,
)
from cassiaford.config import (
    COMMON_SOFTWARE,
    BackendServer,
    PutServer,
    RemoveServer,
    ServerKind,
    ServerState,
)

servers = typer.Typer(
    help="Add and remove backend servers.",
    epilog=EXIT_CODES_HELP,
    no_args_is_help=True,
)
app.add_typer(servers, name="server")

_SERVER = TypeAdapter(BackendServer)


@servers.command(epilog=EXIT_CODES_HELP)
def join(
    name: str,
    address: Annotated[str, typer.Option(help="Its address, such as 10.0.0.7:8000.")],
    data_centre: Annotated[str, typer.Option(help="The data centre that it is in.")],
    kind: Annotated[
        ServerKind, typer.Option(help="The kind of server.")
    ] = ServerKind.ENGINE,
    model: Annotated[
        list[str], typer.Option("--model", help="A model it serves; may be repeated.")
    ] = [],  # noqa: B006
    group: Annotated[str, typer.Option(help="The group of a plain service.")] = "",
    checks_fencing: Annotated[
        bool, typer.Option("--checks-fencing", help="It rejects outdated orders.")
    ] = False,
    slots: Annotated[
        int, typer.Option(min=1, help="Maximum concurrent requests.")
    ] = 32,
    software_version: Annotated[
        str, typer.Option(help="The version of its software, not of its weights.")
    ] = COMMON_SOFTWARE,
    key_value: KeyValueOption = "",
    settings: SettingsOption = None,
    author: AuthorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Add a backend server, or rejoin one that is leaving."""
    with reporting_errors():
        server = BackendServer(
            name=name,
            address=address,
            data_centre=data_centre,
            kind=kind,
            models=tuple(model),
            group=group or None,
            checks_fencing=checks_fencing,
            slots=slots,
            software_version=software_version,
        )
        log = open_log(key_value, settings)
        base = log.load()
        _check_server(base, server)
        print_revision(write_revision(log, base, [PutServer(server)], author), as_json)


@servers.command(epilog=EXIT_CODES_HELP)
def leave(
    name: str,
    forget: Annotated[
        bool, typer.Option("--forget", help="Remove it from the configuration.")
    ] = False,
    key_value: KeyValueOption = "",
    settings: SettingsOption = None,
    author: AuthorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Send a backend server no new requests; running ones may finish."""
    with reporting_errors():
        log = open_log(key_value, settings)
        base = log.load()
        if name not in base.servers:
            raise CommandError(f"no backend server named {name!r}")
        leaving = replace(base.servers[name], state=ServerState.LEAVING)
        change = RemoveServer(name) if forget else PutServer(leaving)
        print_revision(write_revision(log, base, [change], author), as_json)


@servers.command("list", epilog=EXIT_CODES_HELP)
def list_servers(
    key_value: KeyValueOption = "",
    settings: SettingsOption = None,
    as_json: JsonOption = False,
) -> None:
    """List all backend servers."""
    with reporting_errors():
        configuration = open_log(key_value, settings).load()
        listed = sorted(configuration.servers.values(), key=lambda s: s.name)
        if as_json:
            print_json([_SERVER.dump_python(server, mode="json") for server in listed])
            return
        rows = [
            (
                server.name,
                server.address,
                server.data_centre,
                server.kind.value,
                " ".join(server.models) or server.group or "",
                server.state.value,
                server.software_version,
            )
            for server in listed
        ]
        header = (
            "SERVER",
            "ADDRESS",
            "DATA CENTRE",
            "KIND",
            "SERVES",
            "STATE",
            "SOFTWARE",
        )
        print_table(header, rows)


def _check_server(base, server):
    if server.kind is ServerKind.SERVICE and server.group is None:
        raise CommandError("a plain service needs --group")
    if server.kind is ServerKind.ENGINE and not server.models:
        raise CommandError("an engine needs --model")
    for model in server.models:
        if model not in base.models:
            raise CommandError(f"no model named {model!r}")

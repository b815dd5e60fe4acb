"""A small installation on one machine, of real processes.

It consists of platform stand-ins, backend server stand-ins and instances. The
demo, the tests and the benchmarks use it.
"""

import json
import os
import pathlib
import secrets
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

import tomli_w
from pydantic import TypeAdapter

from cassiaford.config import BackendServer, Change, PutServer, Revision, ServerKind
from cassiaford.keyvalue import KeyValueService, connect_key_value
from cassiaford.settings import KeyValueSettings
from standins._records import RunRecord, read_records
from standins.processes import ProcessGroup, free_address

LOG_PREFIX = "config/log/"
KEY_VALUE = "key_value"
INSTANCE_LIST = "instance_list"
WEIGHT_STORE = "weight_store"
COMMAND_TIMEOUT_S = 30.0
_REVISION = TypeAdapter(Revision)


@dataclass(frozen=True)
class Layout:
    """The composition of an installation.

    `engine_options` are passed to every engine. `settings` holds additional
    settings of the instances by section; addresses and secrets are set by the
    cluster. `program` is the command line of the product.
    """

    program: tuple[str, ...] = (sys.executable, "-m", "cassiaford")
    instances: int = 3
    engines: int = 2
    services: int = 1
    data_centres: tuple[str, ...] = ("cluj", "sibiu", "brasov")
    models: tuple[tuple[str, str], ...] = (("binder-7b", "v1"),)
    service_group: str = "academy"
    engine_options: tuple[str, ...] = ()
    slots: int = 32
    list_lag_s: float = 1.0
    settings: dict[str, dict[str, object]] = field(default_factory=dict)


@dataclass(frozen=True)
class InstanceAddresses:
    """The addresses on which an instance listens."""

    name: str
    data_centre: str
    http: str
    peer: str


class Cluster:
    """The running processes of a layout, as a context manager.

    Leaving the context ends every process and removes the directory with the
    settings, records and logs.

    Examples
    --------
    >>> with Cluster(Layout(instances=1)) as cluster:
    ...     cluster.start_platform()
    ...     cluster.apply(changes)
    ...     cluster.start_instances()
    """

    def __init__(self, layout: Layout):
        self.layout = layout
        self.temporary = tempfile.TemporaryDirectory(prefix="cassiaford-")
        self.directory = pathlib.Path(self.temporary.name)
        self.group = ProcessGroup(self.directory)
        self.instances: dict[str, InstanceAddresses] = {}
        self.peer_secret = secrets.token_hex(16)
        self.token = secrets.token_hex(16)
        self.incarnations = 0

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.group.end_all()
        self.temporary.cleanup()

    @property
    def engine_names(self) -> list[str]:
        """The names of the engines."""
        return [f"engine-{index + 1}" for index in range(self.layout.engines)]

    @property
    def service_names(self) -> list[str]:
        """The names of the plain services."""
        return [f"service-{index + 1}" for index in range(self.layout.services)]

    def start_platform(self) -> None:
        """Start the platform's stand-ins and the backend servers; wait for all."""
        group = self.group
        group.launch_stand_in(KEY_VALUE)
        lag = str(self.layout.list_lag_s)
        group.launch_stand_in(INSTANCE_LIST, "--lag-s", lag)
        group.launch_stand_in(WEIGHT_STORE)
        for name in self.service_names:
            options = ("--record-file", str(self._record_file(name)))
            group.launch_stand_in("service", *options, name=name)
        for name in self.engine_names:
            self.launch_engine(name)
        for name in tuple(group.addresses):
            group.wait_until_open(name, group.addresses[name])

    def launch_engine(self, name: str) -> None:
        """Start an engine, or restart it at its previous address."""
        models = [f"--model={model}={version}" for model, version in self.layout.models]
        self.group.launch_stand_in(
            "engine",
            *models,
            *("--weight-store", self.group.addresses[WEIGHT_STORE]),
            *("--record-file", str(self._record_file(name))),
            *("--slots", str(self.layout.slots)),
            *self.layout.engine_options,
            name=name,
        )

    def servers(self) -> tuple[BackendServer, ...]:
        """Return the backend servers as entries of the configuration."""
        engines = [self._engine(name) for name in self.engine_names]
        services = [self._service(name) for name in self.service_names]
        return (*engines, *services)

    def server_changes(self) -> tuple[Change, ...]:
        """Return the configuration changes that add all backend servers."""
        return tuple(PutServer(server) for server in self.servers())

    def command(self, *arguments: str) -> dict:
        """Run an operator's command and return the decoded JSON that it prints."""
        environment = os.environ | self.group.environment
        environment["CASSIAFORD_KEY_VALUE"] = self.group.addresses[KEY_VALUE]
        completed = subprocess.run(
            [*self.layout.program, *arguments, "--json"],
            env=environment,
            stdout=subprocess.PIPE,
            timeout=COMMAND_TIMEOUT_S,
            check=True,
        )
        return json.loads(completed.stdout)

    def apply_sheet(self, sheet: dict[str, object]) -> int:
        """Apply a day sheet with the operator's command and return its revision."""
        path = self.directory / "day.toml"
        path.write_text(tomli_w.dumps(sheet), "utf-8")
        return self.command("sheet", "apply", str(path))["revision"]

    def connect_key_value(self) -> KeyValueService:
        """Return a new client of the key-value service."""
        return connect_key_value(KeyValueSettings(**self._key_value_settings()))

    def apply(self, changes: Sequence[Change], author: str = "operator") -> int:
        """Write changes as the next configuration revision; return its number."""
        service = self.connect_key_value()
        try:
            number = len(service.list(LOG_PREFIX)) + 1
            revision = Revision(
                number, author, secrets.token_hex(8), time.time(), tuple(changes)
            )
            value = _REVISION.dump_json(revision)
            result = service.compare_and_swap(f"{LOG_PREFIX}{number:012d}", value, 0)
        finally:
            service.close()
        if not result.swapped:
            raise RuntimeError(f"revision {number} was written concurrently")
        return number

    def start_instances(self) -> None:
        """Start all instances of the layout and wait until they are ready."""
        names = [f"entry-{index + 1}" for index in range(self.layout.instances)]
        for name in names:
            self.launch_instance(name)
        for name in names:
            self.group.wait_until_ready(name, self.instances[name].http)

    def launch_instance(self, name: str) -> InstanceAddresses:
        """Start an instance, or restart it at its previous addresses."""
        existing = self.instances.get(name)
        addresses = existing or self._new_instance(name)
        self.instances[name] = addresses
        path = self.directory / f"{name}.toml"
        path.write_text(tomli_w.dumps(self._settings(addresses)), "utf-8")
        command = [*self.layout.program, "serve", "--settings", str(path)]
        self.group.start(name, command)
        self.incarnations += 1
        self._register(addresses, leaving=False)
        return addresses

    def kill_instance(self, name: str) -> None:
        """Kill an instance; the instance list drops it after its lag."""
        self.group.kill(name)
        self._call_instance_list("DELETE", name)

    def stop_instance(self, name: str, timeout_s: float) -> int:
        """Stop an instance gracefully and return its exit status."""
        self._register(self.instances[name], leaving=True)
        status = self.group.terminate(name, timeout_s)
        self._call_instance_list("DELETE", name)
        return status

    def settings_path(self, name: str) -> pathlib.Path:
        """Return the path of an instance's settings."""
        return self.directory / f"{name}.toml"

    def log_text(self, name: str) -> str:
        """Return what a process wrote to its standard output and error."""
        return (self.directory / f"{name}.log").read_text("utf-8", "replace")

    def run_records(self) -> dict[str, list[RunRecord]]:
        """Return the records of each backend server, ended ones included."""
        names = [*self.engine_names, *self.service_names]
        return {name: read_records(str(self._record_file(name))) for name in names}

    def _record_file(self, name):
        return self.directory / f"{name}.runs"

    def _engine(self, name):
        return BackendServer(
            name=name,
            address=self.group.addresses[name],
            data_centre=self._data_centre(name),
            models=tuple(model for model, _ in self.layout.models),
            slots=self.layout.slots,
        )

    def _service(self, name):
        return BackendServer(
            name=name,
            address=self.group.addresses[name],
            data_centre=self._data_centre(name),
            kind=ServerKind.SERVICE,
            group=self.layout.service_group,
            slots=self.layout.slots,
        )

    def _data_centre(self, name):
        number = int(name.rsplit("-", 1)[1])
        return self.layout.data_centres[(number - 1) % len(self.layout.data_centres)]

    def _new_instance(self, name):
        data_centre = self._data_centre(name)
        return InstanceAddresses(name, data_centre, free_address(), free_address())

    def _settings(self, addresses):
        seeds = [other.peer for other in self.instances.values()]
        settings = {
            "instance": addresses.name,
            "data_centre": addresses.data_centre,
            "http": {"address": addresses.http},
            "peers": {
                "address": addresses.peer,
                "secret": self.peer_secret,
                "seeds": [seed for seed in seeds if seed != addresses.peer],
            },
            "key_value": self._key_value_settings(),
            "control": {"token": self.token},
        }
        for section, values in self.layout.settings.items():
            settings[section] = settings.get(section, {}) | values
        return settings

    def _key_value_settings(self):
        return {
            "address": self.group.addresses[KEY_VALUE],
            "list_address": self.group.addresses[INSTANCE_LIST],
        }

    def _register(self, addresses, leaving):
        record = {
            "instance": addresses.name,
            "incarnation": self.incarnations,
            "data_centre": addresses.data_centre,
            "http_address": addresses.http,
            "peer_address": addresses.peer,
            "leaving": leaving,
        }
        self._call_instance_list("PUT", addresses.name, record)

    def _call_instance_list(self, method, name, record=None):
        address = self.group.addresses[INSTANCE_LIST]
        url = f"http://{address}/v1/instances/{name}"
        self.group.http.request(method, url, json=record, timeout=5.0)

"""Build and measurement of the single binary, ``dist/cassiaford``.

The binary is a zip application made by shiv. It contains the installed packages
that the product needs, in the versions that the tests ran with, so building it
needs no network.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass
from importlib import metadata

from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

from standins.cluster import Cluster, InstanceAddresses, Layout
from standins.processes import ROOT

TARGET = ROOT / "dist" / "cassiaford"
INTERPRETER = "/usr/bin/env python3.11"
# The resolved path: a version manager's script in place of the interpreter may start
# processes of its own, and the interpreter of a virtual environment would find
# packages that the binary lacks.
INTERPRETER_DIRECTORY = pathlib.Path(sys.executable).resolve().parent
# hdrhistogram requires it for its build; nothing imports it at run time.
BUILD_ONLY_PACKAGES = {"setuptools"}
MEGABYTE = 1024 * 1024
STOP_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class BinaryRun:
    """Measurements of one instance that runs from the binary.

    `children` are all child processes seen until the instance was ready.
    """

    ready_after_s: float
    resident_mb: float
    children: tuple[int, ...]
    exit_status: int


def build(target: pathlib.Path) -> None:
    """Build the binary."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(prefix="cassiaford-build-") as directory:
        staging = pathlib.Path(directory)
        for name in runtime_packages():
            _copy_package(name, staging)
        shutil.copytree(ROOT / "src" / "cassiaford", staging / "cassiaford")
        _remove_bytecode(staging)
        _run_shiv(staging, target)


def runtime_packages() -> list[str]:
    """Return the names of all packages that the product needs to run."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text("utf-8"))["project"]
    pending = [Requirement(line) for line in project["dependencies"]]
    names = set()
    while pending:
        requirement = pending.pop()
        name = canonicalize_name(requirement.name)
        if name in names | BUILD_ONLY_PACKAGES or not _applies(requirement):
            continue
        names.add(name)
        pending.extend(map(Requirement, metadata.requires(name) or ()))
    return sorted(names)


def measure(binary: pathlib.Path, root: pathlib.Path) -> BinaryRun:
    """Run one instance from the binary, unpacked under `root`, and measure it."""
    with Cluster(Layout(instances=1, program=(str(binary),))) as cluster:
        cluster.start_platform()
        cluster.apply(cluster.server_changes())
        # Hides the sources, so that the instance finds only what the binary contains.
        cluster.group.environment = {
            "PATH": f"{INTERPRETER_DIRECTORY}{os.pathsep}{os.environ['PATH']}",
            "PYTHONPATH": "",
            "SHIV_ROOT": str(root),
        }
        started_at = time.monotonic()
        name = "entry-1"
        instance: InstanceAddresses = cluster.launch_instance(name)
        pid = cluster.group.processes[name].pid
        children = set()

        def is_ready():
            children.update(child_processes(pid))
            return cluster.group.is_ready(instance.http)

        cluster.group.wait_for(name, is_ready)
        ready_after_s = time.monotonic() - started_at
        return BinaryRun(
            ready_after_s=ready_after_s,
            resident_mb=_resident_mb(pid),
            children=tuple(children),
            exit_status=cluster.stop_instance(name, STOP_TIMEOUT_S),
        )


def child_processes(pid: int) -> tuple[int, ...]:
    """Return the ids of a process's children, whichever thread started them."""
    children = []
    for path in pathlib.Path(f"/proc/{pid}/task").glob("*/children"):
        children.extend(int(child) for child in path.read_text().split())
    return tuple(children)


def _applies(requirement):
    return requirement.marker is None or requirement.marker.evaluate({"extra": ""})


def _copy_package(name, staging):
    for file in metadata.files(name) or ():
        if ".." in file.parts or "__pycache__" in file.parts:
            continue
        destination = staging / file
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(file.locate(), destination)


def _remove_bytecode(staging):
    for directory in tuple(staging.rglob("__pycache__")):
        shutil.rmtree(directory)


def _run_shiv(staging, target):
    # --compile-pyc is omitted, as it would start processes at the first run.
    arguments = ["--site-packages", str(staging), "--output-file", str(target)]
    arguments += ["--entry-point", "cassiaford.cli:main", "--python", INTERPRETER]
    command = [sys.executable, "-m", "shiv", *arguments, "--reproducible"]
    subprocess.run(command, check=True, cwd=staging)


def _resident_mb(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def main() -> int:
    """Build the binary, print its measurements and return the exit status."""
    started_at = time.monotonic()
    build(TARGET)
    print(f"built {TARGET.relative_to(ROOT)} in {time.monotonic() - started_at:.1f} s")
    print(f"size {TARGET.stat().st_size / MEGABYTE:.1f} MB")
    with tempfile.TemporaryDirectory(prefix="cassiaford-binary-") as directory:
        read_only = pathlib.Path(directory) / "read-only"
        read_only.mkdir()
        binary = shutil.copy2(TARGET, read_only / "cassiaford")
        read_only.chmod(0o555)
        root = pathlib.Path(directory) / "unpacked"
        runs = [measure(binary, root), measure(binary, root)]
        read_only.chmod(0o755)
        unpacked = sum(f.stat().st_size for f in root.rglob("*") if f.is_file())
    print(f"unpacked {unpacked / MEGABYTE:.1f} MB")
    for name, run in zip(("first", "second"), runs, strict=True):
        print(
            f"{name} start: ready after {run.ready_after_s:.2f} s, "
            f"resident {run.resident_mb:.0f} MB, children {len(run.children)}, "
            f"exit status {run.exit_status}"
        )
    return 1 if any(run.children or run.exit_status for run in runs) else 0


if __name__ == "__main__":
    os.umask(0o022)
    sys.exit(main())

"""Child processes: starting stand-ins and instances, and ending all of them."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import urllib3

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02
ROOT = pathlib.Path(__file__).resolve().parent.parent


def free_address() -> str:
    """Return a loopback address with a port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class ProcessGroup:
    """A group of named child processes; leaving the context ends all of them.

    Examples
    --------
    >>> with ProcessGroup() as group:
    ...     address = group.start_stand_in("key_value")
    """

    def __init__(self, log_directory: pathlib.Path | None = None):
        self.log_directory = log_directory
        self.environment = {"PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"}
        self.processes: dict[str, subprocess.Popen] = {}
        self.addresses: dict[str, str] = {}
        self.http = urllib3.PoolManager(num_pools=64, maxsize=4, retries=False)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.end_all()

    def start_stand_in(self, module: str, *options: str, name: str = "") -> str:
        """Start ``python -m standins.MODULE`` and return its address once open."""
        address = self.launch_stand_in(module, *options, name=name)
        self.wait_until_open(name or module, address)
        return address

    def launch_stand_in(self, module: str, *options: str, name: str = "") -> str:
        """Start ``python -m standins.MODULE``; return its address without waiting."""
        name = name or module
        address = self.addresses.setdefault(name, free_address())
        command = [sys.executable, "-m", f"standins.{module}", "--address", address]
        self.start(name, [*command, *options])
        return address

    def start(self, name: str, command: list[str]) -> subprocess.Popen:
        """Start a process; its output is appended to ``NAME.log`` or discarded."""
        output = subprocess.DEVNULL
        if self.log_directory:
            output = open(self.log_directory / f"{name}.log", "ab")  # noqa: SIM115
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=os.environ | self.environment,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
        if output is not subprocess.DEVNULL:
            output.close()
        self.processes[name] = process
        return process

    def wait_until_open(self, name: str, address: str) -> None:
        """Wait until a process accepts connections."""
        host, port = address.split(":")
        self.wait_for(name, lambda: _accepts_connections(host, int(port)))

    def wait_until_ready(self, name: str, address: str) -> None:
        """Wait until ``GET /readyz`` returns 200."""
        self.wait_for(name, lambda: self.is_ready(address))

    def is_ready(self, address: str) -> bool:
        """Return whether ``GET /readyz`` returns 200."""
        try:
            url = f"http://{address}/readyz"
            return self.http.request("GET", url, timeout=1.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def wait_for(self, name: str, condition) -> None:
        """Wait until a condition holds; raise if the process ends before."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while not condition():
            status = self.processes[name].poll()
            if status is not None:
                raise RuntimeError(f"{name} ended with status {status}")
            if time.monotonic() > deadline:
                raise TimeoutError(f"{name} was not ready in {START_TIMEOUT_S} s")
            time.sleep(POLL_INTERVAL_S)

    def running(self) -> list[str]:
        """Return the names of the running processes."""
        return [name for name, p in self.processes.items() if p.poll() is None]

    def control(self, name: str, target: str, body: object = None):
        """Send a control call to a stand-in and return the decoded response."""
        method = "GET" if body is None else "POST"
        url = f"http://{self.addresses[name]}{target}"
        return self.http.request(method, url, json=body, timeout=5.0).json()

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        self.processes[name].kill()
        self.processes[name].wait()

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self.processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Terminate a process with SIGTERM and return its exit status."""
        self.processes[name].terminate()
        return self.processes[name].wait(timeout_s)

    def end_all(self) -> None:
        """Terminate every process; kill those that do not end in time."""
        running = [p for p in self.processes.values() if p.poll() is None]
        for process in running:
            process.terminate()
            process.send_signal(signal.SIGCONT)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in running:
            _reap(process, max(0.0, deadline - time.monotonic()))
        self.http.clear()


def _accepts_connections(host, port):
    try:
        socket.create_connection((host, port), 1.0).close()
    except OSError:
        return False
    return True


def _reap(process, timeout_s):
    try:
        process.wait(timeout_s)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()

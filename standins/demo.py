"""Runs the product under load and faults on one machine and checks invariants.

The demo starts the stand-ins and three instances, sends requests as callers
would, kills one instance and one engine meanwhile, withdraws a key, stops the
other instances gracefully and prints a table. The exit status is 0 only if
every invariant held.
"""

import signal
import sys
import time

import urllib3

from standins._demo_callers import AcademyWorkload, CallerPool, EntryFinder
from standins._demo_report import Check, Evidence, format_table, run_checks
from standins._demo_sheet import CUSTOMER, FORMER_CUSTOMER, MODEL, academy_sheet
from standins.cluster import Cluster, Layout

SEED = 1
DATA_CENTRE = "cluj"
MARKING_CALLERS = 10
CHECK_CALLERS = 4
SERVICE_PAUSE_S = 0.2
# The callers run for this time before, between and after the faults.
PHASE_S = 3.0
MEMBERSHIP_TIMEOUT_S = 10.0
WITHDRAWAL_BOUND_S = 5.0
STOP_TIMEOUT_S = 20.0
LAYOUT = Layout(
    instances=3,
    engines=3,
    engine_options=("--cache-blocks", "64", "--prefill-rate", "40000"),
)


class Demo:
    """The state and the steps of the demo."""

    def __init__(self, cluster: Cluster):
        self.cluster = cluster
        self.keys: dict[str, dict] = {}
        self.finder = EntryFinder([], CUSTOMER, DATA_CENTRE)
        self.callers = CallerPool(self.finder)
        self.checks: list[Check] = []
        self.stop_statuses: list[int] = []
        self.killed_address = ""

    def run(self) -> bool:
        """Run all steps and return whether every invariant held."""
        self._set_up()
        started_at = time.monotonic()
        self._start_callers()
        time.sleep(PHASE_S)
        self._kill_instance()
        time.sleep(PHASE_S)
        self._kill_engine()
        self._withdraw_key()
        time.sleep(PHASE_S)
        self._stop_instances()
        self._report(time.monotonic() - started_at)
        return all(check.held for check in self.checks)

    def _set_up(self):
        _print_line("starting the platform and the backend servers")
        self.cluster.start_platform()
        revision = self.cluster.apply_sheet(academy_sheet(self.cluster))
        _print_line(f"day sheet applied as revision {revision}")
        for customer in (CUSTOMER, FORMER_CUSTOMER):
            self.keys[customer] = self.cluster.command("key", "grant", customer)
        _print_line(f"starting {LAYOUT.instances} instances")
        self.cluster.start_instances()
        known_addresses = [
            instance.http for instance in self.cluster.instances.values()
        ]
        self.finder.known_addresses.extend(known_addresses)
        entries = [self._name_of(address) for address in self._wait_for_all_entries()]
        _print_line(f"entry instances for {CUSTOMER}: {', '.join(entries)}")

    def _wait_for_all_entries(self):
        """Wait until the lookup names every instance; return the addresses."""
        deadline = time.monotonic() + MEMBERSHIP_TIMEOUT_S
        while (
            len(self.finder.refresh()) < LAYOUT.instances
            and time.monotonic() < deadline
        ):
            time.sleep(0.05)
        return self.finder.refresh()

    def _start_callers(self):
        _print_line("callers start")
        academy = AcademyWorkload(MODEL, self.keys[CUSTOMER]["key"], SEED)
        for _ in range(MARKING_CALLERS):
            self.callers.start(academy.marking)
        for _ in range(CHECK_CALLERS):
            self.callers.start(academy.check, pause_s=0.1)
        self.callers.start(academy.booking, SERVICE_PAUSE_S)
        self.callers.start(academy.lookup, SERVICE_PAUSE_S)

    def _kill_instance(self):
        self.killed_address = self.finder.refresh()[0]
        name = self._name_of(self.killed_address)
        _print_line(f"killing instance {name} while requests run")
        self.cluster.kill_instance(name)

    def _kill_engine(self):
        name = self.cluster.engine_names[0]
        _print_line(f"killing {name} while requests run")
        self.cluster.group.kill(name)

    def _withdraw_key(self):
        _print_line(f"withdrawing the key of {FORMER_CUSTOMER}")
        before = self._former_key_statuses()
        key_id = self.keys[FORMER_CUSTOMER]["key_id"]
        self.cluster.command("key", "withdraw", key_id)
        deadline = time.monotonic() + WITHDRAWAL_BOUND_S
        while time.monotonic() < deadline and set(self._former_key_statuses()) != {401}:
            time.sleep(0.05)
        after = self._former_key_statuses()
        held = set(before) == {200} and set(after) == {401}
        detail = f"statuses before {before}, after {after}"
        self.checks.append(Check("a withdrawn key stops in seconds", held, detail))

    def _former_key_statuses(self):
        headers = {"Authorization": f"Bearer {self.keys[FORMER_CUSTOMER]['key']}"}
        return [
            urllib3.request(
                "GET",
                f"http://{address}/v1/models",
                headers=headers,
                retries=False,
                timeout=5.0,
            ).status
            for address in self._live_addresses()
        ]

    def _stop_instances(self):
        first, last = [self._name_of(address) for address in self._live_addresses()]
        _print_line(f"stopping {first} gracefully while requests run")
        self._stop(first)
        self.callers.stop()
        _print_line(f"stopping {last} gracefully while the last requests run")
        self._stop(last)
        ended = self.callers.join(STOP_TIMEOUT_S)
        held = ended and not self.callers.faults
        detail = f"{len(self.callers.results)} calls, faults {self.callers.faults}"
        self.checks.append(Check("every call came to an end", held, detail))

    def _stop(self, name):
        self.stop_statuses.append(self.cluster.stop_instance(name, STOP_TIMEOUT_S))

    def _report(self, elapsed_s):
        records = [r for rs in self.cluster.run_records().values() for r in rs]
        evidence = Evidence(
            results=tuple(self.callers.results),
            records=records,
            keys=[granted["key"] for granted in self.keys.values()],
            killed_address=self.killed_address,
            stop_statuses=self.stop_statuses,
        )
        self.checks.extend(run_checks(evidence))
        print()
        print(format_table(evidence.results))
        print("(first token: of requests that do not stream, the whole answer)")
        print()
        _print_line(f"took {elapsed_s:.1f} s after set-up")

    def _live_addresses(self):
        return [
            instance.http
            for name, instance in self.cluster.instances.items()
            if name in self.cluster.group.running()
        ]

    def _name_of(self, address):
        for name, instance in self.cluster.instances.items():
            if instance.http == address:
                return name
        raise LookupError(f"no instance at {address}")


def main() -> int:
    """Run the demo and return the exit status."""
    # On SIGTERM, leave the contexts, so that the child processes end too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    with Cluster(LAYOUT) as cluster:
        demo = Demo(cluster)
        held = demo.run()
    left = cluster.group.running()
    demo.checks.append(Check("no process is left behind", not left, f"left: {left}"))
    for check in demo.checks:
        mark = "held  " if check.held else "BROKEN"
        print(f"{mark} {check.name} ({check.detail})")
    return 0 if held and not left else 1


def _print_line(text):
    print(text, flush=True)


if __name__ == "__main__":
    sys.exit(main())

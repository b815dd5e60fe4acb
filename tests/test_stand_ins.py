"""Tests of the stand-ins and of the harness that runs processes."""

import asyncio
import os
import subprocess
import sys
import time
import unittest

import urllib3

from standins._http import Request
from standins.cluster import Cluster, Layout
from standins.processes import ROOT, ProcessGroup
from standins.weight_store import WeightStoreStandIn

WAIT_TIMEOUT_S = 10.0
ORPHAN_SCRIPT = """
import os
from standins.processes import ProcessGroup
group = ProcessGroup()
group.start_stand_in("weight_store")
print(group.processes["weight_store"].pid, flush=True)
os._exit(0)
"""


def is_alive(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


class ProcessGroupTest(unittest.TestCase):
    def test_no_process_is_left_after_a_failure(self):
        with self.assertRaises(ZeroDivisionError):
            with ProcessGroup() as group:
                group.start_stand_in("weight_store")
                group.pause("weight_store")
                raise ZeroDivisionError
        self.assertEqual(group.running(), [])

    def test_stand_in_ends_when_its_parent_dies(self):
        environment = os.environ | {"PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"}
        parent = subprocess.run(
            [sys.executable, "-c", ORPHAN_SCRIPT],
            env=environment,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            timeout=60,
            check=True,
        )
        pid = int(parent.stdout)
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while is_alive(pid) and time.monotonic() < deadline:
            time.sleep(0.05)
        self.assertFalse(is_alive(pid))

    def test_process_that_ends_early_is_an_error(self):
        with ProcessGroup() as group:
            with self.assertRaises(RuntimeError):
                group.start_stand_in("weight_store", "--no-such-option")

    def test_graceful_stop_has_status_zero(self):
        with ProcessGroup() as group:
            group.start_stand_in("weight_store")
            self.assertEqual(group.terminate("weight_store"), 0)


class WeightStoreTest(unittest.IsolatedAsyncioTestCase):
    async def test_loads_over_the_limit_share_the_rate(self):
        store = WeightStoreStandIn(load_s=0.1, max_concurrent=1)
        request = Request("GET", "/v1/weights/m/v1", {}, {}, b"", None)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await asyncio.gather(*(store.handle(request) for _ in range(3)))
        # At a shared rate three loads of 0.1 s take 0.3 s, less the step of updates.
        self.assertGreater(loop.time() - started_at, 0.25)
        self.assertEqual((store.counts.loads, store.counts.most_at_once), (3, 3))


class ServiceTest(unittest.TestCase):
    def setUp(self):
        self.group = ProcessGroup()
        self.addCleanup(self.group.end_all)
        self.address = self.group.start_stand_in("service")

    def book(self, request_id):
        return urllib3.request(
            "POST",
            f"http://{self.address}/bookings",
            json={"exam": 1},
            headers={"X-Request-Id": request_id, "Idempotency-Key": "k"},
            retries=False,
        )

    def runs(self):
        runs = self.group.control("service", "/control/runs")
        return [(run["request_id"], run["idempotency_key"]) for run in runs]

    def test_a_rejected_booking_has_not_run_and_a_lost_response_has(self):
        faults = {"refuse": 1, "lose_answers": 1}
        self.group.control("service", "/control/faults", faults)
        rejected = self.book("r1")
        self.assertEqual(rejected.status, 503)
        self.assertEqual(rejected.headers["X-Not-Started"], "true")
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.book("r2")
        self.assertEqual(self.book("r3").status, 201)
        self.assertEqual(self.runs(), [("r2", "k"), ("r3", "k")])


class ClusterTest(unittest.TestCase):
    def test_platform_starts_and_revisions_are_consecutive(self):
        with Cluster(Layout(instances=0, engines=1)) as cluster:
            cluster.start_platform()
            self.assertEqual(cluster.apply(cluster.server_changes()), 1)
            self.assertEqual(cluster.apply(()), 2)
            entry = cluster.connect_key_value().get("config/log/000000000001")
            self.assertIn(b"engine-1", entry.value)
            directory = cluster.directory
        self.assertEqual(cluster.group.running(), [])
        self.assertFalse(directory.exists())


if __name__ == "__main__":
    unittest.main()

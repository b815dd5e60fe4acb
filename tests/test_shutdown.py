"""Tests of shutdown before or during the start, and of failing starts."""

import threading
import unittest

from cassiaford.config import Model, PutModel
from cassiaford.instance import create_instance
from cassiaford.logs import Event
from cassiaford.settings import parse_settings
from standins.cluster import KEY_VALUE, Cluster, Layout
from standins.processes import free_address

HANG_TIMEOUT_S = 30.0
SETTINGS = """
instance = "entry-1"
data_centre = "cluj"
[http]
address = "{}"
[peers]
address = "{}"
secret = "a long secret of the fleet"
[key_value]
address = "{}"
list_address = "{}"
[control]
token = "an operator's long token"
[limits]
lookup_max_age_s = 0.1
"""


def isolated_instance():
    """Return an instance that reaches neither the key-value service nor a peer."""
    addresses = [free_address() for _ in range(4)]
    return create_instance(parse_settings(SETTINGS.format(*addresses)))


class ShutdownTest(unittest.TestCase):
    def test_shutdown_before_the_instance_is_ready_ends_it(self):
        instance = isolated_instance()
        start = threading.Thread(target=instance.start, daemon=True)
        start.start()
        self.assertEqual(instance.drain(), 0)
        start.join(HANG_TIMEOUT_S)
        self.assertFalse(start.is_alive())
        events = [record.event for record in instance.journal.snapshot()]
        self.assertNotIn(Event.INSTANCE_READY, events)
        self.assertFalse(instance.server.ready)

    def test_second_signal_ends_the_wait(self):
        instance = isolated_instance()
        instance.abort_drain()
        self.assertEqual(instance.drain(), 0)


class FailedStartTest(unittest.TestCase):
    def test_address_in_use_is_reported_and_ends_the_process(self):
        layout = Layout(instances=0, engines=0, services=0)
        cluster = self.enterContext(Cluster(layout))
        cluster.start_platform()
        cluster.apply((PutModel(Model("binder", "v1", 100)),))
        used_address = cluster.group.addresses[KEY_VALUE]
        for section in ("http", "peers"):
            with self.subTest(section):
                layout.settings.clear()
                layout.settings[section] = {"address": used_address}
                name = f"{section}-1"
                cluster.launch_instance(name)
                status = cluster.group.processes[name].wait(HANG_TIMEOUT_S)
                text = cluster.log_text(name)
                self.assertEqual(status, 2, text)
                self.assertIn("cannot listen", text)
                self.assertNotIn("Traceback", text)


if __name__ == "__main__":
    unittest.main()

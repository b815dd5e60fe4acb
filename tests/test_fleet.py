"""Tests of several instances over loopback sockets."""

import socket
import threading
import time
import unittest
from unittest import mock

from cassiaford.config import Customer, PutCustomer, PutKey, RemoveKey, issue_key
from cassiaford.fleet import Author, Channel, ConfigurationLog, create_fleet
from cassiaford.keyvalue import InstanceRecord
from cassiaford.settings import parse_settings
from cassiaford.timeline import HybridClock, Journal
from tests.fakes_keyvalue import FakeKeyValueService

HANG_TIMEOUT_S = 30.0
OPERATOR = Author("operator")

SECRET = "a long secret, shared"
SETTINGS = """
instance = "{name}"
data_centre = "cluj"
[http]
address = "127.0.0.1:8080"
[peers]
address = "127.0.0.1:0"
secret = "{secret}"
seeds = [{seeds}]
heartbeat_interval_s = 0.1
[key_value]
address = "127.0.0.1:9000"
list_address = "127.0.0.1:9001"
[control]
token = "an operator's long token"
[limits]
stale_after_s = 1.0
"""


class FakeInstanceList:
    """A stand-in for the platform's instance list that fails while it is empty."""

    def __init__(self):
        self.records = []

    def fetch(self):
        if not self.records:
            raise OSError("the instance list does not respond")
        return tuple(self.records)


def wait_for(condition):
    deadline = time.monotonic() + HANG_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError("condition not met in time")
        time.sleep(0.01)


class FleetCase(unittest.TestCase):
    def setUp(self):
        self.key_value = FakeKeyValueService()
        self.instance_list = FakeInstanceList()
        self.log = ConfigurationLog(self.key_value, sleep=lambda seconds: None)

    def start(
        self, name, seeds=(), incarnation=1, secret=SECRET, start=True, key_value=None
    ):
        text = SETTINGS.format(
            name=name, secret=secret, seeds=",".join(f'"{seed}"' for seed in seeds)
        )
        journal = Journal(
            name, incarnation, HybridClock(time.time), write=lambda *line: None
        )
        fleet = create_fleet(
            parse_settings(text),
            key_value or self.key_value,
            self.instance_list,
            journal,
            incarnation,
            time.monotonic,
        )
        self.addCleanup(fleet.stop)
        if start:
            fleet.start()
            fleet.announce_ready()
        return fleet

    def start_fleet(self, count):
        first = self.start("entry-0")
        rest = [
            self.start(f"entry-{n}", [first.sockets.address]) for n in range(1, count)
        ]
        fleets = [first, *rest]
        wait_for(lambda: all(len(fleet.members()) == count for fleet in fleets))
        return fleets

    def write(self, *changes):
        return self.log.append(self.log.load(), changes, OPERATOR)


class FleetTest(FleetCase):
    def test_a_withdrawn_key_is_out_of_force_everywhere(self):
        fleets = self.start_fleet(4)
        key = issue_key("academy").entry
        self.write(PutCustomer(Customer("academy", 10, 10)), PutKey(key))
        stores = [fleet.configuration for fleet in fleets]
        wait_for(lambda: all(key.key_id in store.current.keys for store in stores))
        self.write(RemoveKey(key.key_id))
        wait_for(lambda: all(store.current.revision == 2 for store in stores))
        self.assertFalse(any(store.current.keys for store in stores))
        wait_for(lambda: all(store.is_fresh(time.monotonic()) for store in stores))
        wait_for(lambda: all(store.is_ready() for store in stores))

    def assert_applies_a_withdrawal(self, key_value):
        fleets = self.start_fleet(3)
        key = issue_key("academy").entry
        self.write(PutCustomer(Customer("academy", 10, 10)), PutKey(key))
        address = fleets[0].sockets.address
        store = self.start("entry-9", [address], key_value=key_value).configuration
        wait_for(lambda: key.key_id in store.current.keys)
        self.write(RemoveKey(key.key_id))
        wait_for(lambda: key.key_id not in store.current.keys)
        wait_for(lambda: store.is_fresh(time.monotonic()))

    def test_an_instance_without_the_service_applies_a_withdrawal(self):
        unreachable = FakeKeyValueService()
        unreachable.set_down(True)
        self.assert_applies_a_withdrawal(unreachable)

    def test_an_instance_whose_watch_does_not_return_applies_a_withdrawal(self):
        release = threading.Event()
        self.addCleanup(release.set)
        hanging_service = mock.Mock(wraps=self.key_value)
        hanging_service.watch = lambda *arguments: release.wait(HANG_TIMEOUT_S) and None
        self.assert_applies_a_withdrawal(hanging_service)

    def test_an_instance_that_starts_in_an_outage_learns_from_its_peers(self):
        fleets = self.start_fleet(3)
        self.write(PutCustomer(Customer("academy", 10, 10)))
        wait_for(lambda: all(f.configuration.current.revision == 1 for f in fleets))
        self.key_value.set_down(True)
        late = self.start("entry-9", [fleets[1].sockets.address])
        self.assertFalse(late.configuration.is_ready())
        wait_for(lambda: late.configuration.is_ready())
        self.assertIn("academy", late.configuration.current.customers)
        wait_for(lambda: late.configuration.is_fresh(time.monotonic()))

    def test_an_instance_alone_in_an_outage_becomes_stale(self):
        alone = self.start("entry-0")
        store = alone.configuration
        wait_for(lambda: store.is_fresh(time.monotonic()))
        self.key_value.set_down(True)
        wait_for(lambda: not store.is_fresh(time.monotonic()))
        self.key_value.set_down(False)
        wait_for(lambda: store.is_fresh(time.monotonic()))

    def test_a_new_instance_loads_everything_after_the_log_was_trimmed(self):
        fleets = self.start_fleet(3)
        for number in range(1, 131):
            self.write(PutCustomer(Customer(f"customer-{number}", 1, 1)))
        stores = [fleet.configuration for fleet in fleets]
        wait_for(lambda: all(store.current.revision == 130 for store in stores))
        wait_for(lambda: self.log.head().revision >= 64)
        late = self.start("entry-9", [fleets[1].sockets.address])
        wait_for(lambda: len(late.configuration.current.customers) == 130)

    def test_a_failing_callback_does_not_stop_the_others(self):
        fleet = self.start("entry-0")
        changes = []
        fleet.configuration.on_change(lambda old, new: 1 / 0)
        fleet.configuration.on_change(lambda old, new: changes.append(new))
        self.write(PutCustomer(Customer("academy", 1, 1)))
        wait_for(lambda: changes)

    def test_a_fleet_that_was_not_started_can_be_stopped(self):
        fleet = self.start("entry-0", start=False)
        fleet.stop()
        self.assertTrue(fleet.sockets.stopped)

    def test_an_incomplete_request_does_not_block_the_peer_thread(self):
        fleets = self.start_fleet(2)
        host, _, port = fleets[0].sockets.address.rpartition(":")
        with socket.create_connection((host, int(port))) as slow:
            slow.sendall(b"\0\0")
            self.write(PutCustomer(Customer("academy", 1, 1)))
            wait_for(lambda: all(f.configuration.current.revision == 1 for f in fleets))
            self.assertEqual(len(fleets[1].members()), 2)

    def test_a_leaving_instance_is_no_longer_returned_to_callers(self):
        fleets = self.start_fleet(3)
        wait_for(lambda: len(fleets[0].entry_instances("academy", "cluj")) == 3)
        fleets[2].leave()
        wait_for(lambda: len(fleets[0].entry_instances("academy", "cluj")) == 2)
        self.assertEqual(len(fleets[0].members()), 3)
        fleets[2].stop()
        wait_for(lambda: len(fleets[0].members()) == 2)

    def test_instances_find_one_another_by_the_instance_list(self):
        first = self.start("entry-0")
        self.instance_list.records = [
            InstanceRecord("entry-0", 1, "cluj", "", first.sockets.address, False),
            InstanceRecord("gone", 1, "cluj", "", "127.0.0.1:1", False),
        ]
        second = self.start("entry-1")
        wait_for(lambda: len(second.members()) == len(first.members()) == 2)
        self.instance_list.records = [
            InstanceRecord("entry-0", 1, "cluj", "", first.sockets.address, True)
        ]
        second.instance_list._fetch_once()
        named = [
            member.instance for member in second.entry_instances("academy", "cluj")
        ]
        self.assertEqual(named, ["entry-1"])

    def test_an_instance_with_another_secret_does_not_become_a_member(self):
        fleets = self.start_fleet(2)
        address = fleets[0].sockets.address
        stranger = self.start("entry-8", [address], secret="another long secret")
        wait_for(lambda: sum(fleets[0].sockets.authenticator.dropped.values()) > 2)
        self.assertEqual(len(fleets[0].members()), 2)
        self.assertEqual(len(stranger.members()), 1)

    def test_messages_reach_the_handlers_of_their_channel(self):
        fleets = self.start_fleet(2)
        received = []
        fleets[1].transport.subscribe(Channel.RATES, received.append)
        fleets[0].transport.send("entry-1", Channel.RATES, b"budget")
        wait_for(lambda: received)
        self.assertEqual(received[0].body, b"budget")
        self.assertEqual(received[0].sender, "entry-0")


if __name__ == "__main__":
    unittest.main()

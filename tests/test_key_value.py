"""Tests of the key-value client against the stand-in and its faults."""

import socket
import threading
import unittest

from cassiaford.keyvalue import (
    Entry,
    InstanceRecord,
    OutcomeUnknownError,
    UnavailableError,
    connect_instance_list,
    connect_key_value,
)
from cassiaford.settings import KeyValueSettings
from standins.processes import ProcessGroup, free_address

TIMEOUT_S = 5.0


def settings(address, list_address="127.0.0.1:1", timeout_s=TIMEOUT_S):
    return KeyValueSettings(address, list_address, timeout_s)


class KeyValueTest(unittest.TestCase):
    def setUp(self):
        self.group = ProcessGroup()
        self.addCleanup(self.group.end_all)
        self.address = self.group.start_stand_in("key_value")
        self.service = self.connect()

    def connect(self, timeout_s=TIMEOUT_S):
        service = connect_key_value(settings(self.address, timeout_s=timeout_s))
        self.addCleanup(service.close)
        return service

    def set_faults(self, **faults):
        self.group.control("key_value", "/control/faults", faults)

    def test_only_one_of_two_compare_and_swaps_takes_effect(self):
        first = self.service.compare_and_swap("a/b c", b"\0one", 0)
        second = self.service.compare_and_swap("a/b c", b"two", 0)
        self.assertTrue(first.swapped)
        self.assertFalse(second.swapped)
        self.assertEqual(second.entry, first.entry)
        self.assertEqual(self.service.get("a/b c"), first.entry)
        self.assertEqual(self.service.list("a/"), (first.entry,))

    def test_versions_are_not_reused_after_a_deletion(self):
        old = self.service.compare_and_swap("k", b"1", 0).entry
        self.service.compare_and_swap("k", None, old.version)
        self.assertEqual(self.service.get("k"), Entry("k", None, 0))
        new = self.service.compare_and_swap("k", b"2", 0).entry
        self.assertGreater(new.version, old.version)

    def test_a_lost_response_leaves_the_outcome_unknown_and_the_write_done(self):
        self.set_faults(lose_write_answers=1)
        with self.assertRaises(OutcomeUnknownError):
            self.service.compare_and_swap("k", b"mine", 0)
        self.assertEqual(self.service.get("k").value, b"mine")

    def test_a_lost_response_on_a_reused_connection_is_not_retried(self):
        self.service.get("k")
        self.set_faults(lose_write_answers=1)
        before = self.group.control("key_value", "/control/counts").get("cas", 0)
        with self.assertRaises(OutcomeUnknownError):
            self.service.compare_and_swap("k", b"mine", 0)
        counts = self.group.control("key_value", "/control/counts")
        self.assertEqual(counts["cas"], before + 1)

    def test_a_timeout_is_unknown_for_a_write_and_unavailable_for_a_read(self):
        self.set_faults(delay_s=60.0)
        impatient = self.connect(timeout_s=0.2)
        with self.assertRaises(OutcomeUnknownError):
            impatient.compare_and_swap("k", b"late", 0)
        with self.assertRaises(UnavailableError):
            impatient.get("k")

    def test_service_that_is_down_takes_no_write(self):
        self.set_faults(down=True)
        with self.assertRaises(UnavailableError):
            self.service.compare_and_swap("k", b"never", 0)
        self.set_faults(down=False)
        self.assertEqual(self.service.get("k").version, 0)

    def test_refused_connection_takes_no_write(self):
        self.group.kill("key_value")
        with self.assertRaises(UnavailableError):
            self.connect().compare_and_swap("k", b"never", 0)

    def test_watch_ends_with_the_change_or_the_timeout(self):
        self.assertEqual(self.service.watch("k", 0, 0.05).version, 0)
        entries = []
        watcher = threading.Thread(
            target=lambda: entries.append(self.service.watch("k", 0, 30.0))
        )
        watcher.start()
        self.service.compare_and_swap("k", b"new", 0)
        watcher.join(TIMEOUT_S)
        self.assertEqual([entry.value for entry in entries], [b"new"])

    def test_a_watch_fails_immediately_when_the_service_goes_down(self):
        failed = threading.Event()

        def watch():
            try:
                self.service.watch("k", 0, 60.0)
            except UnavailableError:
                failed.set()

        threading.Thread(target=watch, daemon=True).start()
        while not self.group.control("key_value", "/control/counts").get("watch"):
            pass
        self.set_faults(down=True)
        self.assertTrue(failed.wait(TIMEOUT_S))

    def test_an_entry_expires_with_its_lease(self):
        lease = self.service.grant_lease(0.1)
        entry = self.service.compare_and_swap("k", b"held", 0, lease).entry
        self.assertEqual(self.service.watch("k", entry.version, 5.0).version, 0)
        self.assertFalse(self.service.renew_lease(lease))
        self.assertFalse(self.service.compare_and_swap("k", b"x", 0, lease).swapped)

    def test_revoking_a_lease_deletes_its_entries(self):
        lease = self.service.grant_lease(60.0)
        self.assertTrue(self.service.renew_lease(lease))
        self.service.compare_and_swap("k", b"held", 0, lease)
        self.service.revoke_lease(lease)
        self.assertEqual(self.service.get("k").version, 0)


class BrokenServiceTest(unittest.TestCase):
    """Responses that violate the protocol."""

    def serve_once(self, response):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def serve():
            connection, _ = listener.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(response)

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        service = connect_key_value(settings(f"127.0.0.1:{listener.getsockname()[1]}"))
        self.addCleanup(service.close)
        return service

    def test_invalid_responses_leave_the_outcome_of_a_write_unknown(self):
        cut = b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{"
        garbage = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"
        failed = b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
        for response in (cut, garbage, failed, b""):
            with self.subTest(response=response):
                with self.assertRaises(OutcomeUnknownError):
                    self.serve_once(response).compare_and_swap("k", b"v", 0)


class InstanceListTest(unittest.TestCase):
    def test_list_shows_an_instance_and_fails_when_down(self):
        with ProcessGroup() as group:
            address = group.start_stand_in("instance_list", "--lag-s", "0")
            client = connect_instance_list(settings("127.0.0.1:1", address))
            self.addCleanup(client.close)
            self.assertEqual(client.fetch(), ())
            record = InstanceRecord("e1", 3, "cluj", "127.0.0.1:1", "127.0.0.1:2", True)
            url = f"http://{address}/v1/instances/e1"
            group.http.request("PUT", url, json=vars(record))
            self.assertEqual(client.fetch(), (record,))
            group.control("instance_list", "/control/faults", {"down": True})
            with self.assertRaises(UnavailableError):
                client.fetch()

    def test_refused_connection_is_unavailable(self):
        client = connect_instance_list(settings("127.0.0.1:1", free_address()))
        with self.assertRaises(UnavailableError):
            client.fetch()


if __name__ == "__main__":
    unittest.main()

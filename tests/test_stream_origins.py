"""Tests of where streams began, and who may continue them."""

import asyncio
import json
import unittest

from cassiaford.gateway._stream_origins import LocalStreamOrigins
from cassiaford.origins import StreamOrigin, may_continue
from cassiaford.platform._records import PlatformRecordDecoder

ORIGIN = StreamOrigin("engine", "v1")


class MayContinueTest(unittest.TestCase):
    def test_only_a_certain_match_continues_a_stream(self):
        self.assertTrue(may_continue(ORIGIN, "engine", "v1"))
        self.assertFalse(may_continue(ORIGIN, "engine", "v1.1"))
        self.assertFalse(may_continue(ORIGIN, "desk", "v1"))

    def test_nothing_unknown_continues_a_stream(self):
        self.assertFalse(may_continue(ORIGIN, "engine", None))
        self.assertFalse(may_continue(None, "engine", "v1"))
        self.assertFalse(may_continue(None, "engine", None))


class SoftwareVersionTest(unittest.TestCase):
    def decoded(self, **fields):
        entry = {
            "Service": "engine",
            "Address": "10.0.0.1:80",
            "Zone": "a",
            "State": "ready",
            **fields,
        }
        value = json.dumps(entry).encode()
        return PlatformRecordDecoder().server("servers/i-1", value)

    def test_an_entry_names_its_servers_software_version(self):
        self.assertEqual(self.decoded(Version="v1.1").software_version, "v1.1")

    def test_a_server_that_names_no_software_version_is_still_a_server(self):
        for fields in ({}, {"Version": ""}, {"Version": 3}, {"Version": None}):
            with self.subTest(fields=fields):
                server = self.decoded(**fields)
                self.assertIsNone(server.software_version)
                self.assertIsNone(server.origin)


class LocalStreamOriginsTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.origins = LocalStreamOrigins(lambda: self.now, max_origins=3, kept_s=10.0)

    def find(self, attempt_id):
        return asyncio.run(self.origins.find(attempt_id))

    def test_a_recorded_attempt_is_found_and_others_are_not(self):
        self.origins.record("a", ORIGIN)
        self.assertEqual(self.find("a"), ORIGIN)
        self.assertIsNone(self.find("b"))

    def test_the_latest_record_of_an_attempt_counts(self):
        self.origins.record("a", ORIGIN)
        self.origins.record("a", StreamOrigin("engine", "v1.1"))
        self.assertEqual(self.find("a").software_version, "v1.1")
        self.origins.record("a", None)
        self.assertIsNone(self.find("a"))

    def test_the_oldest_are_dropped_first(self):
        for attempt_id in "abc":
            self.origins.record(attempt_id, ORIGIN)
        self.origins.record("a", ORIGIN)
        self.origins.record("d", ORIGIN)
        self.assertIsNone(self.find("b"))
        self.assertEqual(self.find("a"), ORIGIN)
        self.assertEqual(len(self.origins), 3)

    def test_an_origin_is_forgotten_after_its_time(self):
        self.origins.record("a", ORIGIN)
        self.now = 10.0
        self.assertEqual(self.find("a"), ORIGIN)
        self.now = 10.1
        self.assertIsNone(self.find("a"))
        self.assertEqual(len(self.origins), 0)


if __name__ == "__main__":
    unittest.main()

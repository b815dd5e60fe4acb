"""Tests of where streams began, and who may continue them."""

import json
import types
import unittest
from dataclasses import replace

from cassiaford.gateway import RequestKind, Route, Target
from cassiaford.gateway._stream_origins import (
    LONGEST_REQUEST_FACTOR,
    SoleOrigins,
)
from cassiaford.gateway.policy import RecentValues
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


ROUTE = Route("ask", "a", "/", RequestKind.STREAM, (Target("engine", 1.0),), 10.0, 1.0)
OLDEST = 100.0 - LONGEST_REQUEST_FACTOR * ROUTE.timeout_s


class SoleOriginsTest(unittest.TestCase):
    """At 100 s, for requests that last for 10 s."""

    def setUp(self):
        self.software = RecentValues()
        self.targets = RecentValues()
        self.in_touch_since = 0.0
        view = types.SimpleNamespace(
            recent_software=self.software,
            recent_targets=self.targets,
            longest_timeout_s=ROUTE.timeout_s,
            longest_deadline_s=0.0,
        )
        self.origins = SoleOrigins(view, lambda since: self.in_touch_since <= since)
        self.software.update({"engine": {"v1"}}, 0.0)
        self.targets.update({"ask": {"engine"}}, 0.0)

    def find(self):
        return self.origins.find(ROUTE, 100.0)

    def test_one_version_for_long_enough_is_certain(self):
        self.assertEqual(self.find(), ORIGIN)

    def test_a_version_that_may_have_begun_the_stream_makes_it_uncertain(self):
        self.software.update({"engine": {"v1", "v2"}}, OLDEST + 1.0)
        self.assertIsNone(self.find())
        self.software.update({"engine": {"v1"}}, OLDEST + 2.0)
        self.assertIsNone(self.find())

    def test_a_version_that_ended_before_any_request_began_does_not_count(self):
        self.software.update({"engine": {"v1", "v2"}}, 1.0)
        self.software.update({"engine": {"v1"}}, OLDEST - 1.0)
        self.assertEqual(self.find(), ORIGIN)

    def test_a_server_of_an_unknown_version_makes_it_uncertain(self):
        self.software.update({"engine": {None}}, 1.0)
        self.assertIsNone(self.find())
        self.software.update({"engine": {"v1", None}}, 1.0)
        self.assertIsNone(self.find())

    def test_a_change_of_the_route_makes_it_uncertain(self):
        self.targets.update({"ask": {"other"}}, 1.0)
        self.targets.update({"ask": {"engine"}}, OLDEST + 1.0)
        self.assertIsNone(self.find())

    def test_a_stream_may_have_begun_on_the_route_before_a_new_one(self):
        added = replace(ROUTE, name="ask-more", path_prefix="/more/")
        both = {"ask": {"other"}, "ask-more": {"engine"}}
        self.targets.update(both, OLDEST + 1.0)
        self.assertIsNone(self.origins.find(added, 100.0))
        self.assertEqual(self.origins.find(added, 200.0), ORIGIN)

    def test_an_instance_that_may_have_missed_a_version_knows_nothing(self):
        self.in_touch_since = OLDEST + 1.0
        self.assertIsNone(self.find())
        self.in_touch_since = 0.0
        self.software.started_at = OLDEST + 1.0
        self.assertIsNone(self.find())


if __name__ == "__main__":
    unittest.main()

"""Tests of stopping an instance with a failing component."""

import unittest
from unittest import mock

from cassiaford.instance import create_instance
from cassiaford.settings import parse_settings
from tests.test_settings import VALID


class StopTest(unittest.TestCase):
    def test_a_failing_component_does_not_prevent_others_from_stopping(self):
        text = VALID.replace(":8080", ":0").replace(":8090", ":0")
        instance = create_instance(parse_settings(text))
        instance.fleet.start()
        broken = ValueError("broken")
        with mock.patch.object(instance.poller, "stop", side_effect=broken):
            with self.assertRaises(ExceptionGroup) as caught:
                instance.stop()
        self.assertEqual(caught.exception.exceptions, (broken,))
        self.assertTrue(instance.fleet.sockets.stopped)


if __name__ == "__main__":
    unittest.main()

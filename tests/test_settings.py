"""Tests of reading and checking settings."""

import unittest

from cassiaford.settings import SettingsError, parse_settings

VALID = """
instance = "entry-1"
data_centre = "cluj"
[http]
address = "127.0.0.1:8080"
[peers]
address = "127.0.0.1:8090"
secret = "a long secret of the fleet"
[key_value]
address = "127.0.0.1:9000"
list_address = "127.0.0.1:9001"
[control]
token = "an operator's long token"
"""


class SettingsTest(unittest.TestCase):
    def mistakes(self, text):
        with self.assertRaises(SettingsError) as caught:
            parse_settings(text)
        return caught.exception.mistakes

    def test_valid_settings_have_defaults(self):
        settings = parse_settings(VALID)
        self.assertEqual(settings.instance, "entry-1")
        self.assertEqual(settings.http.threads, 16)

    def test_every_mistake_is_reported_at_once(self):
        text = VALID.replace("127.0.0.1:8080", "localhost").replace("cluj", "?")
        mistakes = self.mistakes(text)
        self.assertEqual(len(mistakes), 2)
        self.assertTrue(any("http.address" in line for line in mistakes))
        self.assertTrue(any("'localhost'" in line for line in mistakes))

    def test_unknown_setting_names_the_nearest_known_one(self):
        text = VALID.replace("[peers]", "thread = 4\n[peers]")
        self.assertEqual(
            self.mistakes(text),
            ("http.thread: unknown setting; did you mean 'threads'?",),
        )

    def test_a_secret_is_never_shown(self):
        mistakes = self.mistakes(VALID.replace("a long secret of the fleet", "short"))
        self.assertEqual(len(mistakes), 1)
        self.assertNotIn("short'", mistakes[0])
        self.assertIn("peers.secret", mistakes[0])
        settings = parse_settings(VALID)
        self.assertNotIn("long secret", repr(settings))

    def test_broken_toml_is_an_error(self):
        self.assertEqual(len(self.mistakes("instance = ")), 1)


if __name__ == "__main__":
    unittest.main()

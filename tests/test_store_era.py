"""Tests of the era that the store's responses carry."""

import asyncio
import json
import unittest

from cassiaford.gateway import StoreError
from cassiaford.gateway._http_caller import Reply
from cassiaford.platform._store import PlatformStore

PAGE = {"items": [], "Truncated": False, "StoreRevision": 7}


class ScriptedClient:
    """Responds with a page, and the next of the given eras in the header."""

    def __init__(self, eras):
        self.eras = iter(eras)

    async def call(self, method, address, target, timeout_s, headers=(), data=b""):
        """Return the next response."""
        era = next(self.eras)
        headers = [] if era is None else [("Store-Era", era)]
        return Reply(200, json.dumps(PAGE).encode(), headers)


class EraTest(unittest.TestCase):
    def read(self, *eras):
        """Return what each read had and the era after it."""
        store = PlatformStore("10.0.0.1:80", ScriptedClient(eras))

        async def run():
            results = []
            for _ in eras:
                try:
                    await store.read("op/")
                    results.append(("read", store.era))
                except StoreError as error:
                    self.assertIn("era", str(error))
                    results.append(("lost", store.era))
            return results

        return asyncio.run(run())

    def test_an_era_that_rises_is_followed(self):
        self.assertEqual(self.read("3", "4"), [("read", 3), ("read", 4)])

    def test_an_era_that_goes_back_counts_as_a_lost_connection(self):
        expected = [("read", 3), ("lost", 3), ("read", 3)]
        self.assertEqual(self.read("3", "2", "3"), expected)

    def test_an_era_that_is_missing_counts_as_a_lost_connection(self):
        expected = [("read", 3), ("lost", 3), ("read", 4)]
        self.assertEqual(self.read("3", None, "4"), expected)

    def test_an_era_that_is_no_number_counts_as_a_lost_connection(self):
        for era in ("", "x", "-1", "1.5", "0x2", "²", "٣", "9" * 5000):
            with self.subTest(era=era[:10]):
                self.assertEqual(self.read(era, "3"), [("lost", 0), ("read", 3)])

    def test_a_store_that_sends_no_eras_is_read(self):
        self.assertEqual(self.read(None, None), [("read", 0), ("read", 0)])


if __name__ == "__main__":
    unittest.main()

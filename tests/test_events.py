"""Tests that the catalogue of events and its page agree."""

import pathlib
import re
import unittest

from cassiaford.logs import Event

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "EVENTS.md"
SOURCE = ROOT / "src" / "cassiaford"
ROW = re.compile(r"^\| CF(\d+) \| (\w+) \| ([^|]+) \| ([^|]+) \| ([^|]+) \|$", re.M)


class CatalogueTest(unittest.TestCase):
    def test_page_lists_every_event_with_its_level_and_text(self):
        rows = ROW.findall(PAGE.read_text("utf-8"))
        listed = [(int(row[0]), row[1], row[2].strip()) for row in rows]
        known = sorted((e.number, e.level.value, e.text) for e in Event)
        self.assertEqual(sorted(listed), known)

    def test_every_event_is_recorded_somewhere(self):
        source = "".join(path.read_text("utf-8") for path in SOURCE.rglob("*.py"))
        unused = [event.name for event in Event if f"Event.{event.name}" not in source]
        self.assertEqual(unused, [])

    def test_numbers_are_unique(self):
        # Members with equal values would be aliases and vanish from the enum.
        self.assertEqual(len(Event.__members__), len({e.number for e in Event}))


if __name__ == "__main__":
    unittest.main()

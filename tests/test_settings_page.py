"""Tests that the settings and their page agree."""

import dataclasses
import pathlib
import re
import unittest

from cassiaford.settings import Settings

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "operators" / "settings.md"
ROW = re.compile(r"^\| `([a-z0-9_.]+)` \| ([^|]+) \| ([^|]+) \| ([^|]+) \|$", re.M)


def list_settings(model, prefix=""):
    """Return the path and default of every setting, including nested ones."""
    found = []
    for field in dataclasses.fields(model):
        path = prefix + field.name
        if dataclasses.is_dataclass(field.type):
            found += list_settings(field.type, f"{path}.")
        else:
            found.append((path, format_default(field)))
    return found


def format_default(field):
    """Return a default as written in a settings file."""
    if field.default_factory is not dataclasses.MISSING:
        default = field.default_factory()
    else:
        default = field.default
    if default is dataclasses.MISSING:
        return "required"
    if isinstance(default, str):
        return f'`"{default}"`'
    if isinstance(default, tuple):
        return f"`{list(default)}`"
    return f"`{default}`"


class SettingsPageTest(unittest.TestCase):
    def test_page_lists_every_setting_with_its_default(self):
        rows = ROW.findall(PAGE.read_text("utf-8"))
        listed = [(path, default.strip()) for path, _, default, _ in rows]
        self.assertEqual(sorted(listed), sorted(list_settings(Settings)))

    def test_every_setting_has_a_meaning(self):
        for path, kind, _, meaning in ROW.findall(PAGE.read_text("utf-8")):
            with self.subTest(path):
                self.assertTrue(kind.strip())
                self.assertTrue(meaning.strip())


if __name__ == "__main__":
    unittest.main()

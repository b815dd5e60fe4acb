"""Tests that the settings and their page agree."""

import dataclasses
import pathlib
import re
import unittest

from cassiaford.settings import Settings

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "operators" / "settings.md"
ROW = re.compile(r"^\| `([a-z0-9_.]+)` \| ([^|]+) \| ([^|]+) \| ([^|]+) \|$", re.M)


def settings_of(model, prefix=""):
    """Return the path and the default of every setting, nested ones too."""
    found = []
    for field in dataclasses.fields(model):
        path = prefix + field.name
        if dataclasses.is_dataclass(field.type):
            found += settings_of(field.type, f"{path}.")
        else:
            found.append((path, default_text(field)))
    return found


def default_text(field):
    """Return a default as it would stand in a settings file."""
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
        self.assertEqual(sorted(listed), sorted(settings_of(Settings)))

    def test_every_setting_has_a_meaning(self):
        for path, kind, _, meaning in ROW.findall(PAGE.read_text("utf-8")):
            with self.subTest(path):
                self.assertTrue(kind.strip())
                self.assertTrue(meaning.strip())


if __name__ == "__main__":
    unittest.main()

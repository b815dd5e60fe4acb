"""Tests of the operators' commands that read and write the configuration."""

import json
import pathlib
import tempfile
import unittest
from unittest import mock

from typer.testing import CliRunner

from cassiaford.cli import app
from cassiaford.config import Customer, PutCustomer, find_customer
from cassiaford.fleet import Author, ConfigurationLog
from tests.fakes_keyvalue import FakeKeyValueService

SHEET = """
[models.binder]
version = "v1"
[servers.engine-1]
address = "127.0.0.1:7001"
data_centre = "cluj"
models = ["binder"]
[servers.shop-1]
address = "127.0.0.1:7002"
data_centre = "cluj"
kind = "service"
group = "shop"
[routes."/bookings"]
group = "shop"
repeatable = false
[customers.academy]
rate = 100.0
burst = 1000.0
models = ["binder"]
"""


class CommandCase(unittest.TestCase):
    def setUp(self):
        self.key_value = FakeKeyValueService()
        self.log = ConfigurationLog(self.key_value, sleep=lambda seconds: None)
        patch = mock.patch(
            "cassiaford.keyvalue.connect_key_value",
            lambda settings: self.key_value,
            create=True,
        )
        patch.start()
        self.addCleanup(patch.stop)
        patch = mock.patch("cassiaford.fleet._log.CREATE_RETRY_DELAY_S", 0.0)
        patch.start()
        self.addCleanup(patch.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.sheet = pathlib.Path(folder.name) / "day.toml"
        self.sheet.write_text(SHEET)

    def run_command(self, *arguments, code=0, service=True):
        if service:
            arguments = (*arguments, "--key-value", "127.0.0.1:9000")
        result = CliRunner().invoke(app, arguments)
        self.assertEqual(result.exit_code, code, result.output)
        return result

    def apply(self):
        return self.run_command("sheet", "apply", str(self.sheet))


class SheetTest(CommandCase):
    def test_apply_writes_the_sheet_as_one_revision(self):
        self.apply()
        configuration = self.log.load()
        self.assertEqual(configuration.revision, 1)
        self.assertEqual(configuration.customers["academy"].burst, 1000.0)
        self.assertFalse(configuration.routes["/bookings"].repeatable)

    def test_applying_a_sheet_again_changes_nothing(self):
        self.apply()
        self.assertIn("nothing to change", self.apply().output)
        self.assertEqual(self.log.load().revision, 1)

    def test_plan_shows_the_difference_and_writes_nothing(self):
        self.apply()
        text = SHEET.replace("rate = 100.0", "rate = 200.0")
        self.sheet.write_text(text.replace("engine-1", "engine-2"))
        output = self.run_command("sheet", "plan", str(self.sheet)).output
        self.assertIn("~ customer academy: rate 100 -> 200", output)
        self.assertIn("~ server engine-1: state joined -> leaving", output)
        self.assertIn("+ server engine-2", output)
        self.assertEqual(self.log.load().revision, 1)

    def test_check_reports_every_mistake(self):
        text = SHEET.replace("rate = 100.0", "rates = 100.0")
        self.sheet.write_text(text.replace("127.0.0.1:7001", "localhost"))
        result = self.run_command(
            "sheet", "check", str(self.sheet), code=1, service=False
        )
        self.assertIn("customers.academy.rate: missing", result.output)
        self.assertIn("did you mean 'rate'", result.output)
        self.assertIn("servers.engine-1.address: 'localhost'", result.output)

    def test_check_reports_malformed_sections_and_names(self):
        self.sheet.write_text(
            "models = 3\n[customers]\nx = 1\n"
            '[servers."a b"]\naddress = "127.0.0.1:1"\ndata_centre = "cluj"\n'
            '[routes."/a"]\nprefix = "/b"\ngroup = "shop"\n'
        )
        result = self.run_command(
            "sheet", "check", str(self.sheet), code=1, service=False
        )
        for place in ("models: 3 is", "customers.x: 1 is", "servers.a b.name: 'a b'"):
            self.assertIn(place, result.output)
        self.sheet.write_text('[routes."/a"]\nprefix = "/b"\ngroup = "shop"\n')
        result = self.run_command(
            "sheet", "check", str(self.sheet), code=1, service=False
        )
        self.assertIn("routes./a.prefix: must be left out or '/a'", result.output)

    def test_check_reports_references_to_unknown_names(self):
        text = SHEET.replace('models = ["binder"]', 'models = ["minutes"]')
        self.sheet.write_text(text.replace('group = "shop"\nrep', 'group = "x"\nrep'))
        result = self.run_command(
            "sheet", "check", str(self.sheet), code=1, service=False
        )
        self.assertIn("customers.academy.models: no model named", result.output)
        self.assertIn("routes./bookings.group: no service in", result.output)

    def test_a_section_missing_from_the_sheet_is_unchanged(self):
        self.apply()
        self.sheet.write_text('[models.binder]\nversion = "v2"\n')
        self.apply()
        configuration = self.log.load()
        self.assertEqual(configuration.models["binder"].version, "v2")
        self.assertIn("academy", configuration.customers)

    def test_a_sheet_that_removes_a_model_in_use_is_refused(self):
        self.apply()
        self.sheet.write_text('[models.minutes]\nversion = "v1"\n')
        result = self.run_command("sheet", "apply", str(self.sheet), code=1)
        self.assertIn("customers.academy.models: no model named", result.output)


class KeyTest(CommandCase):
    def test_a_granted_key_is_printed_once_and_stored_as_a_digest(self):
        self.apply()
        text = self.run_command("key", "grant", "academy").output.strip()
        configuration = self.log.load()
        self.assertEqual(find_customer(configuration, text).name, "academy")
        stored = b"".join(entry.value for entry in self.key_value.list(""))
        self.assertNotIn(text.split("-", 2)[2].encode(), stored)

    def test_a_withdrawn_key_finds_no_customer(self):
        self.apply()
        granted = json.loads(
            self.run_command("key", "grant", "academy", "--json").output
        )
        self.run_command("key", "withdraw", granted["key_id"])
        self.assertIsNone(find_customer(self.log.load(), granted["key"]))

    def test_a_whole_key_is_not_repeated_in_the_error(self):
        result = self.run_command("key", "withdraw", "cf-1-secret", code=1)
        self.assertNotIn("cf-1-secret", result.output)


class RaceTest(CommandCase):
    def test_a_lost_race_names_the_winner_and_its_changes(self):
        self.apply()
        base = self.log.load()
        other = [PutCustomer(Customer("gandaki", 1, 1))]
        self.log.append(base, other, Author("the other operator"))
        with mock.patch.object(ConfigurationLog, "load", return_value=base):
            result = self.run_command("key", "grant", "academy", code=3)
        self.assertIn("the other operator", result.output)
        self.assertIn("+ customer gandaki", result.output)

    def test_a_lost_response_is_resolved(self):
        self.key_value.lost_responses = 1
        self.apply()
        self.assertEqual(self.log.load().revision, 1)

    def test_an_unresolved_outcome_is_reported_as_unknown(self):
        self.key_value.lost_responses = 100
        result = self.run_command("sheet", "apply", str(self.sheet), code=5)
        self.key_value.lost_responses = 0
        nonce = self.log.history()[0].nonce
        self.assertIn(nonce, result.output)
        self.assertIn(nonce, self.run_command("history").output)

    def test_an_outage_is_reported_and_changes_nothing(self):
        self.key_value.set_down(True)
        result = self.run_command("sheet", "apply", str(self.sheet), code=4)
        self.assertIn("nothing changed", result.output)


class ServerTest(CommandCase):
    def test_a_server_leaves_and_joins_again(self):
        self.apply()
        self.run_command("server", "leave", "engine-1")
        self.assertEqual(self.log.load().engines_for("binder"), ())
        options = ("--address", "127.0.0.1:7001", "--data-centre", "cluj")
        self.run_command("server", "join", "engine-1", *options, "--model", "binder")
        self.assertEqual(len(self.log.load().engines_for("binder")), 1)
        listed = json.loads(self.run_command("server", "list", "--json").output)
        self.assertEqual(listed[0]["state"], "joined")

    def test_bad_input_is_a_clear_error(self):
        self.apply()
        options = ("--rate", "1", "--burst", "1")
        for arguments in (
            ("customer", "create", "a b", *options),
            ("customer", "create", "academy", *options),
            ("customer", "create", "new", *options, "--model", "none"),
            ("customer", "show", "nobody"),
            ("key", "grant", "nobody"),
            ("server", "leave", "nobody"),
        ):
            with self.subTest(arguments=arguments):
                output = self.run_command(*arguments, code=1).output
                self.assertTrue(output.startswith("error: "), output)
                self.assertNotIn("Traceback", output)


if __name__ == "__main__":
    unittest.main()

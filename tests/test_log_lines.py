"""Tests of the time line parsed from log files."""

import json
import tempfile
import unittest

from typer.testing import CliRunner

from cassiaford.cli import app
from cassiaford.timeline import read_log_lines


def line(time_s, instance, message, **fields):
    """Return a log line in the format of gateways."""
    document = {"time": time_s, "level": "info", "message": message}
    return json.dumps({**document, "instance": instance, **fields})


class LogLinesTest(unittest.TestCase):
    def lines(self):
        """Return lines of two instances, with the clock of the second 3 s ahead."""
        return [
            line(10.0, "a", "CF1101 configuration in force", configuration=2),
            line(13.1, "b", "CF1101 configuration in force", configuration=2),
            line(12.0, "a", "CF1107 version of weights named", version=4),
            line(15.0, "b", "CF1107 version of weights named", version=4),
            line(12.5, "a", "CF1206 request retried", request_id="r1"),
            line(15.7, "b", "CF1202 request refused", request_id="r2"),
            line(12.9, "a", "CF1205 request failed", request_id="r1"),
            "12.0 not a line of ours",
            '{"time": 12.0, "message": "cut in the mid',
        ]

    def test_clocks_that_differ_by_seconds_are_aligned(self):
        records = read_log_lines(self.lines())
        order = [record.request_id for record in records if record.request_id]
        self.assertEqual(order, ["r1", "r2", "r1"])

    def test_other_lines_are_ignored(self):
        self.assertEqual(len(read_log_lines(self.lines())), 7)

    def test_the_command_shows_one_request(self):
        with tempfile.NamedTemporaryFile("w", suffix=".log") as file:
            file.write("\n".join(self.lines()))
            file.flush()
            result = CliRunner().invoke(
                app, ["timeline", "--request", "r1", "--log", file.name]
            )
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertEqual(result.output.count("request=r1"), 2)
        self.assertNotIn("r2", result.output)

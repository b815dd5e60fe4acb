"""Tests of the single-file binary: it serves in one process and exits cleanly."""

import pathlib
import tempfile
import unittest

from bench.build_binary import build, measure


class BinaryTest(unittest.TestCase):
    def test_serve_from_the_binary_has_no_child_and_ends_with_status_zero(self):
        with tempfile.TemporaryDirectory() as name:
            directory = pathlib.Path(name)
            binary = directory / "cassiaford"
            build(binary)
            run = measure(binary, directory / "unpacked")
        self.assertEqual(run.children, ())
        self.assertEqual(run.exit_status, 0)


if __name__ == "__main__":
    unittest.main()

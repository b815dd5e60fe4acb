"""Tests of the log stream while nobody reads it."""

import os
import subprocess
import sys
import unittest

from cassiaford.logs import NonBlockingStream


class NonBlockingStreamTest(unittest.TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.stream = NonBlockingStream(writer)

    def fill(self):
        while not self.stream.dropped:
            self.stream.write("x" * 1000 + "\n")

    def read_all(self):
        os.set_blocking(self.reader, False)
        parts = []
        while True:
            try:
                parts.append(os.read(self.reader, 65536))
            except BlockingIOError:
                return b"".join(parts)

    def test_a_process_that_logs_to_it_exits_without_an_error(self):
        program = (
            "from cassiaford.logs import NonBlockingStream, Level, configure_logging,"
            " write_line\n"
            "configure_logging('json', 'info', NonBlockingStream(1))\n"
            "write_line(Level.INFO, 'the end', {})\n"
        )
        result = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, check=True
        )
        self.assertIn(b"the end", result.stdout)
        self.assertEqual(result.stderr, b"")

    def test_a_full_pipe_does_not_block_the_writer(self):
        self.fill()
        for _ in range(50):
            self.stream.write("y" * 1000 + "\n")
        self.assertGreaterEqual(self.stream.dropped, 50)

    def test_dropped_lines_are_counted_and_no_lines_are_joined(self):
        self.fill()
        dropped = self.stream.dropped
        first = self.read_all()
        self.stream.write("after\n")
        lines = (first + self.read_all()).splitlines()
        self.assertEqual(lines[-1], b"after")
        self.assertIn(b'{"dropped_lines": %d}' % dropped, lines)
        self.assertTrue(all(line == b"x" * 1000 for line in lines[:-2]))

    def test_a_closed_reader_is_no_error(self):
        reader, writer = os.pipe()
        os.close(reader)
        stream = NonBlockingStream(writer)
        stream.write("lost\n")
        os.close(writer)
        self.assertEqual(stream.dropped, 1)

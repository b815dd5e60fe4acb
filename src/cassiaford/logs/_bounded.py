"""A log stream that never makes its writer wait."""

import os


class NonBlockingStream:
    """Writes lines to a file descriptor, and drops them while nobody reads.

    A reader that stops reading fills the pipe; a process that waited for it
    would answer no request. `dropped` counts the lines that were lost, and the
    next line that can be written says so first.

    Examples
    --------
    >>> reader, writer = os.pipe()
    >>> stream = NonBlockingStream(writer)
    >>> stream.write("one line\\n")
    9
    >>> os.read(reader, 100)
    b'one line\\n'
    """

    def __init__(self, descriptor: int):
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.dropped = 0
        self._rest = b""

    def write(self, text: str) -> int:
        """Write a line if there is room for all of it, else drop it."""
        if self._rest and not self._write_rest():
            self.dropped += 1
            return len(text)
        data = text.encode("utf-8", "replace")
        if self.dropped:
            data = b'{"dropped_lines": %d}\n' % self.dropped + data
        written = self._try(data)
        if written == 0:
            self.dropped += 1
            return len(text)
        self.dropped = 0
        # A line that was begun is ended, so that no two are joined.
        self._rest = data[written:]
        return len(text)

    def flush(self) -> None:
        """Do nothing; lines are written at once."""

    def close(self) -> None:
        """Do nothing; the descriptor belongs to whoever opened it."""

    def _write_rest(self):
        self._rest = self._rest[self._try(self._rest) :]
        return not self._rest

    def _try(self, data):
        try:
            return os.write(self.descriptor, data)
        except (BlockingIOError, BrokenPipeError):
            # Nobody reads: the line is counted as dropped.
            return 0

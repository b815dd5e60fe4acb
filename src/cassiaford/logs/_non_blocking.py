"""A log stream that never blocks its writer."""

import os


class NonBlockingStream:
    """Writes lines to a file descriptor and drops them if it would block.

    When the reader of a pipe stops reading, the pipe fills up, and a process
    that waited for it could serve no request. `dropped` counts the lines lost
    since the last line written; the next line is preceded by that number.

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
        self._unwritten = b""

    def write(self, text: str) -> int:
        """Write a line, or drop it if the descriptor takes none of it."""
        if self._unwritten and not self._write_unwritten():
            self.dropped += 1
            return len(text)
        data = text.encode("utf-8", "replace")
        if self.dropped:
            data = b'{"dropped_lines": %d}\n' % self.dropped + data
        written = self._try_write(data)
        if written == 0:
            self.dropped += 1
            return len(text)
        self.dropped = 0
        # The rest of a partly written line goes first, so that no lines are joined.
        self._unwritten = data[written:]
        return len(text)

    def flush(self) -> None:
        """Do nothing, because lines are written immediately."""

    def close(self) -> None:
        """Do nothing, because the descriptor belongs to whoever opened it."""

    def _write_unwritten(self):
        self._unwritten = self._unwritten[self._try_write(self._unwritten) :]
        return not self._unwritten

    def _try_write(self, data):
        try:
            return os.write(self.descriptor, data)
        except (BlockingIOError, BrokenPipeError):
            # Nobody reads; the caller counts the line as dropped.
            return 0

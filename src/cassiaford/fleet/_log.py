"""The log of configuration revisions in the key-value service.

Revision N is the value of the key ``config/log/N``. It is created by
compare-and-swap on the absent key, so only one of several racing authors wins.
A snapshot holds the whole configuration at some revision, so that older entries
can be deleted.

An author that read the log long ago could recreate an entry that has been
deleted since. Entries at or below the snapshot's revision are therefore
ignored, and an author checks the snapshot again after its write.
"""

import secrets
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from pydantic import TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass as checked_dataclass

from cassiaford.config import (
    EMPTY_CONFIGURATION,
    Change,
    Configuration,
    Revision,
    apply_changes,
)
from cassiaford.fleet._revision_codec import (
    ConfigurationLogError,
    EntryError,
    decode_configuration,
    decode_revision,
    encode_configuration,
    encode_revision,
)
from cassiaford.keyvalue import (
    Entry,
    KeyValueError,
    KeyValueService,
    OutcomeUnknownError,
)
from cassiaford.policy import next_configuration

LOG_PREFIX = "config/log/"
HEAD_KEY = "config/snapshot/head"
PARTS_PREFIX = "config/snapshot/parts/"
# The service accepts values up to a megabyte and transfers them as base64.
PART_BYTES = 512 * 1024
# A snapshot is written once this many revisions follow the previous one.
SNAPSHOT_INTERVAL = 64
MAX_CREATE_ATTEMPTS = 4
CREATE_RETRY_DELAY_S = 0.25
NONCE_BYTES = 8
MAX_LOAD_ATTEMPTS = 5


class LostRaceError(ConfigurationLogError):
    """Another author wrote this revision number first; `winner` is its revision."""

    def __init__(self, winner: Revision):
        super().__init__(f"revision {winner.number} was written by {winner.author}")
        self.winner = winner


class UnknownOutcomeError(ConfigurationLogError):
    """It is unknown whether a revision was written.

    The number and nonce of `revision` identify it in the log if it was.
    """

    def __init__(self, revision: Revision):
        super().__init__(
            f"it is unknown whether revision {revision.number} was written"
        )
        self.revision = revision


@checked_dataclass(frozen=True)
class SnapshotHead:
    """The revision of the snapshot and the keys of its parts."""

    revision: int = 0
    parts: tuple[str, ...] = ()


_HEAD = TypeAdapter(SnapshotHead)


@dataclass(frozen=True)
class Author:
    """The author of revisions, with its sources of nonces and time."""

    name: str
    nonce: Callable[[], str] = lambda: secrets.token_hex(NONCE_BYTES)
    wall_clock: Callable[[], float] = time.time


class ConfigurationLog:
    """Reads and writes the configuration in the key-value service."""

    def __init__(
        self, key_value: KeyValueService, sleep: Callable[[float], None] = time.sleep
    ):
        self.key_value = key_value
        self.sleep = sleep
        # The newest snapshot that this process has seen.
        self.snapshot_revision = 0

    def load(self) -> Configuration:
        """Return the newest configuration.

        Raises `KeyValueError` if the service does not respond and `EntryError`
        if this release cannot decode the stored values.
        """
        configuration = self.load_snapshot()
        for revision in self.entries_after(configuration.revision):
            configuration = next_configuration(configuration, revision).new
        return configuration

    def load_snapshot(self) -> Configuration:
        """Return the configuration in the snapshot."""
        for _ in range(MAX_LOAD_ATTEMPTS):
            head = self.head()
            if not head.parts:
                return EMPTY_CONFIGURATION
            parts = [self.key_value.get(key).value for key in head.parts]
            # A newer snapshot may have replaced this one in the meantime.
            if None not in parts:
                return decode_configuration(b"".join(parts))
        raise EntryError("parts of the configuration snapshot are missing")

    def head(self) -> SnapshotHead:
        """Return the head of the snapshot; revision 0 if there is none."""
        return self._read_head()[0]

    def entries_after(self, number: int) -> tuple[Revision, ...]:
        """Return the revisions after a number, up to the first gap."""
        revisions = []
        for entry in self.key_value.list(LOG_PREFIX):
            if entry.key == log_key(number + 1 + len(revisions)):
                revisions.append(decode_revision(entry.value))
        return tuple(revisions)

    def history(self) -> tuple[Revision, ...]:
        """Return all revisions that are still in the log, oldest first."""
        entries = self.key_value.list(LOG_PREFIX)
        return tuple(decode_revision(entry.value) for entry in entries)

    def watch(self, number: int, timeout_s: float) -> Revision | None:
        """Return a revision once it is written, or None after the timeout.

        Raises `EntryError` if the snapshot covers the revision; the snapshot
        must be loaded then.
        """
        entry = self.key_value.watch(log_key(number), 0, timeout_s)
        if entry.value is None:
            return None
        # An outdated author may have recreated a deleted entry.
        if self.head().revision >= number:
            raise EntryError("the revision is not newer than the snapshot")
        return decode_revision(entry.value)

    def append(
        self, base: Configuration, changes: Sequence[Change], author: Author
    ) -> Revision:
        """Write the revision that follows a configuration and return it.

        Raises `ChangeError` if the changes do not apply, `LostRaceError` if
        another author was first, `UnavailableError` if nothing was written,
        and `UnknownOutcomeError` if it is unknown whether it was written.
        """
        revision = Revision(
            number=base.revision + 1,
            author=author.name,
            nonce=author.nonce(),
            written_at=author.wall_clock(),
            changes=tuple(changes),
        )
        apply_changes(base, revision)
        self._create(revision)
        self._check_newer_than_snapshot(revision)
        return revision

    def write_snapshot(self, configuration: Configuration) -> bool:
        """Write a snapshot unless there is a newer one, and trim the log.

        Returns whether this call wrote the snapshot.
        """
        head, version = self._read_head()
        if head.revision >= configuration.revision:
            return False
        new = SnapshotHead(configuration.revision, self._write_parts(configuration))
        result = self.key_value.compare_and_swap(
            HEAD_KEY, _HEAD.dump_json(new), version
        )
        if not result.swapped:
            self._delete(new.parts)
            return False
        self.snapshot_revision = new.revision
        self._delete_older_parts(new)
        # Entries after the previous snapshot stay for followers that are behind.
        self._trim(head.revision)
        return True

    def _read_head(self):
        entry = self.key_value.get(HEAD_KEY)
        if entry.value is None:
            return SnapshotHead(), entry.version
        try:
            head = _HEAD.validate_json(entry.value)
        except ValidationError as error:
            raise EntryError(
                "the head of the configuration snapshot is invalid"
            ) from error
        self.snapshot_revision = max(self.snapshot_revision, head.revision)
        return head, entry.version

    def _create(self, revision):
        key, value = log_key(revision.number), encode_revision(revision)
        if len(value) > PART_BYTES:
            raise ConfigurationLogError("the revision is too large; split the changes")
        maybe_written = False
        for _ in range(MAX_CREATE_ATTEMPTS):
            try:
                # Retrying is safe: the key can be created only once, and the
                # nonce in its value identifies the author.
                result = self.key_value.compare_and_swap(key, value, 0)
            except OutcomeUnknownError:
                maybe_written = True
                self.sleep(CREATE_RETRY_DELAY_S)
                continue
            except KeyValueError:
                if not maybe_written:
                    raise
                self.sleep(CREATE_RETRY_DELAY_S)
                continue
            _check_won(revision, result.swapped, result.entry)
            return
        raise UnknownOutcomeError(revision)

    def _check_newer_than_snapshot(self, revision):
        try:
            head = self.head()
        except KeyValueError:
            raise UnknownOutcomeError(revision) from None
        if head.revision >= revision.number:
            raise UnknownOutcomeError(revision)

    def _write_parts(self, configuration):
        data = encode_configuration(configuration)
        name = f"{configuration.revision:012d}-{secrets.token_hex(NONCE_BYTES)}"
        keys = []
        for start in range(0, len(data), PART_BYTES):
            key = f"{PARTS_PREFIX}{name}/{len(keys):04d}"
            part = data[start : start + PART_BYTES]
            self.key_value.compare_and_swap(key, part, 0)
            keys.append(key)
        return tuple(keys)

    def _trim(self, number):
        for entry in self.key_value.list(LOG_PREFIX):
            if entry.key <= log_key(number):
                self.key_value.compare_and_swap(entry.key, None, entry.version)

    def _delete_older_parts(self, head):
        # Includes parts whose author failed before writing the head.
        first_retained = f"{PARTS_PREFIX}{head.revision:012d}"
        for entry in self.key_value.list(PARTS_PREFIX):
            if entry.key < first_retained:
                self.key_value.compare_and_swap(entry.key, None, entry.version)

    def _delete(self, keys):
        for key in keys:
            entry = self.key_value.get(key)
            if entry.version:
                self.key_value.compare_and_swap(key, None, entry.version)


def log_key(number: int) -> str:
    """Return the key of a revision in the log."""
    return f"{LOG_PREFIX}{number:012d}"


def _check_won(revision: Revision, swapped: bool, entry: Entry) -> None:
    if swapped:
        return
    existing = decode_revision(entry.value)
    if existing.nonce != revision.nonce:
        raise LostRaceError(existing)

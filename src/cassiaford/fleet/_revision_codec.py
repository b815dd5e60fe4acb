"""The encoding of revisions and configurations in storage and messages."""

import zlib

from pydantic import TypeAdapter, ValidationError

from cassiaford.config import Configuration, Revision

# Larger revisions are compressed, so that a whole day sheet fits in one entry.
COMPRESS_ABOVE_BYTES = 16 * 1024

_REVISION = TypeAdapter(Revision)
_CONFIGURATION = TypeAdapter(Configuration)


class ConfigurationLogError(Exception):
    """The configuration log cannot be read or written."""


class EntryError(ConfigurationLogError):
    """A log entry or snapshot that this release cannot use."""


def encode_revision(revision: Revision) -> bytes:
    """Encode a revision as JSON, compressed if it is large."""
    text = _REVISION.dump_json(revision)
    return zlib.compress(text) if len(text) > COMPRESS_ABOVE_BYTES else text


def decode_revision(data: bytes) -> Revision:
    """Decode a revision; raises `EntryError`."""
    try:
        text = data if data.startswith(b"{") else zlib.decompress(data)
        return _REVISION.validate_json(text)
    except (zlib.error, ValidationError) as error:
        raise EntryError("a configuration log entry cannot be decoded") from error


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode a configuration as compressed JSON."""
    return zlib.compress(_CONFIGURATION.dump_json(configuration))


def decode_configuration(data: bytes) -> Configuration:
    """Decode a configuration; raises `EntryError`."""
    try:
        return _CONFIGURATION.validate_json(zlib.decompress(data))
    except (zlib.error, ValidationError) as error:
        raise EntryError("a configuration snapshot cannot be decoded") from error

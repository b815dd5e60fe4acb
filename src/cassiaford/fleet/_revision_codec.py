"""Revisions and configurations as they are kept and passed between instances."""

import zlib

from pydantic import TypeAdapter, ValidationError

from cassiaford.config import Configuration, Revision

# Larger revisions are compressed, so that a whole day sheet fits one entry.
COMPRESS_BYTES = 16 * 1024

_REVISION = TypeAdapter(Revision)
_CONFIGURATION = TypeAdapter(Configuration)


class ConfigurationLogError(Exception):
    """The configuration in the key-value service cannot be used."""


class EntryError(ConfigurationLogError):
    """An entry of the log that this release cannot read."""


def encode_revision(revision: Revision) -> bytes:
    """Return a revision as JSON text, compressed if it is large."""
    text = _REVISION.dump_json(revision)
    return zlib.compress(text) if len(text) > COMPRESS_BYTES else text


def decode_revision(data: bytes) -> Revision:
    """Return the revision in a value of the log; raises `EntryError`."""
    try:
        text = data if data.startswith(b"{") else zlib.decompress(data)
        return _REVISION.validate_json(text)
    except (zlib.error, ValidationError) as error:
        raise EntryError("an entry of the log cannot be read") from error


def encode_configuration(configuration: Configuration) -> bytes:
    """Return a configuration as compressed JSON text."""
    return zlib.compress(_CONFIGURATION.dump_json(configuration))


def decode_configuration(data: bytes) -> Configuration:
    """Return the configuration in a compressed JSON text."""
    try:
        return _CONFIGURATION.validate_json(zlib.decompress(data))
    except (zlib.error, ValidationError) as error:
        raise EntryError("a snapshot cannot be read") from error

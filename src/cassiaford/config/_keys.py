"""Issuing keys to customers and checking the keys of requests.

A key has the form ``cf-<key id>-<secret>``. Its entry is found by the
identifier, so a check costs one digest regardless of the number of customers.
"""

import hashlib
import hmac
import secrets
from dataclasses import dataclass, field

from cassiaford.config._document import Configuration, Customer, Key

KEY_PREFIX = "cf"
KEY_ID_BYTES = 6
SECRET_BYTES = 24
SALT_BYTES = 16


@dataclass(frozen=True)
class IssuedKey:
    """A new key: the text for the customer and the entry to be stored."""

    text: str = field(repr=False)
    entry: Key


def issue_key(customer: str) -> IssuedKey:
    """Return a new key for a customer."""
    key_id = secrets.token_hex(KEY_ID_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    entry = Key(key_id, customer, salt, _digest(salt, secret))
    return IssuedKey(f"{KEY_PREFIX}-{key_id}-{secret}", entry)


def key_id_of(text: str) -> str | None:
    """Return the identifier in a key, or None if the text is not a key."""
    parts = text.split("-", 2)
    if len(parts) != 3 or parts[0] != KEY_PREFIX:
        return None
    return parts[1]


def find_customer(configuration: Configuration, text: str) -> Customer | None:
    """Return the customer that a key was granted to, or None if it is invalid.

    Digests are compared in constant time. The secret is long and random, so
    one round of a fast digest is enough.
    """
    entry = configuration.keys.get(key_id_of(text) or "")
    if entry is None:
        return None
    secret = text.split("-", 2)[2]
    if not hmac.compare_digest(entry.digest, _digest(entry.salt, secret)):
        return None
    return configuration.customers.get(entry.customer)


def _digest(salt: str, secret: str) -> str:
    text = f"{salt}:{secret}".encode("utf-8", "surrogateescape")
    return hashlib.sha256(text).hexdigest()

"""HTTP clients of the key-value service and the list of instances.

docs/INTERFACES.md describes the formats.
"""

import base64
import binascii
from collections.abc import Callable
from typing import TypeVar
from urllib.parse import quote, urlencode

from pydantic import TypeAdapter, ValidationError

from cassiaford._json_calls import (
    CallError,
    JsonClient,
    JsonResponse,
    ResponseLostError,
)
from cassiaford.keyvalue._service import (
    CasResult,
    Entry,
    InstanceList,
    InstanceRecord,
    KeyValueService,
    Lease,
    OutcomeUnknownError,
    UnavailableError,
)
from cassiaford.settings import KeyValueSettings

_T = TypeVar("_T")
_RECORDS = TypeAdapter(tuple[InstanceRecord, ...])


def connect_key_value(settings: KeyValueSettings) -> KeyValueService:
    """Return a client of the key-value service, which connects on first use."""
    return HttpKeyValueService(settings.address, JsonClient(settings.timeout_s))


def connect_instance_list(settings: KeyValueSettings) -> InstanceList:
    """Return a client of the list of instances, which connects on first use."""
    return HttpInstanceList(settings.list_address, JsonClient(settings.timeout_s))


class HttpKeyValueService(KeyValueService):
    """A client of the key-value service's HTTP interface."""

    def __init__(self, address: str, client: JsonClient):
        self.address = address
        self.client = client

    def get(self, key: str) -> Entry:
        """Return the entry of a key; an absent key has version 0."""
        return self._read(f"/v1/kv/{quote(key)}", _entry)

    def list(self, prefix: str) -> tuple[Entry, ...]:
        """Return the entries whose key starts with a prefix, sorted by key."""
        query = urlencode({"prefix": prefix})
        return self._read(f"/v1/kv?{query}", _entries)

    def compare_and_swap(
        self, key: str, value: bytes | None, version: int, lease: Lease | None = None
    ) -> CasResult:
        """Set a key if its version is still `version`."""
        body = {
            "key": key,
            "value": None if value is None else base64.b64encode(value).decode(),
            "version": version,
            "lease": lease.lease_id if lease else None,
        }
        return self._write("POST", "/v1/cas", body, _cas_result)

    def watch(self, key: str, version: int, timeout_s: float) -> Entry:
        """Return the entry once its version differs, or after the timeout."""
        query = urlencode({"version": version, "timeout": timeout_s})
        return self._read(f"/v1/watch/{quote(key)}?{query}", _entry, timeout_s)

    def grant_lease(self, ttl_s: float) -> Lease:
        """Return a new lease."""
        return self._write("POST", "/v1/leases", {"ttl_s": ttl_s}, _lease)

    def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease; return whether it was still held."""
        target = f"/v1/leases/{quote(lease.lease_id)}/renew"
        return self._write("POST", target, {}, _renewed)

    def revoke_lease(self, lease: Lease) -> None:
        """End a lease and delete the entries written under it."""
        target = f"/v1/leases/{quote(lease.lease_id)}"
        self._write("DELETE", target, None, lambda response: None)

    def close(self) -> None:
        """Close the connections that are not in use."""
        self.client.close()

    def _read(self, target, decode, wait_s=0.0):
        return _read(self.client, self.address, target, decode, wait_s)

    def _write(self, method, target, body, decode):
        try:
            response = self.client.call(method, self.address, target, body)
            _check_status(response)
            return _decode(decode, response)
        except CallError as error:
            error_type = OutcomeUnknownError if error.sent else UnavailableError
            raise error_type(str(error)) from error


class HttpInstanceList(InstanceList):
    """A client of the HTTP interface of the list of instances."""

    def __init__(self, address: str, client: JsonClient):
        self.address = address
        self.client = client

    def fetch(self) -> tuple[InstanceRecord, ...]:
        """Return the instances on the list."""
        return _read(self.client, self.address, "/v1/instances", _instances)

    def close(self) -> None:
        """Close the connections that are not in use."""
        self.client.close()


def _read(
    client: JsonClient,
    address: str,
    target: str,
    decode: Callable[[JsonResponse], _T],
    wait_s: float = 0.0,
) -> _T:
    try:
        response = client.call("GET", address, target, wait_s=wait_s)
        _check_status(response)
        return _decode(decode, response)
    except CallError as error:
        raise UnavailableError(str(error)) from error


def _check_status(response):
    """Raise an error unless the call succeeded.

    The service responds with 503 or a 4xx status only if the call had no effect;
    after any other failure a write may have taken effect.
    """
    if 200 <= response.status < 300:
        return
    if response.status == 503 or 400 <= response.status < 500:
        raise UnavailableError(f"the service's response has status {response.status}")
    raise ResponseLostError(f"the service's response has status {response.status}")


def _decode(decode, response):
    try:
        return decode(response)
    except (KeyError, TypeError, binascii.Error, ValidationError) as error:
        raise ResponseLostError(
            f"the response has an unknown format: {error!r}"
        ) from error


def _entry(response):
    return _parse_entry(response.json())


def _entries(response):
    return tuple(_parse_entry(entry) for entry in response.json()["entries"])


def _parse_entry(document):
    value = document["value"]
    decoded = None if value is None else base64.b64decode(value, validate=True)
    return Entry(document["key"], decoded, document["version"])


def _cas_result(response):
    document = response.json()
    return CasResult(document["swapped"], _parse_entry(document["entry"]))


def _lease(response):
    document = response.json()
    return Lease(document["lease_id"], document["ttl_s"])


def _renewed(response):
    return response.json()["held"]


def _instances(response):
    return _RECORDS.validate_python(response.json()["instances"])

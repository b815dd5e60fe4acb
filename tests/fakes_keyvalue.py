"""An in-memory key-value service with faults, watches and leases."""

import threading
import time

from cassiaford.keyvalue import (
    CasResult,
    Entry,
    KeyValueService,
    Lease,
    OutcomeUnknownError,
    UnavailableError,
)


class FakeKeyValueService(KeyValueService):
    """Keeps values in a dictionary and counts calls.

    Every call fails while `down`. The next `lost_responses` writes take effect
    but raise `OutcomeUnknownError`. `delay_s` delays every call.
    """

    def __init__(self):
        self.down = False
        self.lost_responses = 0
        self.delay_s = 0.0
        self.calls = 0
        self.writes = 0
        self._values = {}
        self._leases = {}
        self._next = 0
        self._changed = threading.Condition()

    def get(self, key):
        with self._changed:
            self._start_call()
            return self._entry(key)

    def list(self, prefix):
        with self._changed:
            self._start_call()
            keys = sorted(key for key in self._values if key.startswith(prefix))
            return tuple(self._entry(key) for key in keys)

    def compare_and_swap(self, key, value, version, lease=None):
        with self._changed:
            self._start_call()
            self.writes += 1
            swapped = self._entry(key).version == version
            if swapped:
                self._set(key, value, lease)
            if self.lost_responses:
                self.lost_responses -= 1
                raise OutcomeUnknownError(key)
            return CasResult(swapped, self._entry(key))

    def watch(self, key, version, timeout_s):
        deadline = time.monotonic() + timeout_s
        with self._changed:
            self._start_call()
            while self._entry(key).version == version and not self.down:
                left_s = deadline - time.monotonic()
                if left_s <= 0:
                    break
                self._changed.wait(left_s)
            self._check()
            return self._entry(key)

    def grant_lease(self, ttl_s):
        with self._changed:
            self._start_call()
            self._next += 1
            lease = Lease(str(self._next), ttl_s)
            self._leases[lease.lease_id] = set()
            return lease

    def renew_lease(self, lease):
        with self._changed:
            self._start_call()
            return lease.lease_id in self._leases

    def revoke_lease(self, lease):
        with self._changed:
            self._start_call()
            for key in self._leases.pop(lease.lease_id, ()):
                self._set(key, None, None)

    def set_down(self, down):
        """Start or end an outage; waiting watches fail at once."""
        with self._changed:
            self.down = down
            self._changed.notify_all()

    def _start_call(self):
        self.calls += 1
        if self.delay_s:
            self._changed.wait(self.delay_s)
        self._check()

    def _check(self):
        if self.down:
            raise UnavailableError("the service is down")

    def _entry(self, key):
        value, version = self._values.get(key, (None, 0))
        return Entry(key, value, version)

    def _set(self, key, value, lease):
        if value is None:
            self._values.pop(key, None)
        else:
            self._next += 1
            self._values[key] = (value, self._next)
        if lease is not None:
            self._leases[lease.lease_id].add(key)
        self._changed.notify_all()

"""An in-memory key-value service whose calls can be made to fail."""

import threading

from cassiaford.keyvalue import (
    CasResult,
    Entry,
    KeyValueService,
    Lease,
    OutcomeUnknownError,
    UnavailableError,
)


class FakeKeyValue(KeyValueService):
    """Keeps entries in a dictionary and counts calls.

    Every call fails while `down`. The next `lost_responses` writes take effect
    but raise `OutcomeUnknownError`.
    """

    def __init__(self):
        self.entries = {}
        self.reads = 0
        self.writes = 0
        self.down = False
        self.lost_responses = 0
        self.lock = threading.Lock()

    def get(self, key):
        with self.lock:
            self.reads += 1
            self._check()
            return self.entries.get(key, Entry(key, None, 0))

    def list(self, prefix):
        with self.lock:
            self.reads += 1
            self._check()
            keys = sorted(key for key in self.entries if key.startswith(prefix))
            return tuple(self.entries[key] for key in keys)

    def compare_and_swap(self, key, value, version, lease=None):
        with self.lock:
            self.writes += 1
            self._check()
            entry = self.entries.get(key, Entry(key, None, 0))
            swapped = entry.version == version
            if swapped:
                entry = Entry(key, value, version + 1)
                self.entries[key] = entry
            if self.lost_responses:
                self.lost_responses -= 1
                raise OutcomeUnknownError("response lost")
            return CasResult(swapped, entry)

    def watch(self, key, version, timeout_s):
        return self.get(key)

    def grant_lease(self, ttl_s):
        return Lease("lease", ttl_s)

    def renew_lease(self, lease):
        return True

    def revoke_lease(self, lease):
        pass

    def _check(self):
        if self.down:
            raise UnavailableError("down")

"""An instance's own entry in the store, under a lease."""

import asyncio
import json
import random

from cassiaford.gateway._mirror import MirrorSync
from cassiaford.gateway._store import (
    LeaseEndedError,
    SharedStore,
    StoreError,
    Write,
)
from cassiaford.gateway.policy import PeerState

# Time until the entry of a lost instance is removed; the reports between
# instances detect the loss sooner. An instance that is cut off keeps its entry for
# this long, so that those that restart meanwhile leave it its part of the rates.
LEASE_S = 20.0
RENEWAL_INTERVAL_S = 2.0
# Interval at which an instance looks whether it has to register again, and the
# longest time that it then waits, so that not all instances write at once.
CHECK_INTERVAL_S = 0.1
MAX_REGISTRATION_DELAY_S = 0.8
# Identifies these calls in the tracking of the store's reachability.
STORE_CLIENT = "registration"


def encode_entry(state: PeerState) -> bytes:
    """Return the value of an instance's entry."""
    document = {
        "name": state.name,
        "incarnation": state.incarnation,
        "data_centre": state.data_centre,
        "front_address": state.front_address,
        "peer_address": state.peer_address,
    }
    return json.dumps(document).encode()


def decode_entry(value: bytes) -> PeerState:
    """Return the instance of an entry; raise `ValueError`."""
    try:
        document = json.loads(value)
        return PeerState(
            name=str(document["name"]),
            incarnation=int(document["incarnation"]),
            data_centre=str(document["data_centre"]),
            front_address=str(document["front_address"]),
            peer_address=str(document["peer_address"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise ValueError(f"invalid entry of an instance: {error!r}") from error


class Registration:
    """Maintains the entry of this instance in the store."""

    def __init__(
        self,
        key: str,
        state: PeerState,
        store: SharedStore,
        rng: random.Random,
        sync: MirrorSync,
    ):
        self.key = key
        self.state = state
        self.store = store
        self.rng = rng
        self.sync = sync
        self.lease = 0
        self.lease_era = 0
        self.registered = False
        self.withdrawn = False

    @property
    def is_current(self) -> bool:
        """Whether the entry was written in the store's present era."""
        return self.registered and self.lease_era == self.store.era

    async def run(self) -> None:
        """Register the instance, and renew its lease until it withdraws."""
        while not self.withdrawn:
            started_at = self.sync.clock()
            failed = False
            try:
                if self.is_current:
                    await self.store.renew_lease(self.lease)
                else:
                    await self._register()
                self.sync.record_success(STORE_CLIENT)
            except LeaseEndedError:
                self.registered = False
                continue
            except StoreError as error:
                # An entry that has lapsed is written again in the next round.
                self.sync.record_failure(STORE_CLIENT, error, started_at)
                failed = True
            await self._wait_for_next_round(failed)

    def on_entry_removed(self) -> None:
        """Register again, unless the instance itself has removed its entry."""
        if not self.withdrawn:
            self.registered = False

    async def withdraw(self) -> None:
        """Remove the entry, so that peers no longer list this instance."""
        self.withdrawn = True
        if not self.registered:
            return
        self.registered = False
        started_at = self.sync.clock()
        try:
            await self.store.end_lease(self.lease)
        except StoreError as error:
            # The lease expires by itself.
            self.sync.record_failure(STORE_CLIENT, error, started_at)

    async def _wait_for_next_round(self, failed):
        """Wait until the lease has to be renewed or the entry is found missing."""
        wait_s = RENEWAL_INTERVAL_S * (0.8 + 0.4 * self.rng.random())
        end = self.sync.clock() + wait_s
        era = self.store.era
        # What has just failed is not tried again sooner.
        may_register = self.is_current or not failed
        while (left_s := end - self.sync.clock()) > 0.0:
            if self.store.era != era or (may_register and not self.is_current):
                delay_s = self.rng.random() * MAX_REGISTRATION_DELAY_S
                await asyncio.sleep(min(delay_s, left_s))
                return
            await asyncio.sleep(min(CHECK_INTERVAL_S, left_s))

    async def _register(self):
        self.lease = await self.store.grant_lease(LEASE_S)
        self.lease_era = self.store.era
        write = Write(self.key, encode_entry(self.state), self.lease)
        await self.store.transact((), (write,))
        self.registered = True

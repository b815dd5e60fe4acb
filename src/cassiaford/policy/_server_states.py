"""The estimated state of all backend servers and of their caches."""

import random

from cassiaford.policy._block_table import BlockTable
from cassiaford.policy._prefix_homes import PromptBlocks
from cassiaford.policy._server_load import ServerLoad

MAX_CACHING_SERVERS = 8
# Messages of an ended incarnation are ignored for this long.
RETIRED_TTL_S = 60.0


class ServerStates:
    """The load of each backend server, and its bit in the masks of the block table.

    A bit is reused for another server only after it was cleared in all blocks.
    """

    def __init__(self, table: BlockTable, tokens_per_s: float):
        self.table = table
        self.tokens_per_s = tokens_per_s
        self.loads = {}
        self._name_by_mask = {}
        self._retired_at = {}
        self._latest_at = 0.0

    def get(self, server: str) -> ServerLoad | None:
        """Return the state of a server, or None if there is none."""
        return self.loads.get(server)

    def get_or_add(self, server: str) -> ServerLoad:
        """Return the state of a server, adding it if there is none."""
        load = self.loads.get(server)
        if load is None:
            mask = self._free_mask()
            load = ServerLoad(mask, self.tokens_per_s)
            self.loads[server] = load
            self._name_by_mask[mask] = server
        return load

    def enter_incarnation(self, server: str, incarnation: str, now: float) -> bool:
        """Switch to the incarnation that a message names; return whether it is live.

        Incarnations have no order, so an ended one is remembered for longer than
        its messages may be delayed.
        """
        self._latest_at = now
        retired_at = self._retired_at.get((server, incarnation))
        if retired_at is not None and now - retired_at < RETIRED_TTL_S:
            return False
        load = self.get_or_add(server)
        if incarnation != load.incarnation:
            self._retire(server, load.incarnation)
            # Also for the first report: earlier state may belong to an
            # incarnation that had ended before it.
            self._drop_blocks(load)
            load.enter_incarnation(incarnation)
        return True

    def remove(self, server: str) -> ServerLoad | None:
        """Remove the state of a server; return it, or None if there is none."""
        load = self.loads.pop(server, None)
        if load is not None:
            del self._name_by_mask[load.mask]
            self._drop_blocks(load)
            self._retire(server, load.incarnation)
        return load

    def record_cached(self, block: int, load: ServerLoad) -> None:
        """Record that a server caches a block, if the table has room for it."""
        state = self.table.find(block)
        if state is None:
            if not self.table.has_room:
                return
            state = self.table.add(block)
        state.server_mask |= load.mask
        load.may_have_blocks = True

    def record_evicted(self, block: int, mask: int) -> None:
        """Record that a server does not cache a block."""
        state = self.table.find(block)
        if state is not None:
            state.server_mask &= ~mask

    def sample_caching_servers(
        self, prompt: PromptBlocks, rng: random.Random
    ) -> list[str]:
        """Return some of the servers that are assumed to cache most of a prompt."""
        names = []
        for length, server_mask in prompt.runs:
            if length:
                room = MAX_CACHING_SERVERS - len(names)
                masks = _sample_masks(server_mask, room, rng)
                names.extend(self._name_by_mask[mask] for mask in masks)
        return names

    def _drop_blocks(self, load: ServerLoad) -> None:
        # This scans the whole table, so it is skipped for a server without blocks.
        if load.may_have_blocks:
            self.table.remove_server(load.mask)
            load.may_have_blocks = False

    def _free_mask(self) -> int:
        used = sum(self._name_by_mask)
        return ~used & (used + 1)

    def _retire(self, server: str, incarnation: str | None) -> None:
        if incarnation is None:
            return
        horizon = self._latest_at - RETIRED_TTL_S
        self._retired_at = {
            key: at for key, at in self._retired_at.items() if at > horizon
        }
        self._retired_at[server, incarnation] = self._latest_at


def _sample_masks(server_mask: int, limit: int, rng: random.Random) -> list[int]:
    # Start at a random bit, so that the lowest ones are not always chosen.
    upper_bits = (
        server_mask >> (start := rng.randrange(server_mask.bit_length())) << start
    )
    chosen = []
    for remaining in (upper_bits, server_mask ^ upper_bits):
        while remaining and len(chosen) < limit:
            mask = remaining & -remaining
            chosen.append(mask)
            remaining ^= mask
    return chosen

"""What is believed of all backend servers, by their incarnations."""

import random

from cassiaford.policy._block_table import BlockTable
from cassiaford.policy._prefix_homes import PromptBlocks
from cassiaford.policy._server_load import ServerLoad

MAX_HOLDERS = 8
# Messages of an incarnation that has ended are refused for this long.
RETIRED_S = 60.0


class ServerBeliefs:
    """The load of each backend server and its bit in the sets of holders.

    A bit is passed on to another server only after every belief under it was
    dropped.
    """

    def __init__(self, table: BlockTable, tokens_per_s: float):
        self.table = table
        self.tokens_per_s = tokens_per_s
        self.loads = {}
        self._names = {}
        self._retired = {}
        self._latest = 0.0

    def known(self, server: str) -> ServerLoad | None:
        """Return what is believed of a server, None if nothing is."""
        return self.loads.get(server)

    def load_of(self, server: str) -> ServerLoad:
        """Return what is believed of a server, which may be new."""
        load = self.loads.get(server)
        if load is None:
            bit = self._free_bit()
            load = ServerLoad(bit, self.tokens_per_s)
            self.loads[server] = load
            self._names[bit] = server
        return load

    def enter(self, server: str, incarnation: str, now: float) -> bool:
        """Go over to the incarnation that a message names, if it is alive.

        Nothing orders two incarnations, so one that ended is remembered for
        longer than its messages may be late.
        """
        self._latest = now
        retired_at = self._retired.get((server, incarnation))
        if retired_at is not None and now - retired_at < RETIRED_S:
            return False
        load = self.load_of(server)
        if incarnation != load.incarnation:
            self._retire(server, load.incarnation)
            # Also at the first report: what was believed before it may be of
            # an incarnation that had ended by then.
            self._drop_blocks(load)
            load.enter(incarnation)
        return True

    def forget(self, server: str) -> ServerLoad | None:
        """Drop every belief about a server; return what was believed."""
        load = self.loads.pop(server, None)
        if load is not None:
            del self._names[load.bit]
            self._drop_blocks(load)
            self._retire(server, load.incarnation)
        return load

    def stored(self, block: int, load: ServerLoad) -> None:
        """Believe that a server holds a block, if there is room to know it."""
        known = self.table.find(block)
        if known is None:
            if not self.table.has_room:
                return
            known = self.table.add(block)
        known.holders |= load.bit
        load.holds_blocks = True

    def evicted(self, block: int, bit: int) -> None:
        """Believe that a server does not hold a block."""
        known = self.table.find(block)
        if known is not None:
            known.holders &= ~bit

    def holders(self, prompt: PromptBlocks, rng: random.Random) -> list[str]:
        """Return some of the servers believed to hold most of a prompt."""
        names = []
        for length, holders in prompt.runs:
            if length:
                room = MAX_HOLDERS - len(names)
                bits = _some_bits(holders, room, rng)
                names.extend(self._names[bit] for bit in bits)
        return names

    def _drop_blocks(self, load: ServerLoad) -> None:
        # A sweep over the whole table, so not for a server that is new.
        if load.holds_blocks:
            self.table.drop_holder(load.bit)
            load.holds_blocks = False

    def _free_bit(self) -> int:
        taken = sum(self._names)
        return ~taken & (taken + 1)

    def _retire(self, server: str, incarnation: str | None) -> None:
        if incarnation is None:
            return
        horizon = self._latest - RETIRED_S
        self._retired = {key: at for key, at in self._retired.items() if at > horizon}
        self._retired[server, incarnation] = self._latest


def _some_bits(bits: int, limit: int, rng: random.Random) -> list[int]:
    # Begins at a random place, so that the lowest bits are not always taken.
    upper = bits >> (start := rng.randrange(bits.bit_length())) << start
    chosen = []
    for part in (upper, bits ^ upper):
        while part and len(chosen) < limit:
            bit = part & -part
            chosen.append(bit)
            part ^= bit
    return chosen

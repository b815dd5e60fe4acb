"""Copies of the shared store, for instances that it does not answer."""

import asyncio

from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._http_caller import CallFailedError, HttpClient
from cassiaford.gateway._mirror import Mirror, MirrorSync
from cassiaford.gateway._peer_codec import (
    PeerMessageError,
    decode_snapshot,
    encode_snapshot,
)
from cassiaford.gateway._server_connection import ConnectionPool
from cassiaford.gateway.policy import PeerState
from cassiaford.logs import Event

# A peer's copy of the store is asked for at most this often.
COPY_EVERY_S = 0.4
COPY_TIME_OUT_S = 0.8
COPY_TARGET = "/mirror"


class StoreCopies:
    """Gives peers this instance's copy, and takes theirs in an outage."""

    def __init__(
        self, mirror: Mirror, sync: MirrorSync, pool: ConnectionPool, log: EventLog
    ):
        self.mirror = mirror
        self.sync = sync
        self.caller = HttpClient(pool)
        self.log = log
        self._now = asyncio.get_running_loop().time
        self._asked_at = -COPY_EVERY_S
        self._task: asyncio.Task | None = None

    @staticmethod
    def requested(target: str) -> bool:
        """Return whether a target asks for the copy."""
        return target == COPY_TARGET

    def body(self, target: str) -> bytes | None:
        """Return the copy, or None while it is not complete."""
        return encode_snapshot(self.mirror.copies()) if self.mirror.complete else None

    def on_newer_peer(self, peer: PeerState, revision: int) -> None:
        """Take a peer's copy if the store does not answer."""
        if self.sync.reachable or self._now() - self._asked_at < COPY_EVERY_S:
            return
        self._asked_at = self._now()
        self._task = asyncio.create_task(self._take(peer))

    async def _take(self, peer):
        try:
            reply = await self.caller.call(
                "GET", peer.peer_address, COPY_TARGET, COPY_TIME_OUT_S
            )
            if reply.status == 200 and self.mirror.adopt(decode_snapshot(reply.body)):
                self.log.write(Event.PEER_COPY_APPLIED, peer=peer.name)
        except (CallFailedError, PeerMessageError) as error:
            self.log.write(Event.PEER_MESSAGE_DROPPED, peer=peer.name, cause=str(error))

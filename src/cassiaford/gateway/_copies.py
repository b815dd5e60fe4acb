"""Copies of the shared store from peers, for instances that cannot reach it."""

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

# Copies are requested from peers no more often than this.
MIN_COPY_INTERVAL_S = 0.4
COPY_TIMEOUT_S = 0.8
COPY_TARGET = "/mirror"


class StoreCopies:
    """Serves this instance's copy to peers, and fetches theirs in an outage."""

    def __init__(
        self, mirror: Mirror, sync: MirrorSync, pool: ConnectionPool, log: EventLog
    ):
        self.mirror = mirror
        self.sync = sync
        self.client = HttpClient(pool)
        self.log = log
        self._now = asyncio.get_running_loop().time
        self._requested_at = -MIN_COPY_INTERVAL_S
        self._task: asyncio.Task | None = None

    @staticmethod
    def requested(target: str) -> bool:
        """Return whether a target asks for the copy."""
        return target == COPY_TARGET

    def body(self, target: str) -> bytes | None:
        """Return the copy, or None while it is not complete."""
        return self._encode() if self.mirror.complete else None

    def on_newer_peer(self, peer: PeerState, revision: int) -> None:
        """Fetch the copy of a peer with a newer one if the store is unreachable."""
        if (
            self.sync.reachable
            or self._now() - self._requested_at < MIN_COPY_INTERVAL_S
        ):
            return
        self._requested_at = self._now()
        self._task = asyncio.create_task(self._fetch(peer))

    def _encode(self):
        return encode_snapshot(self.mirror.snapshot(), self.mirror.era)

    async def _fetch(self, peer):
        try:
            reply = await self.client.call(
                "GET", peer.peer_address, COPY_TARGET, COPY_TIMEOUT_S
            )
            if reply.status == 200 and self.mirror.apply_newer(
                *decode_snapshot(reply.body)
            ):
                self.log.write(Event.PEER_COPY_APPLIED, peer=peer.name)
        except (CallFailedError, PeerMessageError) as error:
            self.log.write(Event.PEER_MESSAGE_DROPPED, peer=peer.name, cause=str(error))

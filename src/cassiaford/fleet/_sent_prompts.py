"""Announcements of long prompts to peers, ahead of load reports.

A load report of a backend server is up to one poll interval old. Two instances
that each sent it a long prompt within that time would both assume it idle.
"""

from collections.abc import Callable

import capnp

from cassiaford._schemas import load_schema
from cassiaford.fleet._transport import Channel, PeerMessage, PeerTransport
from cassiaford.logs import Event
from cassiaford.timeline import Journal

# About 0.1 s of prefill at the initially assumed prefill speed.
MIN_REPORTED_TOKENS = 2048
# Messages grow with the square of the fleet's size; larger fleets rely on load
# reports alone (docs/CAPACITY.md).
MAX_BROADCAST_PEERS = 32

_schema = load_schema(__file__, "load.capnp")


class SentPromptExchange:
    """Announces long prompts to peers, and passes on their announcements.

    Messages are not repeated: load reports make up for a lost one.
    """

    def __init__(self, transport: PeerTransport, journal: Journal, instance: str):
        self.transport = transport
        self.journal = journal
        self.instance = instance
        self.on_peer_prompt: Callable[[str, int], None] = lambda server, tokens: None

    def start(self) -> None:
        """Start receiving announcements."""
        self.transport.subscribe(Channel.LOAD, self._on_message)

    def broadcast(self, server: str, tokens: int) -> None:
        """Announce a prompt that needs prefill of `tokens`, if it is long."""
        if tokens < MIN_REPORTED_TOKENS:
            return
        if len(self.transport.members()) > MAX_BROADCAST_PEERS:
            return
        body = encode_sent_prompt(server, tokens)
        self.transport.send_to_peers(self.instance, Channel.LOAD, body)

    def _on_message(self, received: PeerMessage):
        try:
            server, tokens = decode_sent_prompt(received.body)
        except (capnp.KjException, ValueError):
            self.journal.record(
                Event.PEER_MESSAGE_DROPPED, reason="undecodable", peer=received.sender
            )
            return
        self.on_peer_prompt(server, tokens)


def encode_sent_prompt(server: str, tokens: int) -> bytes:
    """Encode the announcement of one prompt."""
    return _schema.SentPrompt.new_message(
        server=server, tokens=tokens
    ).to_bytes_packed()


def decode_sent_prompt(body: bytes) -> tuple[str, int]:
    """Decode an announcement to the server and the tokens.

    Raises `capnp.KjException` or `ValueError` if it is malformed.
    """
    prompt = _schema.SentPrompt.from_bytes_packed(body)
    return prompt.server, prompt.tokens

"""Telling peers of long prompts before any load report can.

Reports of a backend server are up to a poll old. Two instances that each send
it a long prompt within that time would both take it to be idle.
"""

from collections.abc import Callable

import capnp

from cassiaford._schemas import load_schema
from cassiaford.fleet._transport import Channel, PeerMessage, PeerTransport
from cassiaford.logs import Event
from cassiaford.timeline import Journal

# A tenth of a second of an engine's work at the speed first assumed of it.
MIN_REPORTED_TOKENS = 2048
# Telling every peer costs messages by the square of the fleet; larger fleets
# go by reports alone (docs/CAPACITY.md).
MAX_TOLD_PEERS = 32

_schema = load_schema(__file__, "load.capnp")


class SentPromptExchange:
    """Tells peers which servers got long prompts, and passes on what they tell.

    A lost message leaves what reports say, so none is sent twice.
    """

    def __init__(self, transport: PeerTransport, journal: Journal, instance: str):
        self.transport = transport
        self.journal = journal
        self.instance = instance
        self.on_peer_prompt: Callable[[str, int], None] = lambda server, tokens: None

    def start(self) -> None:
        """Begin to listen."""
        self.transport.subscribe(Channel.LOAD, self._on_message)

    def broadcast(self, server: str, tokens: int) -> None:
        """Tell peers of a prompt with so many tokens to compute, if it is long."""
        if tokens < MIN_REPORTED_TOKENS:
            return
        if len(self.transport.members()) > MAX_TOLD_PEERS:
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
    """Return the body that tells of one prompt."""
    return _schema.SentPrompt.new_message(
        server=server, tokens=tokens
    ).to_bytes_packed()


def decode_sent_prompt(body: bytes) -> tuple[str, int]:
    """Return the server and the tokens in a body; raises what the codec raises."""
    prompt = _schema.SentPrompt.from_bytes_packed(body)
    return prompt.server, prompt.tokens

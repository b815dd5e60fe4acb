"""The messages by which instances tell and give each other configuration."""

from collections.abc import Callable, Sequence

from cassiaford.config import Configuration, Revision
from cassiaford.fleet._codec import (
    ConfigurationContent,
    DecodeError,
    decode_content,
    decode_notice,
    decode_request,
    encode_content,
    encode_notice,
    encode_request,
)
from cassiaford.fleet._revision_codec import encode_configuration, encode_revision
from cassiaford.fleet._transport import Channel, PeerMessage, RequestTransport

REQUEST_TIMEOUT_S = 2.0


class ConfigurationExchange:
    """Tells peers of revisions, fetches them and answers such requests.

    `entries_after` returns what follows a revision, or None if only the whole
    configuration, which `current` returns, will do.
    """

    def __init__(
        self,
        peers: RequestTransport,
        current: Callable[[], Configuration],
        entries_after: Callable[[int], Sequence[Revision] | None],
        on_notice: Callable[[str, int], None],
    ):
        self.peers = peers
        self.current = current
        self.entries_after = entries_after
        self.on_notice = on_notice
        self._snapshot_of = -1
        self._snapshot = b""
        peers.subscribe(Channel.CONFIGURATION, self._receive)
        peers.answer(Channel.CONFIGURATION, self._answer)

    def tell(self, instances: Sequence[str], revision: int) -> None:
        """Tell some peers which revision is in force here."""
        body = encode_notice(revision)
        for instance in instances:
            self.peers.send(instance, Channel.CONFIGURATION, body)

    def fetch(self, instance: str, after_revision: int) -> ConfigurationContent:
        """Return what a peer has after a revision.

        Raises `OSError`, `DroppedError` or `DecodeError` if there is no usable
        answer.
        """
        body = encode_request(after_revision)
        reply = self.peers.request(
            instance, Channel.CONFIGURATION, body, REQUEST_TIMEOUT_S
        )
        return decode_content(reply.body)

    def _receive(self, message: PeerMessage):
        try:
            revision = decode_notice(message.body)
        except DecodeError:
            return
        self.on_notice(message.sender, revision)

    def _answer(self, message: PeerMessage) -> bytes:
        entries = self.entries_after(decode_request(message.body))
        if entries is None:
            return encode_content(ConfigurationContent(snapshot=self._encoded()))
        texts = tuple(encode_revision(entry) for entry in entries)
        return encode_content(ConfigurationContent(entries=texts))

    def _encoded(self):
        # Many peers may ask for the same snapshot.
        configuration = self.current()
        if self._snapshot_of != configuration.revision:
            self._snapshot = encode_configuration(configuration)
            self._snapshot_of = configuration.revision
        return self._snapshot

"""The exchange of configuration notices and contents between instances."""

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
    """Sends notices of revisions to peers, fetches revisions and serves them.

    `entries_after` returns the revisions after a number, or None if they are no
    longer available; the whole configuration that `current` returns is sent then.
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
        self._snapshot_revision = -1
        self._snapshot = b""
        peers.subscribe(Channel.CONFIGURATION, self._receive)
        peers.handle_requests(Channel.CONFIGURATION, self._reply)

    def send_notice(self, instances: Sequence[str], revision: int) -> None:
        """Notify some peers of the revision in force here."""
        body = encode_notice(revision)
        for instance in instances:
            self.peers.send(instance, Channel.CONFIGURATION, body)

    def fetch(self, instance: str, after_revision: int) -> ConfigurationContent:
        """Fetch a peer's configuration after a revision.

        Raises `OSError`, `DroppedError` or `DecodeError` if there is no valid
        reply.
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

    def _reply(self, message: PeerMessage) -> bytes:
        entries = self.entries_after(decode_request(message.body))
        if entries is None:
            return encode_content(
                ConfigurationContent(snapshot=self._encoded_snapshot())
            )
        encoded = tuple(encode_revision(entry) for entry in entries)
        return encode_content(ConfigurationContent(entries=encoded))

    def _encoded_snapshot(self):
        # Cached, because many peers may request the same snapshot.
        configuration = self.current()
        if self._snapshot_revision != configuration.revision:
            self._snapshot = encode_configuration(configuration)
            self._snapshot_revision = configuration.revision
        return self._snapshot

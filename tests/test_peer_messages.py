"""Tests of the authentication and encoding of messages between instances."""

import hmac
import pathlib
import tempfile
import threading
import unittest

import capnp

import cassiaford.fleet
from cassiaford.fleet import Channel
from cassiaford.fleet._authenticator import (
    DroppedError,
    DropReason,
    FrameAuthenticator,
    Identity,
)
from cassiaford.fleet._codec import (
    MAC_BYTES,
    DecodeError,
    Envelope,
    decode_membership,
    encode_frame,
    encode_membership,
    schema,
)
from cassiaford.fleet._peers import MAX_DATAGRAM_BYTES
from cassiaford.policy import (
    Member,
    MembershipMessage,
    MemberState,
    MemberUpdate,
    MessageKind,
)
from cassiaford.policy._membership import MAX_UPDATES
from cassiaford.timeline import HybridClock, Timestamp

SECRET = b"the secret of this fleet"


def create_authenticator(name, incarnation=1, secret=SECRET, wall_s=1000.0):
    return FrameAuthenticator(
        Identity(name, incarnation, secret), HybridClock(lambda: wall_s)
    )


def envelope(**fields):
    values = {
        "sender": "entry-1",
        "incarnation": 1,
        "receiver": "entry-2",
        "timestamp": Timestamp(1, 0),
        "channel": Channel.RATES.value,
        "body": b"body",
    }
    return Envelope(**{**values, **fields})


class FrameAuthenticatorTest(unittest.TestCase):
    def setUp(self):
        self.sender = create_authenticator("entry-1")
        self.receiver = create_authenticator("entry-2")
        self.frame = self.sender.create_frame("entry-2", Channel.RATES, b"body")

    def assert_dropped(self, frame, reason):
        before = self.receiver.dropped[reason]
        with self.assertRaises(DroppedError) as caught:
            self.receiver.accept(frame)
        self.assertIs(caught.exception.reason, reason)
        self.assertEqual(self.receiver.dropped[reason], before + 1)

    def test_a_valid_frame_is_accepted_with_its_message(self):
        message = self.receiver.accept(self.frame)
        self.assertEqual((message.sender, message.body), ("entry-1", b"body"))
        self.assertIs(message.channel, Channel.RATES)

    def test_a_message_under_another_secret_is_dropped(self):
        stranger = create_authenticator(
            "entry-1", secret=b"the secret of another fleet"
        )
        frame = stranger.create_frame("entry-2", Channel.RATES, b"body")
        self.assert_dropped(frame, DropReason.UNAUTHENTICATED)

    def test_each_altered_byte_is_detected(self):
        for position in range(len(self.frame)):
            altered = bytearray(self.frame)
            altered[position] ^= 1
            self.assert_dropped(bytes(altered), DropReason.UNAUTHENTICATED)

    def test_noise_and_short_frames_are_dropped(self):
        for frame in (b"", b"x", bytes(MAC_BYTES), bytes(500)):
            self.assert_dropped(frame, DropReason.UNAUTHENTICATED)

    def test_a_message_of_an_older_incarnation_is_dropped(self):
        restarted = create_authenticator("entry-1", incarnation=2)
        self.receiver.accept(restarted.create_frame("entry-2", Channel.RATES, b"new"))
        self.assert_dropped(self.frame, DropReason.OLD_INCARNATION)

    def test_a_message_to_another_instance_is_dropped(self):
        frame = self.sender.create_frame("entry-3", Channel.RATES, b"body")
        self.assert_dropped(frame, DropReason.OTHER_RECEIVER)

    def test_an_instance_drops_its_own_frames(self):
        own = self.receiver.create_frame("", Channel.RATES, b"body")
        self.assert_dropped(own, DropReason.OWN_FRAME)

    def test_another_major_version_is_dropped(self):
        message = schema.Envelope.new_message(major=2, sender="entry-1")
        payload = message.to_bytes_packed()
        mac = hmac.digest(SECRET, payload, "sha256")
        self.assert_dropped(mac + payload, DropReason.PROTOCOL_VERSION)

    def test_an_unknown_channel_is_dropped(self):
        frame = encode_frame(envelope(channel=99), SECRET)
        self.assert_dropped(frame, DropReason.UNKNOWN_CHANNEL)

    def test_an_authenticated_but_undecodable_frame_is_malformed(self):
        payload = b"\xff" * 40
        mac = hmac.digest(SECRET, payload, "sha256")
        self.assert_dropped(mac + payload, DropReason.MALFORMED)

    def test_the_receivers_clock_passes_the_senders(self):
        ahead = create_authenticator("entry-1", wall_s=1030.0)
        self.receiver.accept(ahead.create_frame("entry-2", Channel.RATES, b"body"))
        self.assertGreater(self.receiver.clock.now(), ahead.clock.last)

    def test_frames_from_many_threads_are_counted(self):
        def accept_frames():
            for _ in range(100):
                self.receiver.accept(self.sender.create_frame("", Channel.RATES, b""))

        threads = [threading.Thread(target=accept_frames) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sum(self.receiver.dropped.values()), 0)


class CodecTest(unittest.TestCase):
    def message(self):
        member = Member(
            "e" * 63, 2**40, "d" * 63, "255.255.255.255:65535",
            "255.255.255.255:65535", leaving=True, ready=False,
        )  # fmt: skip
        update = MemberUpdate(member, 7, MemberState.SUSPECT)
        return MembershipMessage(
            MessageKind.PING_REQUEST, 2**31, (update,) * MAX_UPDATES, 2**33, 5, "e" * 63
        )

    def test_a_message_round_trips(self):
        message = self.message()
        self.assertEqual(decode_membership(encode_membership(message)), message)

    def test_the_largest_message_fits_a_datagram(self):
        frame = create_authenticator("e" * 63).create_frame(
            "f" * 63, Channel.MEMBERSHIP, encode_membership(self.message())
        )
        self.assertLessEqual(len(frame), MAX_DATAGRAM_BYTES)

    def test_a_kind_of_a_newer_release_is_an_error_not_a_crash(self):
        body = schema.MembershipMessage.new_message(kind=77).to_bytes_packed()
        with self.assertRaises(DecodeError):
            decode_membership(body)

    def test_a_field_of_a_newer_release_is_ignored(self):
        newer = schema_with_more_fields()
        body = newer.MembershipMessage.new_message(
            kind=1, sequence=5, extra="unknown"
        ).to_bytes_packed()
        self.assertEqual(decode_membership(body).sequence, 5)


def schema_with_more_fields():
    """Return the schema as a later release may extend it."""
    source = pathlib.Path(cassiaford.fleet.__file__).with_name("peer.capnp")
    text = source.read_text().replace("@0xb1f3c5a7d9e20461", "@0xb1f3c5a7d9e20462")
    text = text.replace(
        "  revision @4 :UInt64;\n", "  revision @4 :UInt64;\n  extra @6 :Text;\n"
    )
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "later.capnp"
        path.write_text(text)
        return capnp.load(str(path))


if __name__ == "__main__":
    unittest.main()

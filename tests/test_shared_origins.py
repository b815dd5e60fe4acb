"""Tests of what instances tell each other about where streams began."""

import asyncio
import unittest

from cassiaford.gateway._peer_codec import (
    MAX_ORIGIN_ITEMS,
    OriginMessage,
    PeerMessageError,
    Report,
    _schema,
    decode_message,
    encode_origin_message,
    encode_report,
)
from cassiaford.gateway._shared_origins import (
    ASKED_PEERS,
    LOOKUP_TIMEOUT_S,
    MAX_KNOWN_ORIGINS,
    MAX_LOOKUPS_PER_S,
    TOLD_PEERS,
    SharedStreamOrigins,
)
from cassiaford.gateway.policy import PeerState, PeerTable
from cassiaford.origins import (
    OriginRecord,
    OriginTable,
    StreamOrigin,
    attempt_digest,
    origin_digest,
    owners,
)
from tests.virtual_time import run_in_virtual_time

V1 = StreamOrigin("chat", "v1")
V2 = StreamOrigin("chat", "v2")
D1, D2 = origin_digest(V1), origin_digest(V2)
# An unfragmented datagram.
MAX_DATAGRAM_BYTES = 1200


class OriginTableTest(unittest.TestCase):
    def test_two_origins_of_one_attempt_match_nothing_in_either_order(self):
        for first, second in ((D1, D2), (D2, D1)):
            table = OriginTable()
            for origin in (first, second, first):
                table.learn(OriginRecord(attempt_digest("a"), origin), 0.0)
            self.assertIsNone(table.find("a", 0.0).origin)

    def test_what_a_peer_holds_for_ambiguous_is_not_certain_here(self):
        table = OriginTable()
        table.record("a", V1, 0.0)
        table.learn(OriginRecord(attempt_digest("a"), None), 0.0)
        self.assertIsNone(table.find("a", 0.0).origin)

    def test_an_attempt_of_unknown_origin_stays_unknown(self):
        table = OriginTable()
        table.record("a", None, 0.0)
        table.record("a", V1, 0.0)
        self.assertIsNone(table.find("a", 0.0).origin)

    def test_repeated_and_late_records_of_one_origin_change_nothing(self):
        table = OriginTable()
        for now in (0.0, 0.1, 50.0):
            table.learn(OriginRecord(attempt_digest("a"), D1), now)
        self.assertEqual(table.find("a", 50.0).origin, D1)

    def test_two_attempts_with_one_digest_match_nothing(self):
        table = OriginTable(digest=lambda attempt_id: 7)
        table.record("a", V1, 0.0)
        self.assertEqual(table.find("a", 0.0).origin, D1)
        self.assertIsNone(table.find("b", 0.0).origin)
        table.record("b", V1, 0.0)
        self.assertIsNone(table.find("a", 0.0).origin)
        self.assertIsNone(table.find("b", 0.0).origin)

    def test_the_number_of_origins_is_bounded_and_the_used_ones_stay(self):
        table = OriginTable(max_origins=3)
        for name in "abc":
            table.record(name, V1, 0.0)
        table.find("a", 1.0)
        table.record("d", V1, 1.0)
        self.assertEqual(len(table), 3)
        self.assertIsNone(table.find("b", 1.0))
        self.assertEqual(table.find("a", 1.0).origin, D1)

    def test_an_origin_expires_unless_it_is_used(self):
        table = OriginTable(ttl_s=10.0)
        table.record("a", V1, 0.0)
        table.record("b", V1, 0.0)
        table.find("a", 8.0)
        self.assertIsNone(table.find("b", 11.0))
        self.assertEqual(table.find("a", 11.0).origin, D1)
        self.assertIsNone(table.find("a", 22.0))
        self.assertEqual(len(table), 0)

    def test_an_origin_is_forgotten_right_after_its_time(self):
        table = OriginTable(ttl_s=10.0)
        table.record("a", V1, 0.0)
        self.assertEqual(table.find("a", 10.0).origin, D1)
        self.assertIsNone(table.find("a", 20.1))
        self.assertEqual(len(table), 0)


class OwnersTest(unittest.TestCase):
    def test_memberships_that_differ_by_one_agree_within_one_more_owner(self):
        names = [f"entry-{number}" for number in range(9)]
        for attempt in range(50):
            for missing in names:
                others = [name for name in names if name != missing]
                told = owners(attempt, others, TOLD_PEERS)
                asked = owners(attempt, names, TOLD_PEERS + 1)
                self.assertLessEqual(set(told), set(asked))

    def test_owners_are_spread_evenly(self):
        names = [f"entry-{number}" for number in range(10)]
        counts = dict.fromkeys(names, 0)
        for number in range(2000):
            for name in owners(attempt_digest(f"attempt-{number}"), names, 2):
                counts[name] += 1
        self.assertGreater(min(counts.values()), 300)
        self.assertLess(max(counts.values()), 500)


class OriginCodecTest(unittest.TestCase):
    def test_a_message_survives_its_encoding(self):
        message = OriginMessage(
            told=(OriginRecord(2**64 - 1, D1), OriginRecord(5, None)),
            asked=(1, 2),
            unknown=(3,),
        )
        self.assertEqual(decode_message(encode_origin_message(message)), message)

    def test_a_report_is_told_from_a_message_about_origins(self):
        report = Report(sender=1, incarnation=2, sequence=3)
        self.assertEqual(decode_message(encode_report(report)), report)

    def test_an_older_release_takes_it_for_a_report_that_is_not_new(self):
        # It applies reports whose incarnation and sequence rise, from (0, 0) on.
        data = encode_origin_message(OriginMessage(asked=(1,)))
        report = _schema.Report.from_bytes_packed(data)
        self.assertEqual((report.incarnation, report.sequence), (0, 0))

    def test_malformed_messages_are_errors(self):
        good = encode_origin_message(OriginMessage(told=(OriginRecord(1, D1),)))
        empty = encode_origin_message(OriginMessage())
        many = OriginMessage(asked=tuple(range(MAX_ORIGIN_ITEMS + 1)))
        for data in (b"", b"x", b"\xff" * 60, good[:20], empty,
                     encode_origin_message(many)):  # fmt: skip
            with self.assertRaises(PeerMessageError):
                decode_message(data)

    def test_the_largest_message_that_an_instance_sends_fits_a_datagram(self):
        record = OriginRecord(2**64 - 1, 2**64 - 1)
        message = OriginMessage(told=(record,) * MAX_ORIGIN_ITEMS)
        self.assertLess(len(encode_origin_message(message)), MAX_DATAGRAM_BYTES)


class Network:
    """Delivers datagrams between the origins of instances, after 1 ms."""

    def __init__(self):
        self.origins = {}
        self.sent = []

    def start(self, name, peers=()):
        """Start an instance that has just heard the named peers."""
        now = asyncio.get_running_loop().time()
        table = PeerTable()
        for peer in peers:
            table.update_from_peer(state(peer), now)
        origins = SharedStreamOrigins(table)
        origins.remember((V1, V2))
        origins.send = lambda data, to: self.send(name, to, data)
        self.origins[name] = origins
        return origins

    def start_all(self, count):
        """Start instances that know each other."""
        names = [f"entry-{number}" for number in range(count)]
        return [self.start(name, [n for n in names if n != name]) for name in names]

    def kill(self, name):
        """Stop an instance, which its peers do not notice yet."""
        del self.origins[name]

    def send(self, sender, receiver, data):
        """Deliver a datagram if its receiver runs."""
        self.sent.append((sender, receiver, decode_message(data)))
        asyncio.get_running_loop().call_later(
            0.001, self._receive, sender, receiver, data
        )

    def _receive(self, sender, receiver, data):
        if receiver in self.origins:
            self.origins[receiver].receive(decode_message(data), sender)


def state(name):
    """Return the state of a live instance whose address is its name."""
    return PeerState(name, 1, "a", f"front-{name}", name)


def first_peers(count, attempt_id):
    """Return names of instances in the order of an attempt's owners."""
    names = [f"entry-{number}" for number in range(count)]
    return owners(attempt_digest(attempt_id), names, count)


class SharedStreamOriginsTest(unittest.TestCase):
    def test_a_peer_finds_the_origin_after_the_kill_of_its_instance(self):
        async def run():
            network = Network()
            network.start_all(9)
            ranked = first_peers(9, "a")
            network.origins[ranked[8]].record("a", V1)
            await asyncio.sleep(0.01)
            network.kill(ranked[8])
            for name in tuple(network.origins):
                self.assertEqual(await network.origins[name].find("a"), V1)
            told = [to for _, to, message in network.sent if message.told]
            self.assertEqual(told[:TOLD_PEERS], ranked[:TOLD_PEERS])

        run_in_virtual_time(run())

    def test_a_peer_finds_it_when_an_owner_is_killed_with_its_instance(self):
        async def run():
            network = Network()
            network.start_all(9)
            ranked = first_peers(9, "a")
            network.origins[ranked[8]].record("a", V1)
            await asyncio.sleep(0.01)
            network.kill(ranked[8])
            network.kill(ranked[0])
            self.assertEqual(await network.origins[ranked[7]].find("a"), V1)

        run_in_virtual_time(run())

    def test_a_restarted_instance_learns_by_asking(self):
        async def run():
            network = Network()
            network.start_all(5)
            network.origins["entry-0"].record("a", V1)
            await asyncio.sleep(0.01)
            again = network.start("entry-0", [f"entry-{n}" for n in range(1, 5)])
            self.assertEqual(await again.find("a"), V1)
            sent = len(network.sent)
            self.assertEqual(await again.find("a"), V1)
            self.assertEqual(len(network.sent), sent)

        run_in_virtual_time(run())

    def test_peers_that_do_not_know_it_end_a_lookup_at_once(self):
        async def run():
            network = Network()
            origins = network.start_all(9)[0]
            started_at = asyncio.get_running_loop().time()
            self.assertIsNone(await origins.find("nobody's"))
            elapsed_s = asyncio.get_running_loop().time() - started_at
            self.assertLess(elapsed_s, LOOKUP_TIMEOUT_S / 2)

        run_in_virtual_time(run())

    def test_silent_peers_end_a_lookup_at_its_timeout(self):
        async def run():
            network = Network()
            origins = network.start("entry-0", ["entry-1"])
            started_at = asyncio.get_running_loop().time()
            self.assertIsNone(await origins.find("a"))
            elapsed_s = asyncio.get_running_loop().time() - started_at
            self.assertAlmostEqual(elapsed_s, LOOKUP_TIMEOUT_S, places=3)

        run_in_virtual_time(run())

    def test_one_round_asks_a_bounded_number_of_peers(self):
        async def run():
            network = Network()
            origins = network.start("entry-0", [f"entry-{n}" for n in range(1, 30)])
            results = await asyncio.gather(*(origins.find("a") for _ in range(5)))
            self.assertEqual(results, [None] * 5)
            self.assertEqual(len(network.sent), ASKED_PEERS)

        run_in_virtual_time(run())

    def test_a_flood_of_unknown_attempts_is_no_flood_of_calls(self):
        async def run():
            network = Network()
            origins = network.start("entry-0", [f"entry-{n}" for n in range(1, 30)])
            finds = (origins.find(f"flood-{number}") for number in range(1000))
            self.assertEqual(set(await asyncio.gather(*finds)), {None})
            self.assertEqual(len(network.sent), MAX_LOOKUPS_PER_S * ASKED_PEERS)
            self.assertEqual(origins.dropped_count, 1000 - MAX_LOOKUPS_PER_S)
            self.assertEqual(len(origins.origins), 0)

        run_in_virtual_time(run())

    def test_a_caller_that_leaves_does_not_end_the_lookup_of_another(self):
        async def run():
            network = Network()
            origins = network.start_all(9)
            ranked = first_peers(9, "a")
            network.origins[ranked[8]].record("a", V1)
            await asyncio.sleep(0.01)
            asker = network.origins[ranked[7]]
            leaving = asyncio.create_task(asker.find("a"))
            other = asyncio.create_task(asker.find("a"))
            await asyncio.sleep(0)
            leaving.cancel()
            self.assertEqual(await other, V1)
            self.assertEqual(len(origins), 9)

        run_in_virtual_time(run())

    def test_a_peer_that_has_two_origins_makes_the_answer_unknown(self):
        async def run():
            network = Network()
            network.start_all(9)
            ranked = first_peers(9, "a")
            network.origins[ranked[8]].record("a", V1)
            network.origins[ranked[7]].record("a", V2)
            await asyncio.sleep(0.01)
            self.assertIsNone(await network.origins[ranked[6]].find("a"))

        run_in_virtual_time(run())

    def test_a_doubted_origin_is_unknown_to_all_who_are_asked(self):
        async def run():
            network = Network()
            network.start_all(9)
            ranked = first_peers(9, "a")
            network.origins[ranked[8]].record("a", V1)
            await asyncio.sleep(0.01)
            network.origins[ranked[8]].doubt("a")
            await asyncio.sleep(0.01)
            network.kill(ranked[8])
            for name in tuple(network.origins):
                self.assertIsNone(await network.origins[name].find("a"))
            self.assertTrue(network.origins[ranked[0]].is_ambiguous("a"))
            self.assertFalse(network.origins[ranked[0]].is_ambiguous("b"))

        run_in_virtual_time(run())

    def test_an_origin_that_an_instance_has_never_heard_of_is_unknown(self):
        async def run():
            network = Network()
            origins = network.start_all(2)
            origins[0].record("a", StreamOrigin("chat", "v9"))
            await asyncio.sleep(0.01)
            self.assertIsNone(await origins[1].find("a"))
            origins[1].remember((StreamOrigin("chat", "v9"),))
            found = await origins[1].find("a")
            self.assertEqual(found, StreamOrigin("chat", "v9"))

        run_in_virtual_time(run())

    def test_origins_that_are_remembered_are_bounded(self):
        async def run():
            origins = Network().start("entry-0")
            origins.record("a", V1)
            many = (StreamOrigin("chat", f"w{n}") for n in range(MAX_KNOWN_ORIGINS))
            origins.remember(many)
            self.assertIsNone(await origins.find("a"))

        run_in_virtual_time(run())

    def test_the_oldest_of_an_instances_own_streams_are_dropped_first(self):
        async def run():
            origins = SharedStreamOrigins(PeerTable(), OriginTable(max_origins=3))
            for attempt_id in "abcad":
                origins.record(attempt_id, V1)
            self.assertIsNone(await origins.find("b"))
            for attempt_id in "acd":
                self.assertEqual(await origins.find(attempt_id), V1)
            self.assertEqual(len(origins.origins), 3)

        run_in_virtual_time(run())

    def test_a_stream_that_seems_to_begin_twice_is_unknown(self):
        async def run():
            for origin in (V2, None):
                origins = SharedStreamOrigins(PeerTable())
                origins.record("a", V1)
                origins.record("a", origin)
                self.assertIsNone(await origins.find("a"))

        run_in_virtual_time(run())

    def test_an_instance_alone_answers_at_once(self):
        async def run():
            origins = Network().start("entry-0")
            origins.record("a", V1)
            self.assertEqual(await origins.find("a"), V1)
            self.assertIsNone(await origins.find("b"))

        run_in_virtual_time(run())


if __name__ == "__main__":
    unittest.main()

"""Tests of membership on virtual time, with seeded faults."""

import functools
import unittest
from dataclasses import replace

from cassiaford.policy import Member, MemberState, choose_instance, rank_entries
from tests.schedules import seeds
from tests.virtual_fleet import Faults, VirtualFleet

SEEDS = seeds(20)
BAD_NETWORK = Faults(loss=0.1, duplication=0.1, min_delay_s=0.001, max_delay_s=0.3)
SLOW_NETWORK = Faults(min_delay_s=0.1, max_delay_s=0.15)


def start_fleet(seed, count, faults=None):
    """Start a fleet and return it once all instances know each other."""
    fleet = VirtualFleet(seed, faults)
    for number in range(count):
        fleet.start(f"entry-{number}", ["entry-0", "entry-1"])
    fleet.run_until(fleet.agreed, 30)
    return fleet


def pause_while_probing(fleet, name):
    """Pause an instance while it waits for a reply to its probe."""
    probes = fleet.nodes[name].membership.probes
    while probes.current is None:
        fleet.run(0.0005)
    fleet.pause(name)


def on_fleets(count=7, faults=None):
    """Run a test on a fleet for each seed."""

    def decorate(test):
        @functools.wraps(test)
        def run(self):
            for seed in SEEDS:
                with self.subTest(seed=seed):
                    test(self, start_fleet(seed, count, faults))

        return run

    return decorate


class MembershipTest(unittest.TestCase):
    @on_fleets()
    def test_a_dead_instance_is_noticed_by_all(self, fleet):
        fleet.kill("entry-3")
        fleet.run_until(fleet.agreed, 20)

    @on_fleets(faults=BAD_NETWORK)
    def test_lost_duplicated_and_late_messages_declare_nobody_dead(self, fleet):
        before = len(fleet.changes)
        fleet.run(300)
        dead = [
            change
            for change in fleet.changes[before:]
            if change[2].state is MemberState.DEAD
        ]
        self.assertEqual(dead, [])
        self.assertTrue(fleet.agreed())

    def test_an_instance_that_starts_last_is_found_within_two_periods(self):
        # It has no seeds; the others have pinged its address before it was bound.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = VirtualFleet(seed)
                fleet.start("entry-2", ["entry-1"])
                fleet.start("entry-3", ["entry-1", "entry-2"])
                fleet.run(0.3)
                self.assertEqual(fleet.view("entry-2"), {"entry-2", "entry-3"})
                fleet.start("entry-1", [])
                fleet.run(2.0)
                self.assertEqual(len(fleet.view("entry-1")), 3)

    @on_fleets()
    def test_a_paused_instance_suspects_nobody_and_rejoins(self, fleet):
        pause_while_probing(fleet, "entry-2")
        fleet.run(60)
        self.assertNotIn("entry-2", fleet.view("entry-0"))
        before = len(fleet.changes)
        fleet.resume("entry-2")
        fleet.run_until(fleet.agreed, 10)
        for _, name, update in fleet.changes[before:]:
            if name == "entry-2":
                self.assertIs(update.state, MemberState.ALIVE)
        for name in fleet.running() - {"entry-2"}:
            self.assertEqual(fleet.deaths_of(name), [])

    @on_fleets(faults=SLOW_NETWORK)
    def test_messages_buffered_during_a_pause_are_no_contact_with_peers(self, fleet):
        pause_while_probing(fleet, "entry-2")
        paused_at = fleet.now
        fleet.run(60)
        fleet.resume("entry-2")
        self.assertLessEqual(fleet.nodes["entry-2"].last_contact_at, paused_at)
        fleet.run(3)
        self.assertGreater(fleet.nodes["entry-2"].last_contact_at, fleet.now - 3)

    @on_fleets()
    def test_a_restarted_instance_replaces_its_earlier_incarnation(self, fleet):
        fleet.kill("entry-4")
        fleet.start("entry-4", ["entry-0"], incarnation=2)
        others = fleet.running() - {"entry-4"}

        def update_about(name):
            return fleet.nodes[name].membership.table.get("entry-4")

        fleet.run_until(
            lambda: all(update_about(name).member.incarnation == 2 for name in others),
            10,
        )
        fleet.run_until(fleet.agreed, 10)

    @on_fleets(count=7)
    def test_all_instances_restart_at_once(self, fleet):
        for number in range(7):
            fleet.kill(f"entry-{number}")
            fleet.start(f"entry-{number}", ["entry-0", "entry-1"], incarnation=2)
        fleet.run_until(fleet.agreed, 15)

    @on_fleets()
    def test_a_partition_heals(self, fleet):
        one_side = {"entry-0", "entry-1", "entry-2"}
        for node in fleet.nodes.values():
            node.membership.seeds = ()
        fleet.is_cut = lambda a, b: (a in one_side) != (b in one_side)
        fleet.run(120)
        self.assertEqual(fleet.view("entry-0"), one_side)
        fleet.is_cut = lambda a, b: False
        fleet.run_until(fleet.agreed, 30)

    @on_fleets()
    def test_an_instance_that_one_peer_cannot_reach_stays_a_member(self, fleet):
        fleet.is_cut = lambda a, b: {a, b} == {"entry-1", "entry-2"}
        before = len(fleet.changes)
        fleet.run(120)
        dead = [c for c in fleet.changes[before:] if c[2].state is MemberState.DEAD]
        self.assertEqual(dead, [])

    @on_fleets()
    def test_a_leave_is_noticed_sooner_than_a_death(self, fleet):
        fleet.perform("entry-5", lambda membership, now: membership.leave(now))
        fleet.run(5)
        self.assertTrue(fleet.agreed())
        fleet.perform("entry-5", lambda membership, now: membership.stop(now))
        fleet.kill("entry-5")
        fleet.run_until(fleet.agreed, 5)
        self.assertEqual(fleet.deaths_of("entry-5"), [])

    def test_updates_reach_a_large_fleet(self):
        fleet = start_fleet(1, 70)
        fleet.kill("entry-30")
        fleet.run_until(fleet.agreed, 60)


class LookupTest(unittest.TestCase):
    def members(self, count):
        return [
            Member(f"entry-{n}", 1, f"dc-{n % 3}", f"10.0.0.{n}:80", f"10.0.0.{n}:90")
            for n in range(count)
        ]

    def test_the_callers_data_centre_comes_first(self):
        ranked = rank_entries(self.members(7), "academy", "dc-1")
        self.assertEqual([m.data_centre for m in ranked[:2]], ["dc-1", "dc-1"])
        self.assertEqual(len(ranked), 7)

    def test_a_suspected_instance_comes_last(self):
        suspected = frozenset({"entry-1", "entry-4"})
        ranked = rank_entries(self.members(7), "academy", "dc-1", suspected)
        self.assertEqual({m.instance for m in ranked[-2:]}, suspected)

    def test_an_instance_that_is_not_ready_is_returned_only_if_none_is(self):
        members = [replace(member, ready=False) for member in self.members(3)]
        self.assertEqual(len(rank_entries(members, "academy", "")), 3)
        members[1] = replace(members[1], ready=True)
        self.assertEqual(rank_entries(members, "academy", ""), (members[1],))
        members[1] = replace(members[1], leaving=True)
        self.assertNotIn(members[1], rank_entries(members, "academy", ""))

    def test_a_lost_instance_moves_only_its_own_customers(self):
        members = self.members(7)
        customers = [f"customer-{n}" for n in range(500)]
        before = {c: rank_entries(members, c, "")[0].instance for c in customers}
        one_side = [m for m in members if m.instance != "entry-3"]
        for customer in customers:
            after = rank_entries(one_side, customer, "")[0].instance
            if before[customer] != "entry-3":
                self.assertEqual(after, before[customer])

    def test_customers_spread_over_the_instances(self):
        names = [f"entry-{n}" for n in range(7)]
        chosen = [choose_instance(f"customer-{n}", names) for n in range(700)]
        counts = [chosen.count(name) for name in names]
        self.assertLess(max(counts), 150)
        self.assertGreater(min(counts), 60)


if __name__ == "__main__":
    unittest.main()

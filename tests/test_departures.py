"""Tests of the distinction between departed and silent instances."""

import unittest

from cassiaford.policy import Departure, Departures


class DeparturesTest(unittest.TestCase):
    def setUp(self):
        self.departures = Departures(list_lag_s=10.0)
        self.departures.record_live("entry-1", 5)

    def test_silence_alone_is_no_departure(self):
        self.departures.record_silence("entry-1")
        for now in (0.0, 50.0, 100.0):
            self.assertEqual(self.departures.record_listing({"entry-1"}, now), ())

    def test_the_list_counts_only_after_its_lag(self):
        self.departures.record_silence("entry-1")
        self.assertEqual(self.departures.record_listing(set(), 0.0), ())
        self.assertEqual(self.departures.record_listing(set(), 9.0), ())
        departed = (Departure("entry-1", 5),)
        self.assertEqual(self.departures.record_listing(set(), 11.0), departed)
        self.assertEqual(self.departures.record_listing(set(), 12.0), ())

    def test_a_return_to_the_list_restarts_the_lag(self):
        self.departures.record_silence("entry-1")
        self.departures.record_listing(set(), 0.0)
        self.departures.record_listing({"entry-1"}, 9.0)
        self.assertEqual(self.departures.record_listing(set(), 11.0), ())

    def test_a_live_instance_has_not_departed(self):
        self.assertEqual(self.departures.record_listing(set(), 0.0), ())
        self.assertEqual(self.departures.record_listing(set(), 99.0), ())

    def test_a_leave_is_reported_once(self):
        departed = (Departure("entry-1", 5),)
        self.assertEqual(self.departures.record_leave("entry-1", 5), departed)
        self.assertEqual(self.departures.record_leave("entry-1", 5), ())

    def test_a_message_of_an_older_incarnation_changes_nothing(self):
        self.departures.record_live("entry-1", 6)
        self.assertEqual(self.departures.record_live("entry-1", 5), ())
        self.assertEqual(self.departures.newest["entry-1"], 6)


if __name__ == "__main__":
    unittest.main()

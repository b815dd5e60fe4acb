"""Tests of telling departures from silence."""

import unittest

from cassiaford.policy import Departure, Departures


class DeparturesTest(unittest.TestCase):
    def setUp(self):
        self.departures = Departures(list_lag_s=10.0)
        self.departures.record_live("entry-1", 5)

    def test_silence_alone_proves_nothing(self):
        self.departures.record_silence("entry-1")
        for now in (0.0, 50.0, 100.0):
            self.assertEqual(self.departures.record_listing({"entry-1"}, now), ())

    def test_the_list_counts_only_after_its_lag(self):
        self.departures.record_silence("entry-1")
        self.assertEqual(self.departures.record_listing(set(), 0.0), ())
        self.assertEqual(self.departures.record_listing(set(), 9.0), ())
        gone = (Departure("entry-1", 5),)
        self.assertEqual(self.departures.record_listing(set(), 11.0), gone)
        self.assertEqual(self.departures.record_listing(set(), 12.0), ())

    def test_a_return_to_the_list_starts_the_lag_anew(self):
        self.departures.record_silence("entry-1")
        self.departures.record_listing(set(), 0.0)
        self.departures.record_listing({"entry-1"}, 9.0)
        self.assertEqual(self.departures.record_listing(set(), 11.0), ())

    def test_an_instance_that_is_heard_is_not_gone(self):
        self.assertEqual(self.departures.record_listing(set(), 0.0), ())
        self.assertEqual(self.departures.record_listing(set(), 99.0), ())

    def test_a_goodbye_is_told_once(self):
        gone = (Departure("entry-1", 5),)
        self.assertEqual(self.departures.record_leave("entry-1", 5), gone)
        self.assertEqual(self.departures.record_leave("entry-1", 5), ())

    def test_word_of_an_older_incarnation_brings_nothing_back(self):
        self.departures.record_live("entry-1", 6)
        self.assertEqual(self.departures.record_live("entry-1", 5), ())
        self.assertEqual(self.departures.newest["entry-1"], 6)


if __name__ == "__main__":
    unittest.main()

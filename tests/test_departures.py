"""Tests of telling departures from silence."""

import unittest

from cassiaford.policy import Departure, Departures


class DeparturesTest(unittest.TestCase):
    def setUp(self):
        self.departures = Departures(list_lag_s=10.0)
        self.departures.seen("entry-1", 5)

    def test_silence_alone_proves_nothing(self):
        self.departures.silent("entry-1")
        for now in (0.0, 50.0, 100.0):
            self.assertEqual(self.departures.listed({"entry-1"}, now), ())

    def test_the_list_counts_only_after_its_lag(self):
        self.departures.silent("entry-1")
        self.assertEqual(self.departures.listed(set(), 0.0), ())
        self.assertEqual(self.departures.listed(set(), 9.0), ())
        gone = (Departure("entry-1", 5),)
        self.assertEqual(self.departures.listed(set(), 11.0), gone)
        self.assertEqual(self.departures.listed(set(), 12.0), ())

    def test_a_return_to_the_list_starts_the_lag_anew(self):
        self.departures.silent("entry-1")
        self.departures.listed(set(), 0.0)
        self.departures.listed({"entry-1"}, 9.0)
        self.assertEqual(self.departures.listed(set(), 11.0), ())

    def test_an_instance_that_is_heard_is_not_gone(self):
        self.assertEqual(self.departures.listed(set(), 0.0), ())
        self.assertEqual(self.departures.listed(set(), 99.0), ())

    def test_a_goodbye_is_told_once(self):
        gone = (Departure("entry-1", 5),)
        self.assertEqual(self.departures.left("entry-1", 5), gone)
        self.assertEqual(self.departures.left("entry-1", 5), ())

    def test_word_of_an_older_incarnation_brings_nothing_back(self):
        self.departures.seen("entry-1", 6)
        self.assertEqual(self.departures.seen("entry-1", 5), ())
        self.assertEqual(self.departures.newest["entry-1"], 6)


if __name__ == "__main__":
    unittest.main()

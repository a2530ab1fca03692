"""Tests of the load bound that atsize.py checks."""

import unittest

import loadbound
from loadbound import Change


def load_changes(endpoint, times, delta=1):
    """Load changes of one endpoint at the given times."""
    return [Change(time, endpoint, delta, "", "") for time in times]


class LoadBoundTest(unittest.TestCase):
    """Bound of each arrival, and the worst window."""

    def test_bound_is_twice_the_mean_plus_three(self):
        changes = load_changes("a", [n / 100 for n in range(20)])
        found = list(loadbound.arrivals(changes, join_times=[0, 0]))
        # With two endpoints and all load on one, twice the mean equals that load.
        self.assertFalse(any(arrival.is_over_bound for arrival in found))
        found = list(loadbound.arrivals(changes, join_times=[0, 0, 0, 0]))
        self.assertEqual([arrival.is_over_bound for arrival in found], [False] * 7 + [True] * 13)

    def test_joined_endpoints_lower_the_mean_and_left_ones_raise_it(self):
        changes = load_changes("a", [n / 100 for n in range(8)])
        self.assertTrue(list(loadbound.arrivals(changes, [0, 0, 0, 0.05]))[-1].is_over_bound)
        self.assertFalse(list(loadbound.arrivals(changes, [0, 0, 0, 0.05],
                                                 leave_times=[0.06, 0.06]))[-1].is_over_bound)

    def test_ended_requests_are_not_counted(self):
        changes = load_changes("a", [0.1] * 9) + load_changes("a", [0.2] * 9, -1) + load_changes(
            "a", [0.3])
        self.assertEqual(list(loadbound.arrivals(changes, [0] * 9))[-1].load, 0)

    def test_only_windows_within_a_span_count(self):
        def arrival(time, is_over_bound):
            return loadbound.Arrival(time, "a", "", "", 0, 0, is_over_bound)
        found = [arrival(n / 100, 300 <= n < 330) for n in range(1000)]
        worst = loadbound.worst_window(found, [(0, 10)])
        self.assertEqual((worst.requests, worst.over), (500, 30))
        self.assertTrue(loadbound.violates_bound(worst))
        self.assertEqual(loadbound.worst_window(found, [(0, 3), (3.3, 10)]).over, 0)

    def test_few_requests_over_the_bound_are_allowed(self):
        self.assertFalse(loadbound.violates_bound(loadbound.Worst(0, 100, 19, 0.19)))
        self.assertFalse(loadbound.violates_bound(loadbound.Worst(0, 1000, 30, 0.03)))
        self.assertTrue(loadbound.violates_bound(loadbound.Worst(0, 1000, 31, 0.031)))


if __name__ == "__main__":
    unittest.main()

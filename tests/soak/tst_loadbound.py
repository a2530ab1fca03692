"""The rule on load, as a run at size checks it."""

import unittest

import loadbound
from loadbound import Change


def requests(endpoint, times, change=1):
    """Changes of one endpoint."""
    return [Change(at, endpoint, change, "", "") for at in times]


class LoadBoundTest(unittest.TestCase):
    """Arrivals and windows."""

    def test_an_endpoint_may_have_twice_the_mean_and_three(self):
        changes = requests("a", [n / 100 for n in range(20)])
        found = list(loadbound.arrivals(changes, joined=[0, 0]))
        # With two endpoints of which one has all, twice the mean is all that it has.
        self.assertFalse(any(one.is_over for one in found))
        found = list(loadbound.arrivals(changes, joined=[0, 0, 0, 0]))
        self.assertEqual([one.is_over for one in found], [False] * 7 + [True] * 13)

    def test_endpoints_that_join_lower_the_mean_and_those_that_leave_raise_it(self):
        changes = requests("a", [n / 100 for n in range(8)])
        self.assertTrue(list(loadbound.arrivals(changes, [0, 0, 0, 0.05]))[-1].is_over)
        self.assertFalse(list(loadbound.arrivals(changes, [0, 0, 0, 0.05], left=[0.06, 0.06]))[-1]
                         .is_over)

    def test_what_has_ended_counts_no_more(self):
        changes = requests("a", [0.1] * 9) + requests("a", [0.2] * 9, -1) + requests("a", [0.3])
        self.assertEqual(list(loadbound.arrivals(changes, [0] * 9))[-1].held, 0)

    def test_only_windows_that_lie_in_a_calm_span_count(self):
        def arrival(at, is_over):
            return loadbound.Arrival(at, "a", "", "", 0, 0, is_over)
        found = [arrival(n / 100, 300 <= n < 330) for n in range(1000)]
        worst = loadbound.worst_window(found, [(0, 10)])
        self.assertEqual((worst.requests, worst.over), (500, 30))
        self.assertTrue(loadbound.is_broken(worst))
        self.assertEqual(loadbound.worst_window(found, [(0, 3), (3.3, 10)]).over, 0)

    def test_a_few_requests_break_nothing(self):
        self.assertFalse(loadbound.is_broken(loadbound.Worst(0, 100, 19, 0.19)))
        self.assertFalse(loadbound.is_broken(loadbound.Worst(0, 1000, 30, 0.03)))
        self.assertTrue(loadbound.is_broken(loadbound.Worst(0, 1000, 31, 0.031)))


if __name__ == "__main__":
    unittest.main()

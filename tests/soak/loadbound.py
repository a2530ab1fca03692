"""The rule on load: whether requests went to endpoints that held far more than the mean of their service."""

import bisect
import collections

WINDOW_S = 5.0
MEAN_FACTOR, SLACK = 2.0, 3.0
MOST_SHARE, MOST_REQUESTS = 0.03, 20

# At a time, an endpoint of a service has got a request from a router (change 1) or is rid of it (-1).
Change = collections.namedtuple("Change", "at endpoint change router request")
Arrival = collections.namedtuple("Arrival", "at endpoint router request held bound is_over")
# The five seconds with the largest part of requests over the bound.
Worst = collections.namedtuple("Worst", "since requests over share")


def arrivals(changes, joined, left=()):
    """Each request with what its endpoint held when it came, and the bound at that moment; the changes
    are those of one service, whose endpoints joined and left at the given times."""
    held = collections.Counter()
    total = 0
    joined, left = sorted(joined), sorted(left)
    for change in sorted(changes):
        if change.change > 0:
            there = bisect.bisect_right(joined, change.at) - bisect.bisect_right(left, change.at)
            endpoints = max(1, there)
            bound = MEAN_FACTOR * total / endpoints + SLACK
            now = held[change.endpoint]
            yield Arrival(change.at, change.endpoint, change.router, change.request, now, bound,
                          now > bound)
        held[change.endpoint] += change.change
        total += change.change


def worst_window(found, calm):
    """The worst window that lies within one of the calm spans, each (since, until)."""
    worst = Worst(0.0, 0, 0, 0.0)
    times = [arrival.at for arrival in found]
    over = [0]
    for arrival in found:
        over.append(over[-1] + arrival.is_over)
    for first, at in enumerate(times):
        if not any(since <= at and at + WINDOW_S <= until for since, until in calm):
            continue
        last = bisect.bisect_left(times, at + WINDOW_S)
        count, bad = last - first, over[last] - over[first]
        if bad > worst.share * count:
            worst = Worst(at, count, bad, bad / count)
    return worst


def is_broken(worst):
    """Whether the rule is broken in that window."""
    return worst.over >= MOST_REQUESTS and worst.share > MOST_SHARE

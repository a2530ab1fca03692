"""The load bound: an endpoint with far more than the mean load of its service gets no requests."""

import bisect
import collections

WINDOW_S = 5.0
MEAN_FACTOR, SLACK = 2.0, 3.0
# A window violates the bound if at least this many requests, and more than this share, exceed it.
MAX_OVER_SHARE, MIN_OVER_REQUESTS = 0.03, 20

# A request arrived at an endpoint from a router (delta 1) or ended there (delta -1).
Change = collections.namedtuple("Change", "time endpoint delta router request")
Arrival = collections.namedtuple("Arrival", "time endpoint router request load bound is_over_bound")
# The window of WINDOW_S seconds with the largest share of requests over the bound.
Worst = collections.namedtuple("Worst", "start requests over share")


def arrivals(changes, join_times, leave_times=()):
    """Yields each request with the load of its endpoint on arrival and the bound at that time.

    `changes` are those of one service, whose endpoints joined and left at the given times."""
    loads = collections.Counter()
    total_load = 0
    join_times, leave_times = sorted(join_times), sorted(leave_times)
    for change in sorted(changes):
        if change.delta > 0:
            present = bisect.bisect_right(
                join_times, change.time) - bisect.bisect_right(leave_times, change.time)
            endpoints = max(1, present)
            bound = MEAN_FACTOR * total_load / endpoints + SLACK
            load = loads[change.endpoint]
            yield Arrival(change.time, change.endpoint, change.router, change.request, load, bound,
                          load > bound)
        loads[change.endpoint] += change.delta
        total_load += change.delta


def worst_window(arrived, spans):
    """The window with the largest share over the bound; it lies within one (begin, end) span."""
    worst = Worst(0.0, 0, 0, 0.0)
    times = [arrival.time for arrival in arrived]
    over_before = [0]
    for arrival in arrived:
        over_before.append(over_before[-1] + arrival.is_over_bound)
    for first, start in enumerate(times):
        if not any(begin <= start and start + WINDOW_S <= end for begin, end in spans):
            continue
        last = bisect.bisect_left(times, start + WINDOW_S)
        count, over = last - first, over_before[last] - over_before[first]
        if over > worst.share * count:
            worst = Worst(start, count, over, over / count)
    return worst


def violates_bound(window):
    """Whether enough requests of the window exceed the bound."""
    return window.over >= MIN_OVER_REQUESTS and window.share > MAX_OVER_SHARE

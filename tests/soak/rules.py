"""Checks that depend on when a request reached an engine and which router sent it."""

import collections
import time

import world

# This long after the drain of a data centre its engines get no new requests.
# Checked only while store, router and engine are undisturbed.
DRAIN_S = 5.0
# A router, an engine or the store counts as undisturbed this long after its last fault.
STABLE_S = 4.0
# Time from the write of a configuration until it must be in force, and the time without faults of
# the store and the router after which that is checked.
CONFIGURATION_S, CONFIGURATION_STABLE_S = 2.0, 3.0


class Disturbances:
    """Tracks which components have faults, and when their last faults ended."""

    def __init__(self):
        self.ended_at = {}  # Component -> when its last fault ended.
        self.active = collections.Counter()

    def begin(self, component):
        """Records the start of a fault of a component."""
        self.active[component] += 1

    def end(self, component):
        """Records the end of one of the faults of a component."""
        self.active[component] -= 1
        self.ended_at[component] = time.monotonic()

    def is_undisturbed(self, component, seconds):
        """Whether the component has had no fault for this long."""
        return not self.active[component] and time.monotonic() - self.ended_at.get(
            component, 0.0) > seconds


class ArrivalChecker:
    """Checks each request that reaches an engine."""

    def __init__(self, violations):
        self.violations = violations
        self.disturbances = Disturbances()
        self.sent_requests = {}  # Request id -> (when its caller sent it, number of the router).
        self.drained_at = {}  # Data centre -> when its drain was written to the store.
        self.cold_arrivals = {}  # Engine id -> (arrival, sending) times of the last second.

    def check_arrival(self, engine, request):
        """Checks a request that has reached the engine it was sent to."""
        sent_at, router = self.sent_requests.get(request, (0.0, None))
        self.check_drain(engine, request, router)
        if time.monotonic() < engine.cold_until:
            self.check_cold(engine, sent_at)

    def check_drain(self, engine, request, router):
        """Engines of a drained data centre get no new requests."""
        since_drain_s = time.monotonic() - self.drained_at.get(engine.data_centre, time.monotonic())
        is_undisturbed = all(self.disturbances.is_undisturbed(component, STABLE_S)
                             for component in ("store", f"router {router}", f"engine {engine.name}"))
        if since_drain_s > DRAIN_S and is_undisturbed:
            self.violations.append(f"{request} reached {engine.id} {since_drain_s:.2f} s after its "
                                   f"data centre was drained, by router {router}")

    def check_cold(self, engine, sent_at):
        """A cold engine gets no more requests in a second than it can take.

        Counts only requests that were also sent within that second."""
        now = time.monotonic()
        arrivals = self.cold_arrivals.setdefault(engine.id, collections.deque())
        arrivals.append((now, sent_at))
        while now - arrivals[0][0] >= 1:
            arrivals.popleft()
        count = sum(1 for _, sent_at in arrivals if now - sent_at < 1)
        limit = world.WARMUP_PER_S * world.COLD_EXCESS + world.COLD_SLACK
        if count > limit:
            self.violations.append(f"{count} requests in a second for {engine.id}, which is cold "
                                   f"and may get {limit:.0f}")

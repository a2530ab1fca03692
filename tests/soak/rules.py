"""The promises that depend on when a request reached an engine, and on who sent it there."""

import collections
import time

import world

# After the operators have drained a data centre its engines get nothing new, from routers in touch.
DRAIN_S = 5.0
# For so long before a moment neither the router nor the store has been disturbed.
STABLE_S = 4.0


class Disturbances:
    """When what was disturbed last; what still is counts as disturbed now."""

    def __init__(self):
        self.ended = {}  # What -> when its last disturbance ended.
        self.running = collections.Counter()

    def begin(self, what):
        """A disturbance of this begins."""
        self.running[what] += 1

    def end(self, what):
        """One of its disturbances has ended."""
        self.running[what] -= 1
        self.ended[what] = time.monotonic()

    def is_calm(self, what, seconds):
        """Whether nothing has disturbed it for so long."""
        return not self.running[what] and time.monotonic() - self.ended.get(what, 0.0) > seconds


class Arrivals:
    """Checks each request that reaches an engine."""

    def __init__(self, broken):
        self.broken = broken
        self.disturbances = Disturbances()
        self.sent = {}  # Request id -> (when its caller sent it, number of the router).
        self.drained = {}  # Data centre -> when the store took the drain.
        self.at_cold = {}  # Id of an engine -> requests of the last second: (arrived, sent).

    def arrived(self, engine, request):
        """A request has reached the engine that it was meant for."""
        sent_at, router = self.sent.get(request, (0.0, None))
        self.check_drain(engine, request, router)
        if time.monotonic() < engine.cold_until:
            self.check_cold(engine, sent_at)

    def check_drain(self, engine, request, router):
        """Nothing new for an engine of a drained data centre."""
        since = time.monotonic() - self.drained.get(engine.data_centre, time.monotonic())
        in_touch = all(self.disturbances.is_calm(what, STABLE_S)
                       for what in ("store", f"router {router}", f"engine {engine.name}"))
        if since > DRAIN_S and in_touch:
            self.broken.append(f"{request} reached {engine.id} {since:.2f} s after its data centre "
                               f"was drained, by router {router}")

    def check_cold(self, engine, sent_at):
        """No more in a second than a cold engine bears; counted is what was sent in it, too."""
        now = time.monotonic()
        arrivals = self.at_cold.setdefault(engine.id, collections.deque())
        arrivals.append((now, sent_at))
        while now - arrivals[0][0] >= 1:
            arrivals.popleft()
        count = sum(1 for _, sent in arrivals if now - sent < 1)
        most = world.WARMUP_PER_S * world.COLD_EXCESS + world.COLD_SLACK
        if count > most:
            self.broken.append(f"{count} requests in a second for {engine.id}, which is cold and "
                               f"bears {most:.0f}")

#!/usr/bin/python3
"""Keeps one router out of step while engines of a new software version join, and checks streams.

Usage: outofstep.py --router BINARY --case NAME [--seed N] [--net N]
Streams of both versions break off and are taken up at any router, mostly at the one out of step,
whose view of the engines is outdated. A stream may go on only at the version that began it. One
second after the router hears again, the streams that are taken up there have to go on about as
often as new ones begin. Prints the shares and the reasons of refusals, and exits 1 if a check
fails. Ends only the processes that it started, by their ids.
"""

import argparse
import asyncio
import collections
import pathlib
import shutil
import signal
import sys
import tempfile
import time

import fleetrestart
import soak
import wire
import world

OUT_OF_STEP_S = 5.0
FROZEN_S = (2.5, 3.0)
JOIN_AFTER_S = 0.4  # The new version joins this time after the router has got out of step.
RECOVERY_S = 1.0  # After the router hears again.
COUNTED_S = 4.0  # Time after the recovery in which streams are counted.
LOST_SHARE = 0.03  # Of the events, after which the caller loses its connection.
TAKEN_UP_THERE = 0.6  # Share of the broken streams that are taken up at the router out of step.
ROUTERS_TOPIC = "keyed.lagoonbank-routers"


class StoreView(world.Store):
    """The store as one router reaches it; that router's registration is hidden from the others."""

    def __init__(self, store, is_alone):
        super().__init__()
        self.store, self.is_alone = store, is_alone
        self.records, self.times, self.written = store.records, store.times, store.written
        self.changed = store.changed

    async def handle(self, start_line, fields, body, writer):
        """Handles one call."""
        if self.is_alone:
            start_line = start_line.replace(ROUTERS_TOPIC, f"{ROUTERS_TOPIC}-alone")
        return await super().handle(start_line, fields, body, writer)


# Name -> whether the router has no peers, how it gets out of step, whether the entries of the
# earlier version go meanwhile.
CASES = {
    "alone_store_silent": (True, "silent", False),
    "alone_store_silent_entries_gone": (True, "silent", True),
    "alone_store_refuses": (True, "away", False),
    "alone_store_late": (True, "late", False),
    "alone_in_step": (True, "none", False),
    "store_silent": (False, "silent", False),
    "store_silent_entries_gone": (False, "silent", True),
    "frozen": (False, "frozen", False),
    "frozen_entries_gone": (False, "frozen", True),
    "alone_frozen": (True, "frozen", False),
    "killed": (False, "killed", False),
}


class OutOfStep(fleetrestart.FleetRestart):
    """One run with its processes and callers."""

    def __init__(self, options, folder):
        super().__init__(options, folder)
        self.is_alone, self.trouble, self.are_entries_removed = CASES[options.case]
        self.view = StoreView(self.store, self.is_alone)
        self.lost_rng = world.random_generator(options.seed, "lost")
        self.is_losing = False  # Whether callers lose connections.
        self.after = None  # Begin and end of the counted time after the recovery.
        self.during = None  # The time in which the router is out of step.

    @property
    def odd(self):
        """The router that gets out of step."""
        return self.routers[-1]

    async def set_up(self):
        """Starts store, engines and routers, and waits until all routers are ready."""
        net = f"127.{self.options.net}"
        await wire.serve(f"{net}.9.1", soak.STORE_PORT, self.store.handle)
        await wire.serve(f"{net}.9.2", soak.STORE_PORT, self.view.handle)
        await self.store.put("keyed.op", "config", world.operator_configuration(
            1, soak.KEYS, stream_timeout_ms=int(fleetrestart.LIMIT_S * 1000)))
        await self.add_version(1)
        for i in range(fleetrestart.ROUTERS):
            router = soak.Router(net, i + 1, self.options.router, self.folder)
            router.is_earlier = False
            is_last = i == fleetrestart.ROUTERS - 1
            router.store = f"{net}.9.{2 if is_last else 1}:{soak.STORE_PORT}"
            router.start()
            self.routers.append(router)
            self.tasks.append(asyncio.create_task(self.watch(router)))
        while len(self.ready) < fleetrestart.ROUTERS:
            await asyncio.sleep(0.05)

    # The trouble.

    async def get_out_of_step(self):
        """Starts the trouble; returns how long it lasts."""
        if self.trouble == "frozen":
            self.odd.send_signal(signal.SIGSTOP)
            return self.rng.uniform(*FROZEN_S)
        if self.trouble == "killed":
            await self.odd.stop()
            return self.rng.uniform(*FROZEN_S)
        self.view.is_silent = self.trouble == "silent"
        self.view.is_away = self.trouble == "away"
        self.view.delay = 0.5 if self.trouble == "late" else 0.0
        return OUT_OF_STEP_S

    def get_in_step(self):
        """Ends the trouble."""
        self.view.is_silent = self.view.is_away = False
        self.view.delay = 0.0
        if self.trouble == "frozen":
            self.odd.send_signal(signal.SIGCONT)
        if self.trouble == "killed":
            self.odd.start()

    async def play(self):
        """Lets engines of a new version join while the router is out of step."""
        began_at = time.monotonic()
        end = began_at + await self.get_out_of_step()
        await asyncio.sleep(JOIN_AFTER_S)
        await self.add_version(2)
        await asyncio.sleep(0.3)
        self.is_losing = True
        if self.are_entries_removed:
            await asyncio.sleep(0.8)
            await self.remove_entries("v1")
        await asyncio.sleep(max(0, end - time.monotonic()))
        self.get_in_step()
        self.during = (began_at, time.monotonic())
        while self.odd not in self.ready:
            await asyncio.sleep(0.05)
        counted_from = max(self.during[1], time.monotonic()) + RECOVERY_S
        await asyncio.sleep(counted_from + COUNTED_S - time.monotonic())
        self.after = (counted_from, counted_from + COUNTED_S)

    # Callers.

    async def ready_router(self, stream, rng):
        """A router that is ready, for broken streams mostly the one out of step."""
        is_taken_up = stream.received > 0 and rng.random() < TAKEN_UP_THERE
        if is_taken_up and self.is_losing and self.odd in self.ready:
            return self.odd
        return await super().ready_router(stream, rng)

    def check_event(self, event, request, stream, router):
        """Checks an event; the caller may lose its connection after it."""
        super().check_event(event, request, stream, router)
        is_last = stream.received == fleetrestart.EVENTS
        if self.is_losing and not is_last and self.lost_rng.random() < LOST_SHARE:
            raise wire.ConnectionBroken("the caller's connection was lost")

    # Results.

    def share(self, window, is_new, is_odd):
        """Share of the tries in a time that were served, their number and why others failed."""
        tries = [attempt for attempt in self.attempts
                 if window[0] <= attempt.tried_at < window[1] and is_new == (not attempt.version)
                 and is_odd == (attempt.router is self.odd)
                 and (is_new or attempt.has_entries)]
        served = sum(attempt.has_events for attempt in tries)
        reasons = collections.Counter(a.reason for a in tries if not a.has_events)
        return served / max(1, len(tries)), len(tries), dict(reasons)

    def check(self):
        """Checks the shares; returns a summary of the run."""
        parts = []
        for name, window in (("out of step", self.during), ("afterwards", self.after)):
            for is_odd in (True, False):
                new, taken_up = (self.share(window, is_new, is_odd) for is_new in (True, False))
                parts.append(f"{name}, {'there' if is_odd else 'elsewhere'}: new {new[0]:.2f} of "
                             f"{new[1]}, taken up {taken_up[0]:.2f} of {taken_up[1]} "
                             f"{taken_up[2] or ''}")
        new, taken_up = (self.share(self.after, is_new, True) for is_new in (True, False))
        if min(new[1], taken_up[1]) < fleetrestart.MIN_TRIED:
            self.violations.append("too few streams were tried after the recovery")
        if taken_up[0] < fleetrestart.MIN_SHARE * new[0]:
            self.violations.append("after the recovery, streams that are taken up go on less often "
                                   "than new ones begin")
        mixed = len(self.mixed[False])
        if mixed:
            self.violations.append(f"{mixed} streams hold events of two versions")
        return f"mixed {mixed} of {len(self.attempts)} tries; " + "; ".join(parts)

    async def run(self):
        """Runs everything; returns a summary."""
        try:
            await asyncio.wait_for(self.set_up(), 30)
            callers = asyncio.create_task(self.begin_streams())
            await asyncio.sleep(2)
            await self.play()
            callers.cancel()
            await asyncio.sleep(fleetrestart.RETRIES * fleetrestart.RETRY_S + 1)
            self.violations += [repr(task.exception()) for task in self.tasks
                                if task.done() and task.exception()]
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*(router.stop() for router in self.routers))
        return self.check()


def main():
    """Reads the command line and runs once."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--router", required=True)
    parser.add_argument("--case", required=True, choices=CASES)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--net", type=int, default=79,
                        help="second octet of the loopback addresses; differs for concurrent runs")
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="lagoonbank-outofstep-"))
    test = OutOfStep(options, folder)
    summary = asyncio.run(test.run())
    print(f"{options.case}, seed {options.seed}: {summary}")
    for line in test.violations[:20]:
        print(f"  {line}")
    if test.violations:
        print(f"  logs: {folder}")
        sys.exit(1)
    shutil.rmtree(folder)


if __name__ == "__main__":
    main()

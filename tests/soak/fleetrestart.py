#!/usr/bin/python3
"""Ends all routers at once and checks how callers' streams go on after the new start.

Usage: fleetrestart.py --router BINARY --case NAME [--seed N] [--net N] [--earlier-router BINARY]
Engines of several software versions serve meanwhile, also after their entries were removed. A
stream may go on only at the version that began it, and streams of versions whose engines have
entries must go on about as often as new ones begin. Prints the shares and the reasons of refusals,
and exits 1 if a check fails. Ends only the processes that it started, by their ids.
"""

import argparse
import asyncio
import collections
import dataclasses
import json
import pathlib
import shutil
import sys
import tempfile
import time

import restoration
import soak
import wire
import world

ROUTERS, ENGINES_PER_VERSION = 6, 6
EVENTS, EVENT_S, STREAMS_PER_S = 60, 0.05, 30
SLOTS = 24  # One version alone bears all streams, of which some 90 run at a time.
LIMIT_S = 15.0  # A caller gives a stream up after this time.
RETRIES, RETRY_S = 3, 0.3
RETRIED_STATUSES = (502, 503, 504)
READY_TIMEOUT_S = 8.0
WINDOW_S = 2.0  # Streams first tried until this time after the first router is ready are counted.
STORE_AWAY_S = 1.0
MIN_SHARE = 0.9  # Of the share of new streams that begin.
MIN_TRIED = 12  # A share of fewer streams says nothing.
# Streams that began this long before the routers end are young; they must go on as often as others.
YOUNG_S = (0.05, 0.3)
BURST_STREAMS_PER_S, BURST_S = 300, 0.35  # Begun just before the routers end.
# With the usual interval so many streams keep the stand-in for the store from answering in time.
BURST_EVENT_S = 0.2
ENTRIES = "keyed.servers"
# Name -> number of versions that serve from the beginning, and what happens when all routers end.
CASES = {
    "both_serve": (2, "restart_all"),
    "three_versions": (3, "restart_all"),
    "entries_gone_before": (2, "restart_after_removal"),
    "entries_gone_meanwhile": (2, "restart_around_removal"),
    "store_away_at_start": (2, "restart_without_store"),
    "store_silent_at_start": (2, "restart_without_store"),
    "store_entries_first": (2, "restart_without_store"),
    "store_restored": (1, "restart_around_restoration"),
    "two_releases": (1, "release_twice"),
    "begun_just_before": (2, "restart_amid_begins"),
    "earlier_routers": (2, "restart_after_removal")}


@dataclasses.dataclass
class Stream:
    """A stream of a caller over all its requests."""

    end: float  # When the caller gives up.
    first: str = ""  # Id of the request that brought the first event.
    version: str = ""  # Software version that wrote the newest event.
    received: int = 0
    began_at: float = None  # When the first event arrived.


@dataclasses.dataclass
class Attempt:
    """The first try to begin a stream or to take it up again, with its retries."""

    tried_at: float
    version: str  # That began the stream; empty for a new stream.
    has_entries: bool  # At least two engines of the version have entries.
    began_at: float  # When the first event of the stream arrived; None for a new stream.
    router: soak.Router = None  # The last one tried.
    has_events: bool = False
    reason: str = "unanswered"


class FleetRestart:
    """One run with its processes and callers."""

    def __init__(self, options, folder):
        self.options = options
        self.folder = folder
        self.rng = world.random_generator(options.seed, "restart")
        self.store = world.Store()
        self.routers, self.engines, self.tasks = [], [], []
        self.ready = set()  # Routers.
        self.is_down = False  # No router runs, or all are about to be ended.
        self.ready_at = None  # Time at which the first router became ready after the newest start.
        self.ready_after_s = []  # The same after each start, from it on.
        self.windows = []  # Begins and ends of the times in which streams are counted.
        self.ended_at = []  # When all routers were ended.
        self.attempts = []
        # Whether an earlier router joined the versions -> first requests of streams with two.
        self.mixed = {False: set(), True: set()}
        self.violations = []
        self.refused = set()  # Ids of requests whose answer says that they did not run.
        self.sent = 0
        self.engines_per_version = ENGINES_PER_VERSION
        self.events = EVENTS  # Of a stream.
        self.event_s = BURST_EVENT_S if options.case == "begun_just_before" else EVENT_S

    async def add_version(self, number):
        """Starts engines of a software version and writes their entries."""
        for i in range(self.engines_per_version):
            engine = world.Engine(f"e{i}v{number}", "llm", f"dc{i % 2}", {}, self.rng)
            engine.version_of_boot = lambda boot: f"v{number}"
            engine.on_arrival = lambda engine, request: None
            engine.slots, engine.event_s, engine.events = SLOTS, self.event_s, self.events
            ip = f"127.{self.options.net}.{10 + number}.{i + 1}"
            await wire.serve(ip, soak.ENGINE_PORT, engine.handle)
            engine.address = f"{ip}:{soak.ENGINE_PORT}"
            self.engines.append(engine)
            await self.store.put(ENTRIES, engine.id, engine.entry())

    async def remove_entries(self, version):
        """Removes the entries of a version, whose engines serve on."""
        for engine in self.engines:
            if engine.version == version:
                await self.store.put(ENTRIES, engine.id, "")

    def has_entries(self, version):
        """Whether at least two engines of a version have entries."""
        stored = self.store.newest(ENTRIES)
        return sum(bool(stored.get(engine.id)) for engine in self.engines
                   if engine.version == version) >= 2

    async def set_up(self):
        """Starts store, engines and routers, and waits until all routers are ready."""
        net = f"127.{self.options.net}"
        await wire.serve(f"{net}.9.1", soak.STORE_PORT, self.store.handle)
        await self.store.put("keyed.op", "config", world.operator_configuration(
            1, soak.KEYS, stream_timeout_ms=int(LIMIT_S * 1000)))
        for number in range(1, CASES[self.options.case][0] + 1):
            await self.add_version(number)
        for i in range(ROUTERS):
            is_earlier = self.options.earlier_router and i % 2
            router = soak.Router(net, i + 1, self.options.earlier_router if is_earlier
                                 else self.options.router, self.folder)
            router.is_earlier = bool(is_earlier)
            router.store = f"{net}.9.1:{soak.STORE_PORT}"
            router.start()
            self.routers.append(router)
            self.tasks.append(asyncio.create_task(self.watch(router)))
        while len(self.ready) < ROUTERS:
            await asyncio.sleep(0.05)

    async def watch(self, router):
        """Keeps track of whether a router is ready."""
        while True:
            is_ready, writer = False, None
            try:
                reader, writer = await asyncio.open_connection(router.ip, soak.READY)
                writer.write(wire.message("GET /v1/readiness HTTP/1.1", {"host": "h"}))
                head = await asyncio.wait_for(wire.read_head(reader), 1)
                is_ready = head is not None and head[0].split(" ")[1] == "200"
            except (OSError, asyncio.TimeoutError, wire.ConnectionBroken):
                pass
            finally:
                if writer:
                    writer.close()
            is_ready = is_ready and not self.is_down
            if is_ready:
                self.ready_at = self.ready_at or time.monotonic()
            (self.ready.add if is_ready else self.ready.discard)(router)
            await asyncio.sleep(0.04)

    async def restart_all(self, meanwhile=None, pauses_s=((0.75, 1.25), (0.75, 1.25))):
        """Ends all routers at once, starts them again and lets the counted time pass.

        `meanwhile` is called between two pauses in which no router runs."""
        self.is_down = True
        self.ready.clear()
        self.ended_at.append(time.monotonic())
        await asyncio.gather(*(router.stop() for router in self.routers))
        await asyncio.sleep(self.rng.uniform(*pauses_s[0]))
        if meanwhile:
            await meanwhile()
        await asyncio.sleep(self.rng.uniform(*pauses_s[1]))
        self.is_down = False
        self.ready_at = None
        started_at = time.monotonic()
        for router in self.routers:
            router.start()
        await asyncio.sleep(STORE_AWAY_S)
        self.store.is_away = self.store.is_silent = False
        while self.ready_at is None and time.monotonic() < started_at + READY_TIMEOUT_S:
            await asyncio.sleep(0.05)
        end = (self.ready_at or time.monotonic()) + WINDOW_S
        self.windows.append((started_at, end))
        self.ready_after_s.append(round(end - WINDOW_S - started_at, 2))
        await asyncio.sleep(end - time.monotonic())

    async def restart_amid_begins(self):
        """Ends the routers while many streams begin."""
        burst = asyncio.create_task(self.begin_streams("burst", BURST_STREAMS_PER_S))
        await asyncio.sleep(BURST_S)
        burst.cancel()
        await self.restart_all()

    async def restart_after_removal(self):
        """Removes the entries of a version just before the routers end."""
        await self.remove_entries("v1")
        await asyncio.sleep(0.3)
        await self.restart_all()

    async def restart_around_removal(self):
        """Removes the entries of a version while no router runs."""
        await self.restart_all(meanwhile=lambda: self.remove_entries("v1"))

    async def restart_without_store(self):
        """Takes the store away, in one case but for the entries, until after the start."""
        async def take_away():
            self.store.is_silent = self.options.case == "store_silent_at_start"
            self.store.is_away = not self.store.is_silent
            if self.options.case == "store_entries_first":
                self.store.answered_topics = (ENTRIES,)
        await self.restart_all(meanwhile=take_away)

    async def restart_around_restoration(self):
        """Makes the store lose the entries of a new version, which are written again within 2 s."""
        async def restore():
            self.store.restore(3)
            rewrites = restoration.Restorations(self.store, None, self.rng).start_rewrites()
            self.tasks.append(asyncio.gather(*rewrites))
        await self.add_version(2)
        await asyncio.sleep(0.9)
        await self.restart_all(meanwhile=restore, pauses_s=((1.4, 1.7), (0, 0.1)))

    async def release_twice(self):
        """Replaces each version by the next one; the routers end after each release."""
        for number in (1, 2):
            await self.add_version(number + 1)
            await asyncio.sleep(1.2)
            await self.remove_entries(f"v{number}")
            await asyncio.sleep(0.3)
            await self.restart_all()

    # Callers.

    async def begin_streams(self, name="callers", streams_per_s=STREAMS_PER_S):
        """Begins streams at random times."""
        rng = world.random_generator(self.options.seed, name)
        while True:
            self.tasks.append(asyncio.create_task(self.run_stream(rng)))
            await asyncio.sleep(rng.expovariate(streams_per_s))

    async def ready_router(self, stream, rng):
        """A router that is ready; waits for one as long as the stream's time allows, else None."""
        while time.monotonic() < stream.end:
            if self.ready:
                return rng.choice(sorted(self.ready, key=lambda router: router.number))
            await asyncio.sleep(rng.uniform(0.05, 0.4))
        return None

    async def run_stream(self, rng):
        """Begins a stream and takes it up again whenever it breaks."""
        stream = Stream(time.monotonic() + LIMIT_S)
        while stream.received < self.events:
            router = await self.ready_router(stream, rng)
            if router is None:
                return
            attempt = Attempt(time.monotonic(), stream.version, self.has_entries(stream.version),
                              stream.began_at)
            self.attempts.append(attempt)
            for retries_left in range(RETRIES, -1, -1):
                attempt.router = router
                wait_s = await self.send(stream, attempt)
                if attempt.has_events:
                    break
                if wait_s is None or not retries_left or time.monotonic() + wait_s > stream.end:
                    return
                await asyncio.sleep(wait_s * rng.uniform(1, 1.2))
                router = await self.ready_router(stream, rng)
                if router is None:
                    return

    def path(self, request):
        """The path of a request within its route."""
        del request
        return "x"

    async def send(self, stream, attempt):
        """Sends one request of an attempt; returns after which time to retry, None for never."""
        self.sent += 1
        request = f"{self.options.seed:x}-{self.sent:x}"
        left_s = stream.end - time.monotonic()
        fields = {"host": "h", "lagoonbank-attempt-id": request, "api-key": soak.KEYS[0],
                  "lagoonbank-deadline-remaining": int(left_s * 1000)}
        if stream.received:
            fields |= {"last-event-id": stream.received, "resumes": stream.first}
        writer = None
        try:
            reader, writer = await asyncio.open_connection(attempt.router.ip, soak.FRONT)
            writer.write(wire.message(f"POST /s/{self.path(request)} HTTP/1.1", fields))
            return await asyncio.wait_for(self.read_answer(reader, request, stream, attempt),
                                          left_s)
        except asyncio.TimeoutError:
            attempt.reason = "timed out"
            return None
        except (OSError, wire.ConnectionBroken):
            attempt.reason = "broken connection"
            return RETRY_S
        finally:
            if writer:
                writer.close()

    async def read_answer(self, reader, request, stream, attempt):
        """Reads an answer; returns after which time to retry, None for never."""
        head = await wire.read_head(reader)
        if head is None:
            raise wire.ConnectionBroken("closed")
        status, fields = int(head[0].split(" ")[1]), head[1]
        if status in (429, 503):
            self.refused.add(request)
        if status != 200:
            body = (await wire.read_whole_body(reader, fields)).decode()
            kind = json.loads(body)["error"]["kind"] if body.startswith('{"error"') else body
            attempt.reason = f"{status} {kind}"
            wait_s = max(RETRY_S, float(fields.get("retry-after", "0")))
            return wait_s if status in RETRIED_STATUSES else None
        rest = b""
        async for piece in wire.read_body(reader, fields):
            await self.piece_read()
            *events, rest = (rest + piece).split(b"\n\n")
            for event in events:
                self.check_event(event + b"\n\n", request, stream, attempt.router)
                attempt.has_events = True
        if stream.received < self.events:
            self.violations.append(f"{request} ends as complete after {stream.received} events")
            stream.received = self.events
        return None

    async def piece_read(self):
        """Called after each piece of an answer that a caller reads."""

    def check_event(self, event, request, stream, router):
        """Checks that an event is the next one, and of the version that wrote the one before."""
        stream.received += 1
        stream.first = stream.first or request
        stream.began_at = stream.began_at or time.monotonic()
        version = event.rsplit(b" ", 1)[-1].strip().decode()
        if event != world.event(request, stream.received, version):
            self.violations.append(f"{request} got another event than {stream.received}: {event!r}")
        if stream.version not in ("", version):
            self.mixed[router.is_earlier].add(stream.first)
        stream.version = version

    # Results.

    def age_at_end(self, attempt):
        """How long before the last end of all routers a stream began, or None."""
        ends = [end for end in self.ended_at if attempt.began_at and end < attempt.tried_at]
        return ends[-1] - attempt.began_at if ends else None

    def check_young(self, attempts, share_of_new):
        """Checks that young streams go on; returns their part of the summary."""
        ages = [(self.age_at_end(attempt), attempt) for attempt in attempts]
        young = [attempt for age, attempt in ages if age and YOUNG_S[0] <= age <= YOUNG_S[1]]
        served = sum(attempt.has_events for attempt in young)
        if self.options.case == "begun_just_before":
            if len(young) < MIN_TRIED:
                self.violations.append("too few streams began just before the end")
            elif served < MIN_SHARE * share_of_new * len(young):
                self.violations.append("streams that began just before the end go on less often")
        lost_ms = sorted(int(age * 1000) for age, attempt in ages
                         if age and not attempt.has_events)
        return f"young: {served} of {len(young)}; began before the end and refused (ms): {lost_ms}"

    def check_shares(self, new, taken_up, tried):
        """Checks that streams go on about as often as new ones begin, of at least `tried` each."""
        if tried < MIN_TRIED or new == 0:
            self.violations.append("too few streams were tried, or no new one began")
        if taken_up < MIN_SHARE * new:
            self.violations.append("streams that are taken up go on less often than new ones begin")

    def check_mixed(self):
        """Checks that no stream holds events of two versions; returns how many do."""
        mixed = len(self.mixed[False])
        if mixed:
            self.violations.append(f"{mixed} streams hold events of two versions, among them those "
                                   f"begun by {sorted(self.mixed[False])[:3]}")
        return mixed

    def check(self):
        """Checks the shares; returns a summary of the run."""
        groups = {"new": [], "taken up": [], "taken up without entries": []}
        for attempt in self.attempts:
            if not attempt.router.is_earlier and any(
                    begin <= attempt.tried_at < end for begin, end in self.windows):
                groups["new" if not attempt.version else "taken up" if attempt.has_entries
                       else "taken up without entries"].append(attempt)
        shares, parts = {}, []
        for name, attempts in groups.items():
            served = sum(attempt.has_events for attempt in attempts)
            shares[name] = served / max(1, len(attempts))
            parts.append(f"{name}: {served} of {len(attempts)} ({shares[name]:.2f})")
            if reasons := collections.Counter(a.reason for a in attempts if not a.has_events):
                parts.append(f"refused: {dict(reasons)}")
        needed = ["new", "taken up"]
        if self.options.case in ("entries_gone_before", "entries_gone_meanwhile", "two_releases"):
            needed.append("taken up without entries")
        self.check_shares(shares["new"], shares["taken up"],
                          min(len(groups[name]) for name in needed))
        parts.append(self.check_young(groups["taken up"], shares["new"]))
        return f"mixed {self.check_mixed()}, by earlier routers {len(self.mixed[True])}; " \
            f"first router ready after {self.ready_after_s} s; " + "; ".join(parts)

    async def play(self):
        """Ends the routers as the case says."""
        versions, method = CASES[self.options.case]
        await asyncio.sleep(3 if versions > 1 else 1.5)
        await getattr(self, method)()

    async def clean_up(self):
        """Ends everything that runs."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*(router.stop() for router in self.routers))

    async def run(self):
        """Runs everything; returns a summary."""
        try:
            await asyncio.wait_for(self.set_up(), 30)
            callers = asyncio.create_task(self.begin_streams())
            await self.play()
            callers.cancel()
            await asyncio.sleep(RETRIES * RETRY_S + 1)  # Until the last retries are answered.
            self.violations += [repr(task.exception()) for task in self.tasks
                                if task.done() and task.exception()]
        finally:
            await self.clean_up()
        return self.check()


def argument_parser(description, cases, net):
    """The command line of a script that runs one case; `net` is its usual network."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--router", required=True)
    if cases:
        parser.add_argument("--case", required=True, choices=cases)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--net", type=int, default=net,
                        help="second octet of the loopback addresses; differs for concurrent runs")
    return parser


def run_once(run_class, options, name):
    """Runs a case and prints the result; exits 1 and keeps the logs if a check fails."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"lagoonbank-{name}-"))
    test = run_class(options, folder)
    summary = asyncio.run(test.run())
    print(f"{options.case}, seed {options.seed}: {summary}")
    for line in test.violations[:20]:
        print(f"  {line}")
    if test.violations:
        print(f"  logs: {folder}")
        sys.exit(1)
    shutil.rmtree(folder)


def main():
    """Reads the command line and runs once."""
    parser = argument_parser(__doc__, CASES, 78)
    parser.add_argument("--earlier-router", help="binary of every second router")
    options = parser.parse_args()
    if options.case == "earlier_routers" and not options.earlier_router:
        print("earlier_routers: skipped, --earlier-router is not given")
        return
    run_once(FleetRestart, options, "restart")


if __name__ == "__main__":
    main()

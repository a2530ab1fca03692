#!/usr/bin/python3
"""Keeps routers out of step while engines of a new software version join, and checks streams.

Usage: outofstep.py --router BINARY --case NAME [--seed N] [--net N]
Streams of both versions break off and are taken up at any router, mostly at those out of step,
whose view of the engines is outdated. A stream may go on only at the version that began it. One
second after these hear again, the streams that are taken up there have to go on about as often as
new ones begin. Meanwhile plain calls there have to be served. Prints the shares and the reasons of
refusals, and exits 1 if a check fails. Ends only the processes that it started, by their ids.
"""

import asyncio
import collections
import dataclasses
import signal
import time

import fleetrestart
import restoration
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
LATE_S = (0.5, 2.0)  # Of messages between routers.
LARGE_ROUTERS, LARGE_ENGINES = 24, 18  # The engines are those of each version.
# A router that knows more than 24 others may leave it to two of them to write the versions that
# have served to the store.
LARGEST_ROUTERS = 26
NEW_THERE = 0.4  # Share of the new streams. With 0.25, a busy machine left 11 of the 12 to count.
STORELESS_LONGER_S = 1.5
PLAIN_ENGINES, PLAIN_INTERVAL_S, PLAIN_LIMIT_MS = 4, 0.1, 2000
ROUTERS_TOPIC = "keyed.lagoonbank-routers"


class Link:
    """What is lost or late between the routers out of step and the store, or the other routers."""

    def __init__(self, rng):
        self.rng = rng
        self.counts = collections.Counter()  # Of the datagrams that passed or were cut.
        self.channels = []
        self.mode = ""  # "in" or "out" is cut, as the routers out of step see it, or "late".

    async def start_channel(self, target, sides, ip, port):
        """Starts to forward connections."""
        self.channels.append(await Channel(target, self, sides).start(ip, port))

    def is_cut(self, side):
        """Whether nothing passes in a direction."""
        return self.mode == side

    def delay(self):
        """How late a message is."""
        return self.rng.uniform(*LATE_S) if self.mode == "late" else 0.0


class Channel(world.Proxy):
    """Connections over a link. A direction that is cut arrives later, as TCP repeats segments."""

    def __init__(self, target, link, sides):
        super().__init__(target)
        self.link, self.sides = link, dict(zip(("cut_in", "cut_out"), sides))

    async def forward(self, reader, writer, cut):
        """Forwards one direction."""
        try:
            while piece := await reader.read(65536):
                await asyncio.sleep(self.link.delay())
                while self.link.is_cut(self.sides[cut]):
                    await asyncio.sleep(0.02)
                writer.write(piece)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            writer.close()


class Datagrams(asyncio.DatagramProtocol):
    """A socket that passes on what it receives."""

    def __init__(self, deliver):
        self.deliver = deliver

    def datagram_received(self, data, addr):
        """Passes on a datagram."""
        self.deliver(data, addr[0].rsplit(".", 1)[1])


async def start_peer_link(net, odd, others, link):
    """Puts a link between routers out of step, known to others as .1.x, and others, as .2.x."""
    loop, sockets = asyncio.get_running_loop(), {}
    async def start(own, other, numbers, side):
        for number in numbers:
            ip, target = f"{net}.{own}.{number}", (f"{net}.0.{number}", soak.PEER)
            def deliver(data, sender, target=target):
                link.counts[f"{side}, {'cut' if link.is_cut(side) else 'passed'}"] += 1
                if not link.is_cut(side):
                    loop.call_later(link.delay(), sockets[other, sender].sendto, data, target)
            sockets[own, str(number)], _ = await loop.create_datagram_endpoint(
                lambda deliver=deliver: Datagrams(deliver), local_addr=(ip, soak.PEER))
            sides = ("in", "out") if side == "in" else ("out", "in")
            await link.start_channel(target, sides, ip, soak.PEER)
    await start(1, 2, odd, "in")
    await start(2, 1, others, "out")


class StoreView(world.Store):
    """The store as the routers out of step reach it; others may not see their registrations."""

    def __init__(self, store, is_alone, readdress):
        super().__init__()
        self.store, self.is_alone, self.readdress = store, is_alone, readdress
        self.records, self.times, self.written = store.records, store.times, store.written
        self.changed = store.changed

    async def handle(self, start_line, fields, body, writer):
        """Handles one call."""
        self.era = self.store.era
        if self.is_alone:
            start_line = start_line.replace(ROUTERS_TOPIC, f"{ROUTERS_TOPIC}-alone")
        return await super().handle(start_line, fields, body, writer)

    async def log_newest(self, parameters, body):
        """Other routers are reached through their links."""
        if parameters["topic"] == ROUTERS_TOPIC:
            parameters["topic"] += "-seen"
            self.records[parameters["topic"]] = [
                (key, self.readdress(value, False)) for key, value in self.records[ROUTERS_TOPIC]]
        return await super().log_newest(parameters, body)

    async def log_append(self, parameters, body):
        """Others reach a router out of step through its link."""
        if parameters["topic"] == ROUTERS_TOPIC:
            body = self.readdress(body.decode("latin-1"), True).encode("latin-1")
        return await super().log_append(parameters, body)


@dataclasses.dataclass
class Case:
    """How routers get out of step, and what happens meanwhile."""

    store: str = ""  # Of the store: silent, away, late; "in" or "out" is cut.
    peers: str = ""  # Of the other routers: a mode of the link.
    process: str = ""  # frozen or killed.
    is_alone: bool = False  # Whether the routers out of step have no peers in step.
    removed: str = ""  # Version whose entries go meanwhile.
    removed_after_s: float = 0.8  # After callers begin to lose connections.
    odd: tuple = (6,)  # Numbers of the routers out of step.
    routers: int = fleetrestart.ROUTERS
    storeless: tuple = ()  # Others, which hear the store again later than these.
    rounds: int = 1  # A version joins in each; the routers are killed and started in between.
    is_restored: bool = False  # The store comes back from a copy without the new version.


DATA_CENTRE = (1, 3, 5)
CASES = {
    "alone_store_silent": Case("silent", is_alone=True),
    "alone_store_silent_entries_gone": Case("silent", is_alone=True, removed="v1"),
    "alone_store_refuses": Case("away", is_alone=True),
    "alone_store_late": Case("late", is_alone=True),
    "alone_in_step": Case(is_alone=True),
    "store_silent": Case("silent"),
    "store_silent_entries_gone": Case("silent", removed="v1"),
    "frozen": Case(process="frozen"),
    "frozen_entries_gone": Case(process="frozen", removed="v1"),
    "alone_frozen": Case(process="frozen", is_alone=True),
    "killed": Case(process="killed"),
    "alone_store_requests_lost": Case("out", is_alone=True),
    "alone_store_answers_lost": Case("in", is_alone=True),
    "store_requests_lost": Case("out"),
    "store_answers_lost": Case("in"),
    "peers_unheard": Case(peers="in"),
    "unheard_by_peers": Case(peers="out"),
    "peers_late": Case(peers="late"),
    "all_unheard": Case("in", "in"),
    "unheard_by_all": Case("out", "out"),
    "peers_late_store_silent": Case("silent", "late"),
    "two_store_silent": Case("silent", odd=(5, 6)),
    "two_alone_store_silent": Case("silent", is_alone=True, odd=(5, 6)),
    "two_unheard_entries_gone": Case("in", "in", odd=(5, 6), removed="v1"),
    "large_store_silent": Case("silent", odd=(24,), routers=LARGE_ROUTERS),
    "large_alone_store_silent": Case("silent", is_alone=True, odd=(24,), routers=LARGE_ROUTERS),
    "large_frozen": Case(process="frozen", odd=(24,), routers=LARGE_ROUTERS),
    "data_centre_store_silent": Case("silent", odd=DATA_CENTRE),
    "data_centre_unheard": Case("in", "in", odd=DATA_CENTRE),
    "data_centre_alone": Case("silent", is_alone=True, odd=DATA_CENTRE),
    "repeated": Case("silent", rounds=3),
    "repeated_alone": Case("silent", is_alone=True, rounds=3),
    "restored": Case("silent", is_restored=True),
    "restored_alone": Case("silent", is_alone=True, is_restored=True),
    "rolled_back": Case("silent", removed="v2"),
    "rolled_back_alone": Case("silent", is_alone=True, removed="v2"),
    "restored_killed": Case(process="killed", is_restored=True),
    "restored_alone_killed": Case(process="killed", is_alone=True, is_restored=True),
    "large_data_centre_frozen_rolled_back": Case(
        process="frozen", odd=tuple(range(1, 24, 2)), routers=LARGE_ROUTERS, removed="v2"),
    "largest_writers_silent_rolled_back": Case(
        "silent", is_alone=True, odd=(26,), storeless=tuple(range(4, 26)),
        routers=LARGEST_ROUTERS, removed="v2", removed_after_s=3.0),
    "largest_most_unheard_rolled_back": Case(
        "silent", "in", odd=tuple(range(4, 27)), routers=LARGEST_ROUTERS, removed="v2",
        removed_after_s=3.3),
    "largest_data_centre_unheard_rolled_back": Case(
        "silent", "in", odd=tuple(range(1, 26, 2)), routers=LARGEST_ROUTERS, removed="v2",
        removed_after_s=3.3),
    "largest_data_centre_frozen_rolled_back": Case(
        process="frozen", odd=tuple(range(1, 26, 2)), routers=LARGEST_ROUTERS, removed="v2"),
}


class OutOfStep(fleetrestart.FleetRestart):
    """One run with its processes and callers."""

    def __init__(self, options, folder, case=None):
        super().__init__(options, folder)
        self.case = case or CASES[options.case]
        self.net = f"127.{options.net}"
        self.view = StoreView(self.store, self.case.is_alone, self.readdress)
        self.store_link, self.peer_link = (
            Link(world.random_generator(options.seed, f"{i} link")) for i in ("store", "peer"))
        self.storeless_view = StoreView(self.store, False, self.readdress)
        self.lost_rng = world.random_generator(options.seed, "lost")
        self.is_losing = False  # Whether callers lose connections.
        self.after = None  # Begin and end of the counted time after the recovery.
        self.during = None  # The time in which the routers are out of step.
        self.odd = []  # The routers that get out of step.
        self.plain = []  # Results of the plain calls at these meanwhile, None if served.
        self.plain_engines = []
        self.unrepeatable = set()  # Plain calls that may run once.
        if self.case.routers > fleetrestart.ROUTERS:
            self.engines_per_version = LARGE_ENGINES

    def readdress(self, text, is_written):
        """Text of a registration with the address that the other side of the peer link uses."""
        if not self.case.peers:
            return text
        if is_written:
            return text.replace(f"{self.net}.0.", f"{self.net}.1.")
        text = text.replace(f"{self.net}.0.", f"{self.net}.2.")
        return text.replace(f"{self.net}.1.", f"{self.net}.0.")

    async def set_up(self):
        """Starts store, engines and routers, and waits until all routers are ready."""
        await wire.serve(f"{self.net}.9.1", soak.STORE_PORT, self.store.handle)
        await wire.serve(f"{self.net}.9.4", soak.STORE_PORT, self.storeless_view.handle)
        await wire.serve(f"{self.net}.9.2", soak.STORE_PORT, self.view.handle)
        await self.store_link.start_channel((f"{self.net}.9.2", soak.STORE_PORT), ("out", "in"),
                                            f"{self.net}.9.3", soak.STORE_PORT)
        await self.store.put("keyed.op", "config", world.operator_configuration(
            1, soak.KEYS, stream_timeout_ms=int(fleetrestart.LIMIT_S * 1000)))
        await self.add_version(1)
        for i in range(PLAIN_ENGINES):
            engine = world.Engine(f"p{i}", "app", f"dc{i % 2}", {}, self.rng)
            engine.version_of_boot = lambda boot: "plain"
            engine.on_arrival = lambda engine, request: None
            engine.address = f"{self.net}.10.{i + 1}:{soak.ENGINE_PORT}"
            self.plain_engines.append(engine)
            await wire.serve(f"{self.net}.10.{i + 1}", soak.ENGINE_PORT, engine.handle)
            await self.store.put(fleetrestart.ENTRIES, engine.id, engine.entry())
        numbers = range(1, self.case.routers + 1)
        if self.case.peers:
            others = set(numbers) - set(self.case.odd)
            await start_peer_link(self.net, self.case.odd, others, self.peer_link)
        for number in numbers:
            router = soak.Router(self.net, number, self.options.router, self.folder)
            router.is_earlier = False
            is_odd = number in self.case.odd
            store = 3 if is_odd else 4 if number in self.case.storeless else 1
            router.store = f"{self.net}.9.{store}:{soak.STORE_PORT}"
            router.start()
            self.routers.append(router)
            self.odd += [router] if is_odd else []
            self.tasks.append(asyncio.create_task(self.watch(router)))
        await self.wait_until_ready(self.routers)

    async def wait_until_ready(self, routers):
        """Waits until routers are ready."""
        while not self.ready.issuperset(routers):
            await asyncio.sleep(0.05)

    # The trouble.

    async def get_out_of_step(self):
        """Starts the trouble; returns how long it lasts."""
        self.view.is_silent = self.case.store == "silent"
        self.view.is_away = self.case.store == "away"
        self.view.delay = 0.5 if self.case.store == "late" else 0.0
        self.storeless_view.is_silent = True
        self.store_link.mode = self.case.store if self.case.store in ("in", "out") else ""
        self.peer_link.mode = self.case.peers
        if not self.case.process:
            return OUT_OF_STEP_S
        for router in self.odd:
            if self.case.process == "frozen":
                router.send_signal(signal.SIGSTOP)
            else:
                await router.stop()
        return self.rng.uniform(*FROZEN_S)

    def get_in_step(self):
        """Ends the trouble."""
        self.view.is_silent = self.view.is_away = False
        self.view.delay = 0.0
        self.store_link.mode = self.peer_link.mode = ""
        for router in self.odd:
            if self.case.process == "killed":
                router.start()
            router.send_signal(signal.SIGCONT)

    async def play(self):
        """Lets engines of new versions join while routers are out of step."""
        await asyncio.sleep(2)
        for number in range(2, 2 + self.case.rounds):
            began_at = time.monotonic()
            end = began_at + await self.get_out_of_step()
            plain = asyncio.create_task(self.call_plain())
            await asyncio.sleep(JOIN_AFTER_S)
            await self.add_version(number)
            await asyncio.sleep(0.3)
            self.is_losing = True
            if self.case.removed:
                await asyncio.sleep(self.case.removed_after_s)
                await self.remove_entries(self.case.removed)
            await asyncio.sleep(max(0, end - time.monotonic()))
            plain.cancel()
            if self.case.is_restored:
                self.store.restore(time.monotonic() - began_at - JOIN_AFTER_S / 2)
                self.tasks += restoration.Restorations(self.store, None, self.rng).start_rewrites()
            self.get_in_step()
            self.during = (began_at, time.monotonic())
            if number <= self.case.rounds:
                await asyncio.gather(*(router.stop() for router in self.odd))
                self.ready.difference_update(self.odd)
                for router in self.odd:
                    router.start()
            await self.wait_until_ready(self.odd)
        if self.case.storeless:
            await asyncio.sleep(STORELESS_LONGER_S)
            self.storeless_view.is_silent = False
        counted_from = time.monotonic() + RECOVERY_S
        await asyncio.sleep(counted_from + COUNTED_S - time.monotonic())
        self.after = (counted_from, counted_from + COUNTED_S)

    async def call_plain(self):
        """Sends plain calls to the routers out of step unless their processes do not run."""
        while not self.case.process:
            router = self.odd[len(self.plain) % len(self.odd)]
            self.tasks.append(asyncio.create_task(self.send_plain(router)))
            await asyncio.sleep(PLAIN_INTERVAL_S)

    async def send_plain(self, router, start="GET /i/x HTTP/1.1"):
        """Sends one plain call."""
        place = len(self.plain)
        request = f"{self.options.seed:x}-p{place:x}"
        self.plain.append("unanswered")
        if start.startswith("POST"):
            self.unrepeatable.add(request)
        fields = {"host": "h", "lagoonbank-attempt-id": request, "api-key": soak.KEYS[0],
                  "lagoonbank-deadline-remaining": PLAIN_LIMIT_MS}
        writer = None
        try:
            reader, writer = await asyncio.open_connection(router.ip, soak.FRONT)
            writer.write(wire.message(start, fields))
            head = await asyncio.wait_for(wire.read_head(reader), PLAIN_LIMIT_MS / 1000)
            if head and head[0].split(" ")[1] in ("429", "503"):
                self.refused.add(request)
            body = await wire.read_whole_body(reader, head[1]) if head else b""
            if body == world.plain_body(request):
                self.plain[place] = None
            else:
                self.plain[place] = f"{head and head[0]} {body[:60]!r}"
        except (OSError, wire.ConnectionBroken, asyncio.TimeoutError) as error:
            self.plain[place] = repr(error)
        finally:
            if writer:
                writer.close()

    # Callers.

    async def ready_router(self, stream, rng):
        """A router that is ready, for broken streams mostly the one out of step."""
        in_step = [router for router in self.routers
                   if router in self.ready and router not in self.odd]
        if self.case.removed == "v2" and not stream.received and not self.during and in_step:
            return rng.choice(in_step)  # Only these know the version that goes again.
        is_there = rng.random() < (TAKEN_UP_THERE if stream.received else NEW_THERE)
        if is_there and self.is_losing and self.ready.issuperset(self.odd):
            return rng.choice(self.odd)
        return await super().ready_router(stream, rng)

    def check_event(self, event, request, stream, router):
        """Checks an event; the caller may lose its connection after it."""
        super().check_event(event, request, stream, router)
        is_last = stream.received == fleetrestart.EVENTS
        if self.is_losing and not is_last and self.lost_rng.random() < LOST_SHARE:
            raise wire.ConnectionBroken("the caller's connection was lost")

    # Results.

    def share(self, window, is_new, is_odd=None):
        """Share of the tries in a time that were served, their number and why others failed.

        `is_odd` tells whether they were made at routers out of step; None for all routers."""
        tries = [attempt for attempt in self.attempts
                 if window[0] <= attempt.tried_at < window[1] and is_new == (not attempt.version)
                 and is_odd in (None, attempt.router in self.odd)
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
        self.check_shares(new[0], taken_up[0], min(new[1], taken_up[1]))
        served = sum(result is None for result in self.plain)
        if served < fleetrestart.MIN_SHARE * len(self.plain):
            self.violations.append("plain calls are not served at routers out of step")
        plain = collections.Counter(result for result in self.plain if result)
        parts.append(f"plain: {served} of {len(self.plain)} {dict(plain) or ''}")
        if self.peer_link.counts:
            parts.append(f"datagrams: {dict(self.peer_link.counts)}")
        self.check_runs()
        return f"mixed {self.check_mixed()} of {len(self.attempts)} tries; " + "; ".join(parts)

    def check_runs(self):
        """Checks that what was refused did not run, and that what may run once did not run twice."""
        runs = collections.Counter()
        for engine in self.engines + self.plain_engines:
            for request, ids in engine.runs.items():
                runs[request] += len(ids)
        ran = sum(request in runs for request in self.refused)
        if ran:
            self.violations.append(f"{ran} requests that were refused as not run have run")
        twice = [request for request in self.unrepeatable if runs[request] > 1]
        if twice:
            self.violations.append(f"run more than once: {twice[:5]}")

    async def clean_up(self):
        """Ends everything that runs."""
        await super().clean_up()
        for channel in self.store_link.channels + self.peer_link.channels:
            channel.close()
        await asyncio.sleep(0.1)


def main():
    """Reads the command line and runs once."""
    options = fleetrestart.argument_parser(__doc__, CASES, 79).parse_args()
    fleetrestart.run_once(OutOfStep, options, "outofstep")


if __name__ == "__main__":
    main()

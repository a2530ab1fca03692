#!/usr/bin/python3
"""Ends engines that are processes of their own while they answer, and checks what callers get.

Usage: enginekills.py --router BINARY --case NAME [--seed N] [--net N] [--seconds S]
Engines are killed, end by SIGTERM or lose power, and are back after 0.05 to 3 s, mostly under
another id, in some cases under the same id and address at another software version. Callers take
broken streams up again. An answer that ends early must not look complete, and no stream may hold
events of two versions. Prints the shares and how long the ends of sound streams took, and exits 1
if a check fails. Ends only the processes that it started, by their ids.
"""

import asyncio
import collections
import dataclasses
import json
import os
import pathlib
import signal
import socket
import statistics
import struct
import subprocess
import sys
import time

import fleetrestart
import soak
import wire
import world

ROUTERS, ENGINES = 6, 9
EVENTS, EVENT_S = 24, 0.04
STREAMS_PER_S = 35
PLAIN_INTERVAL_S, PLAIN_LIMIT_MS = 0.05, 2000
AWAY_S = (0.05, 3.0)
PAUSE_S = (0.3, 0.9)  # Between two ends of engines.
ENTRY_AFTER_S = 0.3  # From the start of an engine until its entry changes.
BEAT_S = 1.2
LOST_SHARE = 0.02  # Of the events, after which the caller loses its connection.
FIRST_S = 2.0  # Before the first engine ends.
MIN_WHOLE = 0.9  # Of the streams that may be resumed.
# Bounds for the ends of sound streams.
MEDIAN_END_MS, P99_END_MS = 5, 20


@dataclasses.dataclass
class Case:
    """How engines end and answer."""

    ends_by: str = ""  # SIGKILL, SIGTERM, power; empty for not at all.
    is_framed: bool = False
    is_in_place: bool = False  # Under the same id and address, at another version.
    at_once: int = 1  # Engines that end at the same moment.
    pause_s: tuple = PAUSE_S
    away_s: tuple = AWAY_S
    has_start_time: bool = True  # Whether entries tell when the engine started.


CASES = {
    "sound": Case(),
    "killed": Case("SIGKILL"),
    "killed_framed": Case("SIGKILL", is_framed=True),
    "terminated": Case("SIGTERM"),
    "back_at_once": Case("SIGKILL", away_s=(0.05, 0.06)),
    "power": Case("power"),
    "all_killed": Case("SIGKILL", at_once=ENGINES, pause_s=(2.0, 3.0)),
    "in_place_at_once": Case("SIGKILL", is_framed=True, is_in_place=True, at_once=ENGINES,
                             pause_s=(30, 30), away_s=(0.3, 0.3)),
    "in_place_in_turn": Case("SIGKILL", is_framed=True, is_in_place=True, away_s=(0.3, 0.3)),
    "in_place_unframed": Case("SIGTERM", is_in_place=True, away_s=(0.3, 0.3)),
    "in_place_quick": Case("SIGKILL", is_framed=True, is_in_place=True, away_s=(0.05, 0.1)),
    "in_place_no_start_time": Case("SIGKILL", is_framed=True, is_in_place=True, at_once=ENGINES,
                                   pause_s=(30, 30), away_s=(0.3, 0.3), has_start_time=False),
}


class EngineHost:
    """The process from which engines are forked."""

    def __init__(self):
        self.process = subprocess.Popen(
            [sys.executable, str(pathlib.Path(__file__).with_name("engineprocess.py"))],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE)

    def start(self, **start):
        """Starts an engine; returns the id of its process."""
        self.process.stdin.write(json.dumps(start).encode() + b"\n")
        self.process.stdin.flush()
        return int(self.process.stdout.readline())

    def stop(self):
        """Ends the process, not the engines."""
        self.process.stdin.close()
        self.process.wait()


class PowerLink(world.Proxy):
    """The way to an engine, which is closed without a word when the power is lost."""

    def __init__(self, target):
        super().__init__(target)
        self.is_dark = False

    def lose_power(self):
        """From now on nothing is passed on, and connections end only once the power is back."""
        self.is_dark = True
        self.server.close()

    async def return_power(self):
        """Resets what was open and listens again."""
        self.is_dark = False
        for writer in [one for one in self.writers if not one.is_closing()]:
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        await self.start(*self.address)

    async def forward(self, reader, writer, cut):
        """Forwards one direction; the end of the engine's process is not noticed in the dark."""
        del cut
        try:
            while piece := await reader.read(65536):
                if not self.is_dark:
                    writer.write(piece)
                    await writer.drain()
        except ConnectionError:
            pass
        while self.is_dark:
            await asyncio.sleep(0.02)
        writer.close()


class Engine:
    """One engine over all its starts."""

    def __init__(self, run, number, service):
        self.run, self.name, self.service = run, f"{service}{number}", service
        self.data_centre = f"dc{number % 2}"
        self.boot = 0  # Part of the id.
        self.starts = 0
        self.changes = 0  # Of the entry since the start.
        self.started_ms = 0
        self.subnet = 30 if service == "llm" else 31
        self.ip = f"{run.net}.{self.subnet}.{number + 1}"
        self.own_ip = self.ip  # Behind the link.
        self.link = None
        self.process = None  # Id of the process; None while it does not run.
        self.is_writing = True  # Entries.
        self.listed_version = ""  # In the newest entry.

    @property
    def id(self):
        """Id of the current start."""
        return f"{self.name}-{self.boot}"

    @property
    def version(self):
        """Version of the software that runs."""
        return f"v{self.starts if self.run.case.is_in_place and self.service == 'llm' else 1}"

    async def start(self):
        """Starts the process."""
        if self.run.case.ends_by == "power" and not self.link:
            self.own_ip = self.ip.replace(f".{self.subnet}.", f".{self.subnet + 10}.")
            self.link = PowerLink((self.own_ip, soak.ENGINE_PORT))
            await self.link.start(self.ip, soak.ENGINE_PORT)
        self.starts += 1
        self.changes = 0
        self.started_ms = time.time_ns() // 1_000_000
        self.process = self.run.host.start(
            name=self.name, boot=self.boot, version=self.version,
            address=f"{self.own_ip}:{soak.ENGINE_PORT}", is_framed=self.run.case.is_framed, events=EVENTS, event_s=EVENT_S)

    def end(self, signal_number):
        """Ends the process."""
        os.kill(self.process, signal_number)
        self.process = None

    def entry(self):
        """The entry in the store."""
        self.changes += 1
        self.listed_version = self.version
        entry = {"service": self.service, "address": f"{self.ip}:{soak.ENGINE_PORT}",
                 "zone": self.data_centre, "version": self.version, "slots": 64,
                 "state": "ready", "seq": self.changes, "warmup_left_ms": 0}
        if self.run.case.has_start_time:
            entry["born"] = self.started_ms
        return json.dumps(entry)


class EngineKills(fleetrestart.FleetRestart):
    """One run with its processes and callers."""

    def __init__(self, options, folder):
        options.earlier_router = None
        super().__init__(options, folder)
        self.events = EVENTS
        self.case = CASES[options.case]
        self.net = f"127.{options.net}"
        self.host = EngineHost()
        self.ends_ms = []  # From the last event of a stream to its end, at the caller.
        self.cut_short = collections.Counter()  # Kind -> answers that end early and look complete.
        self.whole = collections.Counter()
        self.begun = collections.Counter()  # Kind -> streams whose request was sent.
        self.plain = collections.Counter()
        self.ended = 0  # Engines.
        self.lost_rng = world.random_generator(options.seed, "lost")

    async def set_up(self):
        """Starts store, engines and routers, and waits until all routers are ready."""
        await wire.serve(f"{self.net}.9.1", soak.STORE_PORT, self.store.handle)
        await self.store.put("keyed.op", "config", world.operator_configuration(
            1, soak.KEYS, stream_timeout_ms=int(fleetrestart.LIMIT_S * 1000)))
        self.engines = [Engine(self, number, "llm") for number in range(ENGINES)] \
            + [Engine(self, number, "app") for number in range(4)]
        for engine in self.engines:
            await engine.start()
            self.tasks.append(asyncio.create_task(self.write_entries(engine)))
        for number in range(1, ROUTERS + 1):
            router = soak.Router(self.net, number, self.options.router, self.folder)
            router.is_earlier = False
            router.store = f"{self.net}.9.1:{soak.STORE_PORT}"
            router.start()
            self.routers.append(router)
            self.tasks.append(asyncio.create_task(self.watch(router)))
        while len(self.ready) < ROUTERS:
            await asyncio.sleep(0.05)

    async def write_entries(self, engine):
        """Writes the entry of an engine again and again while it runs."""
        while True:
            if engine.process and engine.is_writing:
                await self.store.put(fleetrestart.ENTRIES, engine.id, engine.entry())
            await asyncio.sleep(BEAT_S)

    async def end_engine(self, engine):
        """Ends an engine and starts it again."""
        self.ended += 1
        ended = engine.id
        if engine.link:
            engine.link.lose_power()
        engine.end(signal.SIGTERM if self.case.ends_by == "SIGTERM" else signal.SIGKILL)
        await asyncio.sleep(self.rng.uniform(*self.case.away_s))
        if not self.case.is_in_place:
            engine.boot += 1
        engine.is_writing = False
        await engine.start()
        if engine.link:
            await engine.link.return_power()
        await asyncio.sleep(ENTRY_AFTER_S)
        engine.is_writing = True
        await self.store.put(fleetrestart.ENTRIES, engine.id, engine.entry())
        if not self.case.is_in_place:
            await asyncio.sleep(1)
            await self.store.put(fleetrestart.ENTRIES, ended, "")

    def has_entries(self, version):
        """Whether two engines of a version run and have entries."""
        return sum(engine.process is not None and engine.is_writing and engine.listed_version == version
                   for engine in self.engines if engine.service == "llm") >= 2

    def may_end(self, engine):
        """Whether an engine ends; each is updated in place once."""
        if self.case.is_in_place:
            return engine.service == "llm" and engine.starts == 1
        return engine.service == "llm" or self.case.at_once == 1

    async def play(self):
        """Ends engines at random moments."""
        await asyncio.sleep(FIRST_S)
        began_at = time.monotonic()
        plain = asyncio.create_task(self.call_plain())
        ends = []
        while time.monotonic() < began_at + self.options.seconds:
            if self.case.ends_by:
                running = [engine for engine in self.engines
                           if engine.process and self.may_end(engine)]
                for engine in self.rng.sample(running, min(self.case.at_once, len(running))):
                    ends.append(asyncio.create_task(self.end_engine(engine)))
            await asyncio.sleep(min(self.rng.uniform(*self.case.pause_s),
                                    max(0.1, began_at + self.options.seconds - time.monotonic())))
        self.windows.append((began_at, time.monotonic()))
        plain.cancel()
        await asyncio.gather(*ends)

    async def clean_up(self):
        """Ends everything that runs."""
        for engine in self.engines:
            if engine.process:
                os.kill(engine.process, signal.SIGKILL)
        self.host.stop()
        await super().clean_up()

    # Callers.

    def path(self, request):
        """Requests differ, as one under which several engines end is quarantined."""
        return request

    async def begin_streams(self, name="callers", streams_per_s=STREAMS_PER_S):
        """Begins streams, every second one of which cannot be taken up again."""
        rng = world.random_generator(self.options.seed, name)
        while True:
            self.begun.update(["resumable", "not resumable"])
            self.tasks.append(asyncio.create_task(self.run_stream(rng)))
            self.tasks.append(asyncio.create_task(self.run_single(rng)))
            await asyncio.sleep(rng.expovariate(streams_per_s / 2))

    async def read_answer(self, reader, request, stream, attempt):
        """Reads the answer of a stream that may be taken up again."""
        return await self.read_stream(reader, request, stream, attempt, "resumable")

    async def read_stream(self, reader, request, stream, attempt, kind):
        """Reads an answer and notes whether it looks complete; returns when to retry."""
        head = await wire.read_head(reader)
        if head is None:
            raise wire.ConnectionBroken("closed")
        status, fields = int(head[0].split(" ")[1]), head[1]
        if status != 200:
            body = (await wire.read_whole_body(reader, fields)).decode()
            found = json.loads(body)["error"]["kind"] if body.startswith('{"error"') else body
            attempt.reason = f"{status} {found}"
            wait_s = max(fleetrestart.RETRY_S, float(fields.get("retry-after", "0")))
            return wait_s if status in fleetrestart.RETRIED_STATUSES else None
        rest, last_at = b"", None
        async for piece in wire.read_body(reader, fields):
            *events, rest = (rest + piece).split(b"\n\n")
            for event in events:
                self.check_event(event + b"\n\n", request, stream, attempt.router)
                attempt.has_events, last_at = True, time.monotonic()
        if stream.received < EVENTS:
            self.cut_short[kind] += 1
            self.violations.append(f"{kind} {request} looks complete after {stream.received}")
            stream.received = EVENTS
        else:
            self.whole[kind] += 1
            if last_at and not self.case.ends_by:
                self.ends_ms.append((time.monotonic() - last_at) * 1000)
        return None

    def check_event(self, event, request, stream, router):
        """Checks an event; where versions are mixed, the caller may lose its connection after it."""
        super().check_event(event, request, stream, router)
        is_last = stream.received == EVENTS
        if self.case.is_in_place and not is_last and self.lost_rng.random() < LOST_SHARE:
            raise wire.ConnectionBroken("the caller's connection was lost")

    async def run_single(self, rng):
        """Begins a stream that is not taken up again."""
        stream = fleetrestart.Stream(time.monotonic() + fleetrestart.LIMIT_S)
        router = await self.ready_router(stream, rng)
        if router is None:
            return
        self.sent += 1
        request = f"{self.options.seed:x}-{self.sent:x}"
        attempt = fleetrestart.Attempt(time.monotonic(), "", False, None, router)
        fields = {"host": "h", "lagoonbank-attempt-id": request, "api-key": soak.KEYS[0],
                  "lagoonbank-deadline-remaining": int(fleetrestart.LIMIT_S * 1000)}
        await self.exchange(router, f"POST /u/{request} HTTP/1.1", fields, lambda reader: self.read_stream(
            reader, request, stream, attempt, "not resumable"))

    async def call_plain(self):
        """Sends plain calls to all routers."""
        rng = world.random_generator(self.options.seed, "plain")
        for number in range(1_000_000):
            router = self.routers[number % len(self.routers)]
            start = ("GET /i/{} HTTP/1.1", "POST /n/{} HTTP/1.1")[number // len(self.routers) % 2]
            self.tasks.append(asyncio.create_task(self.send_plain(router, start, number)))
            await asyncio.sleep(rng.uniform(0.5, 1.5) * PLAIN_INTERVAL_S)

    async def send_plain(self, router, start, number):
        """Sends one plain call; its answer has to be whole if it is a success."""
        request = f"{self.options.seed:x}-p{number:x}"
        fields = {"host": "h", "lagoonbank-attempt-id": request, "api-key": soak.KEYS[0],
                  "lagoonbank-deadline-remaining": PLAIN_LIMIT_MS}

        async def read(reader):
            head = await wire.read_head(reader)
            body = await wire.read_whole_body(reader, head[1]) if head else b""
            status = head[0].split(" ")[1] if head else "closed"
            is_whole = body == world.plain_body(request)
            self.plain[status if status != "200" or is_whole else "incomplete"] += 1
            if status == "200" and not is_whole:
                self.violations.append(f"plain {request} looks complete: {body!r}")
        await self.exchange(router, start.format(request), fields, read)

    async def exchange(self, router, start, fields, read):
        """Sends a request and reads its answer, which may break off."""
        writer = None
        try:
            reader, writer = await asyncio.open_connection(router.ip, soak.FRONT)
            writer.write(wire.message(start, fields))
            await asyncio.wait_for(read(reader), fleetrestart.LIMIT_S)
        except (OSError, wire.ConnectionBroken, asyncio.TimeoutError):
            pass
        finally:
            if writer:
                writer.close()

    # Results.

    def check(self):
        """Checks the whole run; returns a summary."""
        new, taken_up = (self.share(is_new) for is_new in (True, False))
        if not self.case.ends_by and self.whole != self.begun:
            self.violations.append(f"sound streams have failed: {dict(self.begun)} were begun")
        if self.whole["resumable"] < MIN_WHOLE * self.begun["resumable"]:
            self.violations.append(f"only {self.whole['resumable']} of {self.begun['resumable']} "
                                   "streams that may be resumed were whole in the end")
        if self.case.is_in_place:
            self.check_shares(new[0], taken_up[0], min(new[1], taken_up[1]))
        parts = [f"engines ended {self.ended}", f"mixed {self.check_mixed()}",
                 f"look complete {dict(self.cut_short)} (whole {dict(self.whole)})",
                 f"new {new[0]:.2f} of {new[1]}, taken up {taken_up[0]:.2f} of {taken_up[1]} "
                 f"{taken_up[2] or ''}", f"plain {dict(self.plain)}"]
        if self.ends_ms:
            ends = sorted(self.ends_ms)
            median, p99 = statistics.median(ends), ends[int(len(ends) * 0.99)]
            parts.append(f"ends after {median:.1f} ms, {p99:.1f} ms at 0.99")
            if median > MEDIAN_END_MS or p99 > P99_END_MS:
                self.violations.append(f"ends of sound streams are late: {parts[-1]}")
        return "; ".join(parts)

    def share(self, is_new):
        """Share of the tries that were served where two engines could, and why others failed."""
        begin, end = self.windows[0]
        tries = [a for a in self.attempts if begin <= a.tried_at < end
                 and is_new == (not a.version) and (is_new or a.has_entries)]
        served = sum(a.has_events for a in tries)
        reasons = collections.Counter(a.reason for a in tries if not a.has_events)
        return served / max(1, len(tries)), len(tries), dict(reasons)


def main():
    """Reads the command line and runs once."""
    parser = fleetrestart.argument_parser(__doc__, CASES, 86)
    parser.add_argument("--seconds", type=float, default=12, help="time in which engines end")
    fleetrestart.run_once(EngineKills, parser.parse_args(), "engines")


if __name__ == "__main__":
    main()

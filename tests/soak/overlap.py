#!/usr/bin/python3
"""Lets troubles of routers, store, engines and callers overlap, and checks streams and plain calls.

Usage: overlap.py --router BINARY [--seed N] [--net N] [--routers N] [--seconds S]
Engines of new software versions join meanwhile, and those of others lose their entries. On what
callers saw it checks that each event came once, in order and of one version, that answers were
whole, that what was refused as not run did not run, and that calls that may not be repeated ran at
most once. No router may end by itself. One second after the last trouble, streams that are taken up
have to go on about as often as new ones begin. Ends only the processes that it started, by their
ids.
"""

import asyncio
import collections
import signal
import time

import fleetrestart
import outofstep
import restoration
import world

ENGINES_PER_VERSION, MOST_VERSIONS = 4, 4
TROUBLE_S = (0.5, 3.0)
PAUSE_S = (0.1, 0.5)  # Between the begins of two troubles.
SLOW_CALLERS, SLOW_S = 0.1, 0.3  # Share of the callers that read slowly, and their longest pause.
ODD_TOPICS = (fleetrestart.ENTRIES, outofstep.ROUTERS_TOPIC, "keyed.lagoonbank-software",
              "keyed.lagoonbank-streams", "keyed.op")
ODD_VALUES = (
    "[" * 5000 + "]" * 5000, "{}", "null", "[1]", "\udcff\udc80\udcfe", '{"service": {}}',
    '{"service": "llm", "address": "127.0.0.1:70000", "state": "ready", "seq": 1}',
    '{"service": "llm", "address": "127.0.0.1:9", "state": "ready", "seq": 1e400, "slots": -1}',
    '{"service": "llm", "address": 7, "version": ["v1"], "state": "ready"}',
    '{"service": "none", "address": "127.0.0.1:9", "state": "resting", "born": "yesterday"}')
PLAIN_STARTS = ("GET /i/x HTTP/1.1", "POST /n/x HTTP/1.1")


class Overlap(outofstep.OutOfStep):
    """One run with its processes, troubles and callers."""

    def __init__(self, options, folder):
        rng = world.random_generator(options.seed, "routers")
        odd = rng.sample(range(1, options.routers + 1), options.routers // 3)
        super().__init__(options, folder, outofstep.Case(
            peers="cut", routers=options.routers, odd=tuple(sorted(odd))))
        self.engines_per_version = ENGINES_PER_VERSION * max(1, options.routers // 8)
        self.order_rng = world.random_generator(options.seed, "troubles")
        self.caller_rng = world.random_generator(options.seed, "slow callers")
        self.latest_version = 1
        self.changing = set()  # Routers that a trouble stopped or ended.
        self.troubles = collections.Counter()

    # Troubles; each ends by itself.

    async def last(self, rng):
        """Waits as long as a trouble lasts."""
        await asyncio.sleep(rng.uniform(*TROUBLE_S))

    async def trouble_store_link(self, rng):
        """Cuts some routers off from the store, in one direction or both, or makes it late."""
        mode = rng.choice(["in", "out", "late", "silent", "away"])
        self.view.is_silent, self.view.is_away = mode == "silent", mode == "away"
        self.store_link.mode = mode
        await self.last(rng)
        self.view.is_silent = self.view.is_away = False
        self.store_link.mode = ""

    async def trouble_peer_link(self, rng):
        """Cuts some routers off from the others in one direction, or makes messages late."""
        self.peer_link.mode = rng.choice(["in", "out", "late"])
        await self.last(rng)
        self.peer_link.mode = ""

    async def trouble_store(self, rng):
        """Takes the store away for all routers; it may come back from an older copy."""
        name = rng.choice(["is_away", "is_silent"])
        setattr(self.store, name, True)
        await self.last(rng)
        if rng.random() < 0.5:
            self.store.restore(rng.uniform(1, 4))
            self.tasks += restoration.Restorations(self.store, None, rng).start_rewrites()
        setattr(self.store, name, False)

    async def trouble_process(self, rng):
        """Stops some routers for a while, or kills them and starts them again."""
        idle = [router for router in self.routers if router not in self.changing]
        chosen = rng.sample(idle, min(len(idle), rng.randint(1, max(1, len(self.routers) // 3))))
        self.changing.update(chosen)
        is_killed = rng.random() < 0.5
        for router in chosen:
            if is_killed:
                await router.stop()
            else:
                router.send_signal(signal.SIGSTOP)
        await self.last(rng)
        for router in chosen:
            if is_killed:
                router.start()
            router.send_signal(signal.SIGCONT)
        self.changing.difference_update(chosen)

    async def trouble_engine(self, rng):
        """Makes engines break answers off in the head, between chunks or within events."""
        engines = rng.sample(self.engines, len(self.engines) // 4)
        for engine in engines:
            engine.mode = rng.choice(["cut_head", "reset", "unframed", "mute"])
        await self.last(rng)
        for engine in engines:
            engine.mode = "good"

    async def trouble_version(self, rng):
        """Lets a new version join, or removes the entries of one, which may return."""
        if self.latest_version < MOST_VERSIONS and rng.random() < 0.6:
            self.latest_version += 1
            await self.add_version(self.latest_version)
            return
        version = f"v{rng.randint(1, self.latest_version)}"
        others = {e.version for e in self.engines if e.service == "llm"} - {version}
        if not any(self.has_entries(other) for other in others):
            return
        await self.remove_entries(version)
        await self.last(rng)
        if rng.random() < 0.5:
            for engine in self.engines:
                if engine.version == version:
                    await self.store.put(fleetrestart.ENTRIES, engine.id, engine.entry())

    async def trouble_entry(self, rng):
        """Writes a value that names no engine, router, version, stream or configuration."""
        topic, key = rng.choice(ODD_TOPICS), f"odd {rng.randrange(99)}%"
        await self.store.put(topic, key, rng.choice(ODD_VALUES))
        await self.last(rng)
        await self.store.put(topic, key, "")

    async def play(self):
        """Starts random troubles; they may overlap, but not with themselves."""
        self.is_losing = True
        plain = asyncio.create_task(self.call_plain())
        names = sorted(name for name in dir(self) if name.startswith("trouble_"))
        running = {}
        end = time.monotonic() + self.options.seconds
        while time.monotonic() < end:
            name = self.order_rng.choice(names)
            if name not in running or running[name].done():
                self.troubles[name] += 1
                rng = world.random_generator(self.options.seed, f"{name} {self.troubles[name]}")
                running[name] = asyncio.create_task(getattr(self, name)(rng))
            await asyncio.sleep(self.order_rng.uniform(*PAUSE_S))
        await asyncio.gather(*running.values())
        plain.cancel()
        await self.wait_until_ready(self.routers)
        counted_from = time.monotonic() + outofstep.RECOVERY_S
        await asyncio.sleep(outofstep.RECOVERY_S + outofstep.COUNTED_S)
        self.after = (counted_from, time.monotonic())

    # Callers.

    async def call_plain(self):
        """Sends plain calls to all routers."""
        while True:
            router = self.routers[len(self.plain) % len(self.routers)]
            start = PLAIN_STARTS[len(self.plain) % 2]
            self.tasks.append(asyncio.create_task(self.send_plain(router, start)))
            await asyncio.sleep(outofstep.PLAIN_INTERVAL_S)

    async def piece_read(self):
        """Some callers read slowly."""
        if self.caller_rng.random() < SLOW_CALLERS:
            await asyncio.sleep(self.caller_rng.uniform(0, SLOW_S))

    # Results.

    def check(self):
        """Checks the whole run; returns a summary."""
        new, taken_up = (self.share(self.after, is_new) for is_new in (True, False))
        self.check_shares(new[0], taken_up[0], min(new[1], taken_up[1]))
        for result in self.plain:
            if result and result.startswith("HTTP/1.1 200"):
                self.violations.append(f"a plain call got {result}")
        self.check_runs()
        self.violations += [f"router {number} has ended by itself" for number in self.ended]
        served = sum(result is None for result in self.plain)
        return f"mixed {self.check_mixed()} of {len(self.attempts)} tries; afterwards new " \
            f"{new[0]:.2f} of {new[1]}, taken up {taken_up[0]:.2f} of {taken_up[1]} " \
            f"{taken_up[2] or ''}; plain {served} of {len(self.plain)}; {dict(self.troubles)}"

    async def clean_up(self):
        """Ends everything that runs."""
        self.ended = [router.number for router in self.routers if router.process.poll() is not None]
        await super().clean_up()


def main():
    """Reads the command line and runs once."""
    parser = fleetrestart.argument_parser(__doc__, None, 81)
    parser.set_defaults(case="overlap")
    parser.add_argument("--routers", type=int, default=fleetrestart.ROUTERS)
    parser.add_argument("--seconds", type=float, default=12, help="time in which troubles begin")
    fleetrestart.run_once(Overlap, parser.parse_args(), "overlap")


if __name__ == "__main__":
    main()

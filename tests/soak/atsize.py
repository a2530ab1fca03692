#!/usr/bin/python3
"""Runs a whole fleet of real routers before engines that batch, and checks the bound of load.

Usage: atsize.py --router BINARY [--seed N] [--seconds S] [--routers N] [--engines N] [--scale X]
                 [--herd S] [--join N] [--release N] [--hot X] [--busy N]
Prints, for each service, the worst calm five seconds; exits 1 if the rule on load is broken there.
Ends only the processes that it started, by their ids.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import loadbound
import soak
import wire
import world

FOLDER = pathlib.Path(__file__).parent
DATA_CENTRES = 3
MODEL, DESK = "model", "desk"
HOSTS = 3  # Processes that the endpoints share.
ENGINE_SLOTS, ENGINE_MEMORY, ENGINE_CONNECTIONS = 24, 288176, 640
DESK_SLOTS, DESK_CONNECTIONS, DESKS = 6, 540, 3
# Requests a second for the engines of a whole fleet; --engines scales them.
WHOLE_ENGINES = 90
KINDS = [
    {"name": "draft", "per_s": 182, "service": MODEL, "method": "POST", "patience_s": 12.0,
     "first": 512, "shared": 10000, "own": 1300, "out": 382, "things": 212, "skew": 0.3,
     "target_ms": 800, "attempts": 2, "resumable": True, "kind": "streaming", "priority": 0},
    {"name": "tweak", "per_s": 200, "service": MODEL, "method": "POST", "patience_s": 12.0,
     "first": 119, "shared": 580, "own": 130, "out": 290, "things": 348, "skew": 0.3,
     "target_ms": 800, "attempts": 1, "resumable": False, "kind": "streaming", "priority": 1},
    {"name": "tag", "per_s": 325, "service": MODEL, "method": "POST", "patience_s": 3.0,
     "first": 341, "shared": 1700, "own": 360, "out": 23, "things": 566, "skew": 0.3,
     "target_ms": 1200, "attempts": 2, "resumable": True, "kind": "streaming", "priority": 2},
    {"name": "book", "per_s": 177, "service": DESK, "method": "POST", "patience_s": 0.6,
     "target_ms": 120, "attempts": 1, "kind": "non_idempotent", "priority": 2},
    {"name": "fetch", "per_s": 70.7, "service": DESK, "method": "GET", "patience_s": 0.6,
     "target_ms": 120, "attempts": 2, "kind": "idempotent", "priority": 2},
]
LONGEST_PAUSE_MS = 400
# Requests count from so long after the first ones, and after a start of all routers.
STABLE_S = 4.0
LEAD_S = 8.0
# When empty engines join, after the first callers, and for how long one after the other.
JOIN_AT_S, JOIN_FOR_S = 10.0, 5.0
# The same for engines that are replaced; a replaced one is in the store for so long.
RELEASE_AT_S, RELEASE_FOR_S, DRAIN_S = 14.0, 10.0, 3.0


def configuration(version):
    """What the operator writes."""
    routes = [{"name": kind["name"], "host": "h", "prefix": f"/{kind['name']}/",
               "kind": kind["kind"], "service": kind["service"], "max_attempts": kind["attempts"],
               "timeout_ms": int(kind["patience_s"] * 1000), "target_latency_ms": kind["target_ms"],
               "max_gap_ms": LONGEST_PAUSE_MS, "priority": kind["priority"],
               "resumable": kind.get("resumable", False),
               "session_affinity": kind["service"] == MODEL} for kind in KINDS]
    engine = {"slots": ENGINE_SLOTS, "kv_tokens": ENGINE_MEMORY, "stride": 8}
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": MODEL, "max_conns": ENGINE_CONNECTIONS, "engine": engine},
                     {"name": DESK, "max_conns": DESK_CONNECTIONS}],
        "limits": {"header_bytes": 16384, "body_bytes": 65536, "header_ms": 3000, "idle_ms": 15000},
        "tenants": [{"name": f"t{i}", "keys": [key]} for i, key in enumerate(soak.KEYS)]})


class Fleet:
    """One run."""

    def __init__(self, options, folder):
        self.options = options
        self.folder = folder
        self.net = f"127.{options.net}"
        self.store = world.Store()
        self.routers, self.helpers, self.crowds = [], [], []
        self.starts = []  # When all routers were started.
        self.entries = {}  # Id of an endpoint -> its entry in the store.
        self.joined = {}  # Id of an endpoint -> when the entry was written.
        self.left = {}  # Id of an endpoint -> when the entry was removed.

    def start_helper(self, program, name, settings):
        """A process of the world around the routers."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings | {"record": str(self.folder / f"{name}.txt")}))
        errors = open(self.folder / f"{name}.log", "wb")
        process = subprocess.Popen([sys.executable, str(FOLDER / program), str(path)],
                                   stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=errors)
        errors.close()
        return process

    async def start_endpoints(self):
        """Engines and processes of the plain service, and their entries in the store."""
        hosts = [[] for _ in range(HOSTS)]
        engines = self.options.engines + self.options.join + self.options.release
        for number in range(engines + DESKS):
            is_engine = number < engines
            ip = f"{self.net}.2.{number + 1}"
            name = f"{'e' if is_engine else 'd'}-{number}"
            service = MODEL if is_engine else DESK
            slots = ENGINE_SLOTS if is_engine else DESK_SLOTS
            hosts[number % HOSTS].append(
                {"id": name, "kind": "engine" if is_engine else "plain", "slots": slots,
                 "queue": 3 * slots, "memory": ENGINE_MEMORY, "seed": self.options.seed,
                 "listen": [ip, soak.ENGINE_PORT]})
            self.entries[name] = {
                "service": service, "address": f"{ip}:{soak.ENGINE_PORT}",
                "zone": f"dc{number % DATA_CENTRES}", "version": "v1", "slots": slots,
                "state": "ready", "seq": 0, "warmup_left_ms": 0,
                "born": time.time_ns() // 1_000_000}
            if not self.options.engines <= number < engines:
                await self.join(name)
        self.helpers = [self.start_helper("batchengine.py", f"endpoints-{i}", {"endpoints": some})
                        for i, some in enumerate(hosts)]
        for helper in self.helpers:
            await asyncio.get_running_loop().run_in_executor(None, helper.stdout.readline)

    async def join(self, name):
        """Writes the entry of an endpoint."""
        self.joined[name] = time.monotonic()
        await self.store.put("keyed.servers", name, json.dumps(self.entries[name]))

    async def join_all(self):
        """Engines that join empty, one after the other."""
        await asyncio.sleep(JOIN_AT_S)
        for name in self.later()[:self.options.join]:
            await self.join(name)
            await asyncio.sleep(JOIN_FOR_S / self.options.join)

    def later(self):
        """Engines that join while callers are there, in the order of their numbers."""
        first = self.options.engines
        return [name for name in self.entries if name.startswith("e-") and int(name[2:]) >= first]

    async def replace_all(self):
        """Engines are replaced one after the other; the new one comes first."""
        await asyncio.sleep(RELEASE_AT_S)
        drains = []
        for number, name in enumerate(self.later()[self.options.join:]):
            await self.join(name)
            drains.append(asyncio.create_task(self.drain(f"e-{number}")))
            await asyncio.sleep(RELEASE_FOR_S / self.options.release)
        await asyncio.gather(*drains)

    async def drain(self, name):
        """Says that an engine leaves, and that it has left; what runs there ends by itself."""
        entry = self.entries[name] | {"state": "draining", "seq": 1}
        await self.store.put("keyed.servers", name, json.dumps(entry))
        await asyncio.sleep(DRAIN_S)
        self.left[name] = time.monotonic()
        await self.store.put("keyed.servers", name, "")

    def start_routers(self):
        """All at once."""
        self.starts.append(time.monotonic())
        for router in self.routers:
            router.start()

    def start_crowds(self):
        """Callers of each data centre."""
        share = self.options.scale * self.options.engines / WHOLE_ENGINES / DATA_CENTRES
        for number in range(DATA_CENTRES):
            kinds = [kind | {"per_s": kind["per_s"] * share} for kind in KINDS]
            ips = [router.ip for router in self.routers if router.number % DATA_CENTRES == number]
            self.crowds.append(self.start_helper("crowd.py", f"crowd-{number}", {
                "name": f"c{number}", "seed": self.options.seed, "kinds": kinds, "routers": ips,
                "callers": 107, "keys": soak.KEYS, "seconds": self.options.seconds,
                "hot_part": self.options.hot}))

    async def run(self):
        """The whole run; the spans in which nothing was disrupted."""
        server = await wire.serve(f"{self.net}.9.1", soak.STORE_PORT, self.store.handle)
        await self.store.put("keyed.op", "config", configuration(1))
        await self.start_endpoints()
        for number in range(self.options.routers):
            router = soak.Router(self.net, number + 1, self.options.router, self.folder)
            router.data_centre = f"dc{router.number % DATA_CENTRES}"
            router.store = f"{self.net}.9.1:{soak.STORE_PORT}"
            self.routers.append(router)
        self.start_routers()
        await asyncio.sleep(LEAD_S)
        begin = time.monotonic()
        self.start_crowds()
        busy = [subprocess.Popen([sys.executable, "-c", "while True: pass"])
                for _ in range(self.options.busy)]
        changing = asyncio.gather(self.join_all(), self.replace_all())
        calm = await self.calm_spans(begin)
        for crowd in self.crowds:
            await asyncio.get_running_loop().run_in_executor(None, crowd.wait)
        await changing
        for process in busy:
            process.kill()
        await self.stop()
        server.close()
        return calm

    async def calm_spans(self, begin):
        """Kills all routers in the midst, where that is asked for; when nothing is disrupted."""
        end = begin + self.options.seconds
        since = begin + STABLE_S
        if not self.options.herd:
            return [(since, end)]
        await asyncio.sleep(self.options.herd)
        killed = time.monotonic()
        await self.store.put("keyed.op", "config", configuration(2))
        for router in self.routers:
            router.send(signal.SIGKILL)
        for router in self.routers:
            await router.ended(router.process, 5)
        self.start_routers()
        return [(since, killed), (self.starts[-1] + STABLE_S, end)]

    async def stop(self):
        """Ends all processes."""
        for router in self.routers:
            await router.stop()
        for helper in self.helpers:
            helper.stdin.close()
            await asyncio.get_running_loop().run_in_executor(None, helper.wait)

    def times(self, moments, service):
        """Of the endpoints of a service."""
        return [at for name, at in moments.items() if self.entries[name]["service"] == service]

    def changes(self):
        """What the endpoints wrote down, by service."""
        found = collections.defaultdict(list)
        for path in self.folder.glob("endpoints-*.txt"):
            for line in path.read_text().splitlines():
                at, endpoint, change, who = line.split("\t")
                router, _, request = who.partition(" ")
                found[self.entries[endpoint]["service"]].append(loadbound.Change(
                    float(at), endpoint, int(change), router, request))
        return found

    def outcomes(self):
        """Of all callers."""
        total = collections.Counter()
        for number in range(DATA_CENTRES):
            total.update(json.loads((self.folder / f"crowd-{number}.txt").read_text()))
        return dict(sorted(total.items()))


def report(fleet, calm):
    """Prints the worst windows; whether one is broken."""
    broken = False
    for service, changes in fleet.changes().items():
        found = list(loadbound.arrivals(changes, fleet.times(fleet.joined, service),
                                        fleet.times(fleet.left, service)))
        worst = loadbound.worst_window(found, calm)
        over = sum(one.is_over for one in found)
        mean = sum((one.bound - loadbound.SLACK) / loadbound.MEAN_FACTOR for one in found)
        print(f"{service}: {len(found)} requests, mean load {mean / max(1, len(found)):.2f}, "
              f"{over} over the bound; worst calm five seconds {worst.over} of {worst.requests} "
              f"({100 * worst.share:.1f} in 100) at {worst.since - calm[0][0]:.1f} s")
        broken = broken or loadbound.is_broken(worst)
        with open(fleet.folder / f"over-{service}.txt", "w", encoding="utf-8") as out:
            out.writelines(f"{one.at:.6f} {one.endpoint} {one.router} {one.request} {one.held} "
                           f"{one.bound:.2f}\n" for one in found if one.is_over)
    print(f"outcomes: {fleet.outcomes()}")
    return broken


def main():
    """Reads the command line and runs once."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--router", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--routers", type=int, default=80)
    parser.add_argument("--engines", type=int, default=90)
    parser.add_argument("--scale", type=float, default=1.0, help="of the requests a second")
    parser.add_argument("--herd", type=float, default=0, help="second in which all routers are killed")
    parser.add_argument("--join", type=int, default=0, help="engines that join empty in the midst")
    parser.add_argument("--release", type=int, default=0, help="engines that are replaced")
    parser.add_argument("--hot", type=float, default=0,
                        help="part of the first kind's requests that ask for one prompt for a while")
    parser.add_argument("--busy", type=int, default=0, help="processes that only take processor time")
    parser.add_argument("--net", type=int, default=78)
    parser.add_argument("--keep", help="folder for settings and logs; a new one if left out")
    options = parser.parse_args()
    folder = pathlib.Path(options.keep or tempfile.mkdtemp(prefix="lagoonbank-atsize-"))
    folder.mkdir(parents=True, exist_ok=True)
    fleet = Fleet(options, folder)
    calm = asyncio.run(fleet.run())
    broken = report(fleet, calm)
    print(f"seed {options.seed}: {'broken' if broken else 'kept'}; logs: {folder}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()

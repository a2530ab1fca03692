#!/usr/bin/python3
"""Runs a fleet of real routers in front of simulated batching engines and checks the load bound.

Usage: atsize.py --router BINARY [--seed N] [--seconds S] [--routers N] [--engines N] [--scale X]
                 [--herd S] [--join N] [--release N] [--hot X] [--busy N]
Prints, for each service, the worst five seconds without a disruption; exits 1 if they violate the
load bound. Ends only the processes that it started, by their ids.
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
MODEL_SERVICE, PLAIN_SERVICE = "model", "desk"
HOST_PROCESSES = 3  # The endpoints are spread over these processes.
ENGINE_SLOTS, ENGINE_MEMORY, ENGINE_CONNECTIONS = 24, 288176, 640
PLAIN_SLOTS, PLAIN_CONNECTIONS, PLAIN_ENDPOINTS = 6, 540, 3
# The rates in KINDS are for this number of engines; --engines scales them.
REFERENCE_ENGINES = 90
KINDS = [
    {"name": "draft", "per_s": 182, "service": MODEL_SERVICE, "method": "POST", "patience_s": 12.0,
     "first": 512, "shared": 10000, "own": 1300, "out": 382, "things": 212, "skew": 0.3,
     "target_ms": 800, "attempts": 2, "resumable": True, "kind": "streaming", "priority": 0},
    {"name": "tweak", "per_s": 200, "service": MODEL_SERVICE, "method": "POST", "patience_s": 12.0,
     "first": 119, "shared": 580, "own": 130, "out": 290, "things": 348, "skew": 0.3,
     "target_ms": 800, "attempts": 1, "resumable": False, "kind": "streaming", "priority": 1},
    {"name": "tag", "per_s": 325, "service": MODEL_SERVICE, "method": "POST", "patience_s": 3.0,
     "first": 341, "shared": 1700, "own": 360, "out": 23, "things": 566, "skew": 0.3,
     "target_ms": 1200, "attempts": 2, "resumable": True, "kind": "streaming", "priority": 2},
    {"name": "book", "per_s": 177, "service": PLAIN_SERVICE, "method": "POST", "patience_s": 0.6,
     "target_ms": 120, "attempts": 1, "kind": "non_idempotent", "priority": 2},
    {"name": "fetch", "per_s": 70.7, "service": PLAIN_SERVICE, "method": "GET", "patience_s": 0.6,
     "target_ms": 120, "attempts": 2, "kind": "idempotent", "priority": 2},
]
MAX_EVENT_GAP_MS = 400
# Requests are checked from this time after the first ones, and after a start of all routers.
STABLE_S = 4.0
STARTUP_S = 8.0  # From the start of the routers to the first requests.
# Engines with empty caches join from JOIN_AT_S after the first requests, spread over JOIN_FOR_S.
JOIN_AT_S, JOIN_FOR_S = 10.0, 5.0
# The same for replaced engines; a draining engine stays in the store for DRAIN_S.
RELEASE_AT_S, RELEASE_FOR_S, DRAIN_S = 14.0, 10.0, 3.0


def operator_configuration(version):
    """The configuration that the operator writes to the store."""
    routes = [{"name": kind["name"], "host": "h", "prefix": f"/{kind['name']}/",
               "kind": kind["kind"], "service": kind["service"], "max_attempts": kind["attempts"],
               "timeout_ms": int(kind["patience_s"] * 1000), "target_latency_ms": kind["target_ms"],
               "max_gap_ms": MAX_EVENT_GAP_MS, "priority": kind["priority"],
               "resumable": kind.get("resumable", False),
               "session_affinity": kind["service"] == MODEL_SERVICE} for kind in KINDS]
    engine = {"slots": ENGINE_SLOTS, "kv_tokens": ENGINE_MEMORY, "stride": 8}
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": MODEL_SERVICE, "max_conns": ENGINE_CONNECTIONS, "engine": engine},
                     {"name": PLAIN_SERVICE, "max_conns": PLAIN_CONNECTIONS}],
        "limits": {"header_bytes": 16384, "body_bytes": 65536, "header_ms": 3000, "idle_ms": 15000},
        "tenants": [{"name": f"t{i}", "keys": [key]} for i, key in enumerate(soak.KEYS)]})


class Fleet:
    """The processes and the store of one run."""

    def __init__(self, options, folder):
        self.options = options
        self.folder = folder
        self.net = f"127.{options.net}"
        self.store = world.Store()
        self.routers, self.endpoint_hosts, self.load_generators = [], [], []
        self.router_start_times = []  # Each time that all routers were started.
        self.entries = {}  # Endpoint id -> its entry in the store.
        self.joined_at = {}  # Endpoint id -> when its entry was written.
        self.left_at = {}  # Endpoint id -> when its entry was removed.

    def start_process(self, program, name, settings):
        """Starts a process that hosts endpoints or generates load."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings | {"record": str(self.folder / f"{name}.txt")}))
        errors = open(self.folder / f"{name}.log", "wb")
        process = subprocess.Popen([sys.executable, str(FOLDER / program), str(path)],
                                   stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=errors)
        errors.close()
        return process

    async def start_endpoints(self):
        """Starts engines and endpoints of the plain service, and adds them to the store."""
        hosts = [[] for _ in range(HOST_PROCESSES)]
        engines = self.options.engines + self.options.join + self.options.release
        for number in range(engines + PLAIN_ENDPOINTS):
            is_engine = number < engines
            ip = f"{self.net}.2.{number + 1}"
            name = f"{'e' if is_engine else 'd'}-{number}"
            service = MODEL_SERVICE if is_engine else PLAIN_SERVICE
            slots = ENGINE_SLOTS if is_engine else PLAIN_SLOTS
            hosts[number % HOST_PROCESSES].append(
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
        self.endpoint_hosts = [self.start_process("batchengine.py", f"endpoints-{i}",
                                                  {"endpoints": endpoints})
                               for i, endpoints in enumerate(hosts)]
        for host in self.endpoint_hosts:
            await asyncio.get_running_loop().run_in_executor(None, host.stdout.readline)

    async def join(self, name):
        """Writes the entry of an endpoint to the store."""
        self.joined_at[name] = time.monotonic()
        await self.store.put("keyed.servers", name, json.dumps(self.entries[name]))

    async def join_engines(self):
        """Adds engines with empty caches, one after the other."""
        await asyncio.sleep(JOIN_AT_S)
        for name in self.spare_engines()[:self.options.join]:
            await self.join(name)
            await asyncio.sleep(JOIN_FOR_S / self.options.join)

    def spare_engines(self):
        """Engines that join during the run, in the order of their numbers."""
        first = self.options.engines
        return [name for name in self.entries if name.startswith("e-") and int(name[2:]) >= first]

    async def replace_engines(self):
        """Replaces engines one after the other; each new one joins before the old one drains."""
        await asyncio.sleep(RELEASE_AT_S)
        drains = []
        for number, name in enumerate(self.spare_engines()[self.options.join:]):
            await self.join(name)
            drains.append(asyncio.create_task(self.drain(f"e-{number}")))
            await asyncio.sleep(RELEASE_FOR_S / self.options.release)
        await asyncio.gather(*drains)

    async def drain(self, name):
        """Marks an engine as draining, then removes its entry; its running requests finish."""
        entry = self.entries[name] | {"state": "draining", "seq": 1}
        await self.store.put("keyed.servers", name, json.dumps(entry))
        await asyncio.sleep(DRAIN_S)
        self.left_at[name] = time.monotonic()
        await self.store.put("keyed.servers", name, "")

    def start_routers(self):
        """Starts all routers at once."""
        self.router_start_times.append(time.monotonic())
        for router in self.routers:
            router.start()

    def start_load_generators(self):
        """Starts one load generator for each data centre."""
        share = self.options.scale * self.options.engines / REFERENCE_ENGINES / DATA_CENTRES
        for number in range(DATA_CENTRES):
            kinds = [kind | {"per_s": kind["per_s"] * share} for kind in KINDS]
            ips = [router.ip for router in self.routers if router.number % DATA_CENTRES == number]
            self.load_generators.append(self.start_process("crowd.py", f"crowd-{number}", {
                "name": f"c{number}", "seed": self.options.seed, "kinds": kinds, "routers": ips,
                "callers": 107, "keys": soak.KEYS, "seconds": self.options.seconds,
                "hot_part": self.options.hot}))

    async def run(self):
        """Runs everything; returns the time spans without a disruption."""
        server = await wire.serve(f"{self.net}.9.1", soak.STORE_PORT, self.store.handle)
        await self.store.put("keyed.op", "config", operator_configuration(1))
        await self.start_endpoints()
        for number in range(self.options.routers):
            router = soak.Router(self.net, number + 1, self.options.router, self.folder)
            router.data_centre = f"dc{router.number % DATA_CENTRES}"
            router.store = f"{self.net}.9.1:{soak.STORE_PORT}"
            self.routers.append(router)
        self.start_routers()
        await asyncio.sleep(STARTUP_S)
        begin = time.monotonic()
        self.start_load_generators()
        busy = [subprocess.Popen([sys.executable, "-c", "while True: pass"])
                for _ in range(self.options.busy)]
        changing = asyncio.gather(self.join_engines(), self.replace_engines())
        undisturbed = await self.undisturbed_spans(begin)
        for load_generator in self.load_generators:
            await asyncio.get_running_loop().run_in_executor(None, load_generator.wait)
        await changing
        for process in busy:
            process.kill()
        await self.stop()
        server.close()
        return undisturbed

    async def undisturbed_spans(self, begin):
        """Restarts all routers if --herd is given; returns the spans without a disruption."""
        end = begin + self.options.seconds
        since = begin + STABLE_S
        if not self.options.herd:
            return [(since, end)]
        await asyncio.sleep(self.options.herd)
        killed = time.monotonic()
        await self.store.put("keyed.op", "config", operator_configuration(2))
        for router in self.routers:
            router.send_signal(signal.SIGKILL)
        for router in self.routers:
            await router.wait_for_exit(router.process, 5)
        self.start_routers()
        return [(since, killed), (self.router_start_times[-1] + STABLE_S, end)]

    async def stop(self):
        """Ends all routers and endpoint hosts."""
        for router in self.routers:
            await router.stop()
        for host in self.endpoint_hosts:
            host.stdin.close()
            await asyncio.get_running_loop().run_in_executor(None, host.wait)

    def times_of_service(self, times, service):
        """The times, from a map by endpoint id, of the endpoints of one service."""
        return [moment for name, moment in times.items() if self.entries[name]["service"] == service]

    def load_changes(self):
        """The load changes that the endpoints recorded, by service."""
        by_service = collections.defaultdict(list)
        for path in self.folder.glob("endpoints-*.txt"):
            for line in path.read_text().splitlines():
                timestamp, endpoint, delta, origin = line.split("\t")
                router, _, request = origin.partition(" ")
                by_service[self.entries[endpoint]["service"]].append(loadbound.Change(
                    float(timestamp), endpoint, int(delta), router, request))
        return by_service

    def total_outcomes(self):
        """Number of requests by kind and outcome, over all load generators."""
        total = collections.Counter()
        for number in range(DATA_CENTRES):
            total.update(json.loads((self.folder / f"crowd-{number}.txt").read_text()))
        return dict(sorted(total.items()))


def report(fleet, undisturbed):
    """Prints the worst window of each service; returns whether one violates the load bound."""
    broken = False
    for service, load_changes in fleet.load_changes().items():
        arrivals = list(loadbound.arrivals(load_changes,
                                           fleet.times_of_service(fleet.joined_at, service),
                                           fleet.times_of_service(fleet.left_at, service)))
        worst = loadbound.worst_window(arrivals, undisturbed)
        over = sum(arrival.is_over_bound for arrival in arrivals)
        total = sum((arrival.bound - loadbound.SLACK) / loadbound.MEAN_FACTOR
                    for arrival in arrivals)
        print(f"{service}: {len(arrivals)} requests, "
              f"mean load {total / max(1, len(arrivals)):.2f}, {over} over the bound; "
              f"worst undisturbed five seconds {worst.over} of {worst.requests} "
              f"({100 * worst.share:.1f} %) at {worst.start - undisturbed[0][0]:.1f} s")
        broken = broken or loadbound.violates_bound(worst)
        with open(fleet.folder / f"over-{service}.txt", "w", encoding="utf-8") as out:
            out.writelines(f"{arrival.time:.6f} {arrival.endpoint} {arrival.router} "
                           f"{arrival.request} {arrival.load} {arrival.bound:.2f}\n"
                           for arrival in arrivals if arrival.is_over_bound)
    print(f"outcomes: {fleet.total_outcomes()}")
    return broken


def main():
    """Reads the command line and runs once."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--router", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--routers", type=int, default=80)
    parser.add_argument("--engines", type=int, default=90)
    parser.add_argument("--scale", type=float, default=1.0, help="factor on the rate of requests")
    parser.add_argument("--herd", type=float, default=0,
                        help="seconds after which all routers are killed")
    parser.add_argument("--join", type=int, default=0,
                        help="engines that join with empty caches during the run")
    parser.add_argument("--release", type=int, default=0,
                        help="engines that are replaced during the run")
    parser.add_argument("--hot", type=float, default=0,
                        help="share of the first kind's requests that ask for one prompt for a while")
    parser.add_argument("--busy", type=int, default=0, help="processes that only use the processor")
    parser.add_argument("--net", type=int, default=78)
    parser.add_argument("--keep", help="folder for settings and logs; default: a new one")
    options = parser.parse_args()
    folder = pathlib.Path(options.keep or tempfile.mkdtemp(prefix="lagoonbank-atsize-"))
    folder.mkdir(parents=True, exist_ok=True)
    fleet = Fleet(options, folder)
    undisturbed = asyncio.run(fleet.run())
    broken = report(fleet, undisturbed)
    print(f"seed {options.seed}: {'broken' if broken else 'kept'}; logs: {folder}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()

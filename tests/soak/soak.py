#!/usr/bin/python3
"""Runs real routers among a store, engines and callers that misbehave, and checks the promises.

Usage: soak.py --router BINARY [--seed N] [--seconds S] [--routers N] [--engines N] [--callers N]
The same seed gives the same faults at the same times. Exits 1 if a promise was broken and prints
which. Ends only the processes that it started, by their ids.
"""

import argparse
import asyncio
import collections
import contextlib
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import rules
import wire
import world

STORE_PORT, ENGINE_PORT = 9000, 9100
FRONT, READY, METRICS, PEER = 8001, 8002, 8003, 8004
KEYS = ["key-a", "key-b"]
KINDS = {"i": "GET", "n": "POST", "s": "POST"}
# After the last fault the callers have to be served again within this time.
RECOVERY_S = 6.0
# A planned stop takes 7.5 s at the most, and a pause of up to 3 s may fall into it.
STOP_S = 12.0


class Router:
    """One router process."""

    def __init__(self, net, number, binary, folder):
        self.ip = f"{net}.0.{number}"
        self.binary = binary
        self.folder = folder
        self.number = number
        self.data_centre = f"dc{number % 2}"
        self.store = None
        self.process = None

    def start(self):
        """Starts the process; its log goes to a file that a failed run keeps."""
        settings = self.folder / f"router-{self.number}.yaml"
        settings.write_text("".join(f"{key}: {value}\n" for key, value in {
            "vm": f"r{self.number}", "data_centre": self.data_centre,
            "listen_address": f'"{self.ip}:{FRONT}"', "ready_address": f'"{self.ip}:{READY}"',
            "metrics_address": f'"{self.ip}:{METRICS}"', "peer_address": f'"{self.ip}:{PEER}"',
            "store_address": f'"{self.store}"'}.items()))
        log = open(self.folder / f"router-{self.number}.log", "ab")
        self.process = subprocess.Popen([self.binary, "--settings", str(settings)], stdout=log,
                                        stderr=log, close_fds=True)
        log.close()

    def send(self, number):
        """Sends a signal to the process if it lives."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    @staticmethod
    async def ended(process, seconds):
        """Waits for the end of a process; False if it lives on."""
        for _ in range(int(seconds / 0.05)):
            if process.poll() is not None:
                return True
            await asyncio.sleep(0.05)
        return False

    async def stop(self):
        """Ends the process whatever it does."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.ended(self.process, 5)


class Soak:
    """One run."""

    def __init__(self, options, folder):
        self.options = options
        self.folder = folder
        self.rng = world.generator(options.seed, "faults")
        self.runs = {}
        self.refused = set()  # Ids of requests that were told "not run".
        self.kinds = {}  # Request id -> kind.
        self.outcomes = collections.Counter()
        self.broken = []
        self.arrivals = rules.Arrivals(self.broken)
        self.disturbances = self.arrivals.disturbances
        self.last_served = collections.deque(maxlen=400)  # (time, whether it was served)
        self.store = world.Store()
        self.version = 1
        self.routers, self.engines, self.proxies, self.store_proxies = [], [], [], []
        self.next_id = 0
        self.is_over = False

    async def set_up(self):
        """Starts store, engines, proxies and routers."""
        net = f"127.{self.options.net}"
        servers = [await wire.serve(f"{net}.9.1", STORE_PORT, self.store.handle)]
        await self.store.put("keyed.op", "config", world.configuration(self.version, KEYS))
        for i in range(self.options.engines):
            engine = world.Engine(f"e{i}", "app" if i % 2 else "llm", f"dc{i // 2 % 2}", self.runs,
                                  world.generator(self.options.seed, f"engine {i}"))
            engine.arrived = self.arrivals.arrived
            ip = f"{net}.2.{i + 1}"
            servers.append(await wire.serve(ip, ENGINE_PORT, engine.handle))
            proxy_ip = f"{net}.3.{i + 1}"
            self.proxies.append(await world.Proxy((ip, ENGINE_PORT)).start(proxy_ip, ENGINE_PORT))
            engine.address = f"{proxy_ip}:{ENGINE_PORT}"
            self.engines.append(engine)
            await self.store.put("keyed.servers", engine.id, engine.entry())
        for i in range(self.options.routers):
            proxy_ip = f"{net}.4.{i + 1}"
            self.store_proxies.append(
                await world.Proxy((f"{net}.9.1", STORE_PORT)).start(proxy_ip, STORE_PORT))
            router = Router(net, i + 1, self.options.router, self.folder)
            router.store = f"{proxy_ip}:{STORE_PORT}"
            with self.disturbing(f"router {router.number}"):
                router.start()
            self.routers.append(router)
        return servers

    @contextlib.contextmanager
    def disturbing(self, *names):
        """While it lasts, and some time after it, these are not in touch."""
        for name in names:
            self.disturbances.begin(name)
        try:
            yield
        finally:
            for name in names:
                self.disturbances.end(name)

    # Faults, each with its own end.

    async def restart(self, router, number):
        """A signal that ends the process, and a new process unless another fault began one."""
        process = router.process
        with self.disturbing(f"router {router.number}"):
            router.send(number)
            if not await router.ended(process, STOP_S):
                self.broken.append(f"router {router.number} did not end in time after "
                                   f"{number.name}")
                await router.stop()
            if router.process is process:
                router.start()

    async def fault_kill(self, rng):
        """Kills a router."""
        await self.restart(rng.choice(self.routers), signal.SIGKILL)

    async def fault_terminate(self, rng):
        """Stops a router in a planned way."""
        await self.restart(rng.choice(self.routers), signal.SIGTERM)

    async def fault_pause(self, rng):
        """Pauses a router; a signal to end may come meanwhile."""
        router = rng.choice(self.routers)
        with self.disturbing(f"router {router.number}"):
            router.send(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.2, 3))
            router.send(signal.SIGCONT)

    async def fault_hup(self, rng):
        """Asks a router to read its settings again."""
        rng.choice(self.routers).send(signal.SIGHUP)

    async def fault_herd(self, rng):
        """Kills all routers at once."""
        del rng
        await asyncio.gather(*(self.restart(router, signal.SIGKILL) for router in self.routers))

    async def fault_engine_link(self, rng):
        """Harms the connections to an engine."""
        number = rng.randrange(len(self.proxies))
        proxy = self.proxies[number]
        with self.disturbing(f"engine {self.engines[number].name}"):
            proxy.set_mode(rng.choice(world.Proxy.MODES[1:]))
            await asyncio.sleep(rng.uniform(0.3, 3))
            proxy.set_mode("pass")

    async def fault_engine(self, rng):
        """An engine misbehaves."""
        engine = rng.choice(self.engines)
        engine.mode = rng.choice(["slow", "mute", "reset", "shed"])
        await asyncio.sleep(rng.uniform(0.5, 3))
        engine.mode = "good"

    async def fault_replace(self, rng):
        """An engine drains and another start of it takes its address."""
        engine = rng.choice(self.engines)
        if engine.is_leaving:
            return
        engine.is_leaving = True
        await self.store.put("keyed.servers", engine.id, engine.entry("draining"))
        await asyncio.sleep(1.5)
        await self.store.put("keyed.servers", engine.id, "")
        engine.boot += 1
        engine.started_ms = time.time_ns() // 1_000_000
        await self.be_cold(engine)
        engine.is_leaving = False

    async def be_cold(self, engine):
        """Until it is warm, and its entry says so."""
        engine.become_cold()
        await self.store.put("keyed.servers", engine.id, engine.entry())
        await asyncio.sleep(world.WARMUP_S)
        await self.store.put("keyed.servers", engine.id, engine.entry())

    async def fault_cold(self, rng):
        """An engine becomes cold without a new start."""
        engine = rng.choice(self.engines)
        if engine.is_leaving:
            return
        engine.is_leaving = True
        await self.be_cold(engine)
        engine.is_leaving = False

    async def fault_drain(self, rng):
        """The operators drain a data centre and take it back; its engines are cold then."""
        data_centre = f"dc{rng.randrange(2)}"
        if self.arrivals.drained:
            return
        await self.store.put("keyed.op", f"evacuate/{data_centre}", "{}")
        self.arrivals.drained[data_centre] = time.monotonic()
        await asyncio.sleep(rng.uniform(4, 9))
        del self.arrivals.drained[data_centre]
        for engine in self.engines:
            if engine.data_centre == data_centre:
                engine.become_cold()
        await self.store.put("keyed.op", f"evacuate/{data_centre}", "")

    async def fault_store(self, rng):
        """The store is slow, refuses, or goes silent for all or for some."""
        kind = rng.choice(["slow", "refuse", "some"])
        with self.disturbing("store"):
            if kind == "slow":
                self.store.delay = rng.uniform(0.1, 0.5)
            elif kind == "refuse":
                self.store.status = rng.choice([503, 429])
            else:
                proxy = rng.choice(self.store_proxies)
                proxy.set_mode(rng.choice(world.Proxy.MODES[1:]))
            await asyncio.sleep(rng.uniform(0.5, 4))
            self.store.delay, self.store.status = 0.0, 200
            for proxy in self.store_proxies:
                proxy.set_mode("pass")

    async def fault_configure(self, rng):
        """The operator writes a newer configuration."""
        del rng
        self.version += 1
        await self.store.put("keyed.op", "config", world.configuration(self.version, KEYS))

    async def cause_faults(self):
        """Faults in series that overlap."""
        faults = sorted(name for name in dir(self) if name.startswith("fault_"))
        running = []
        end = time.monotonic() + self.options.seconds
        while time.monotonic() < end:
            name = self.rng.choice(faults)
            if name == "fault_herd" and self.rng.random() < 0.7:
                continue
            rng = world.generator(self.options.seed, f"{name} {len(running)}")
            running.append(asyncio.create_task(getattr(self, name)(rng)))
            await asyncio.sleep(self.rng.uniform(0.1, 0.9))
        await asyncio.gather(*running)

    # Callers.

    async def caller(self, number):
        """Sends requests on kept connections, each to another router after a failure."""
        rng = world.generator(self.options.seed, f"caller {number}")
        connection = None
        while not self.is_over:
            if connection is None:
                connection = await self.connect(rng.choice(self.routers))
            if connection is not None:
                connection = await self.call(connection, rng)
            await asyncio.sleep(rng.uniform(0.01, 0.08))
        if connection:
            connection[1].close()

    @staticmethod
    async def connect(router):
        """A connection to a router, or None."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(router.ip, FRONT), 1)
            return reader, writer, router.number
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.05)
            return None

    async def call(self, connection, rng):
        """One request; gives the connection if it can be used again."""
        reader, writer, router = connection
        self.next_id += 1
        request = f"{self.options.seed:x}-{self.next_id:x}"
        kind = rng.choice("inss")
        self.kinds[request] = kind
        self.arrivals.sent[request] = (time.monotonic(), router)
        fields = {"host": "h", "lagoonbank-attempt-id": request, "api-key": rng.choice(KEYS),
                  "lagoonbank-deadline-remaining": "4000"}
        try:
            writer.write(wire.message(f"{KINDS[kind]} /{kind}/x HTTP/1.1", fields))
            keeps = await asyncio.wait_for(self.read_answer(reader, request, kind), 6)
        except (wire.Broken, OSError):
            self.note("cut", False)
            keeps = False
        except asyncio.TimeoutError:
            self.note("no answer", False)
            keeps = False
        if not keeps:
            writer.close()
            return None
        return connection

    async def read_answer(self, reader, request, kind):
        """Reads and checks one answer; whether the connection is kept."""
        head = await wire.read_head(reader)
        if head is None:
            raise wire.Broken("closed")
        status = int(head[0].split(" ")[1])
        fields = head[1]
        body = await wire.whole_body(reader, fields)
        if status in (429, 503, 408, 421):
            self.refused.add(request)
        if status == 200:
            self.check_whole(request, kind, fields, body)
        elif status in (400, 401, 403, 404):
            self.broken.append(f"{request} was answered {status} though it is proper")
        self.note(str(status), status == 200)
        return fields.get("connection", "").lower() != "close"

    def check_whole(self, request, kind, fields, body):
        """A success is the whole answer to this request and bears its proof."""
        whole = b"".join(world.event(request, n) for n in range(1, world.EVENTS + 1))
        expected = whole if kind == "s" else world.plain_body(request)
        if body != expected:
            self.broken.append(f"{request} got another body: {body[:80]!r}")
        if not fields.get("lagoonbank-server-seal") or fields.get(
                "lagoonbank-attempt-id") != request:
            self.broken.append(f"{request} got a success without its proof")

    def note(self, outcome, served):
        """Counts an outcome."""
        self.outcomes[outcome] += 1
        self.last_served.append((time.monotonic(), served))

    def check_runs(self):
        """What engines ran against what callers were told."""
        for request, engines in self.runs.items():
            if request not in self.kinds:
                self.broken.append(f"{request} ran though nobody sent it")
            elif self.kinds[request] == "n" and len(engines) > 1:
                self.broken.append(f"{request} may run once and ran at {engines}")
            if request in self.refused and self.kinds.get(request) == "n":
                self.broken.append(f"{request} was refused as not run and ran at {engines}")

    async def run(self):
        """The whole run; what was broken."""
        servers = await self.set_up()
        await asyncio.sleep(1)
        callers = [asyncio.create_task(self.caller(i)) for i in range(self.options.callers)]
        await self.cause_faults()
        await asyncio.sleep(RECOVERY_S)
        since = time.monotonic() - 2
        recent = [served for at, served in self.last_served if at > since]
        if not recent or sum(recent) < 0.9 * len(recent):
            self.broken.append(f"after the faults {sum(recent)} of {len(recent)} are served")
        self.is_over = True
        await asyncio.gather(*callers)
        for router in self.routers:
            await router.stop()
        for server in servers:
            server.close()
        self.check_runs()
        return self.broken


def main():
    """Reads the command line and runs once."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--router", required=True)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--routers", type=int, default=4)
    parser.add_argument("--engines", type=int, default=8)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--net", type=int, default=77,
                        help="second number of the loopback addresses; runs at once need several")
    parser.add_argument("--keep", help="folder for settings and logs; a new one if left out")
    options = parser.parse_args()
    if options.seed is None:
        options.seed = time.time_ns() % 1000000
    folder = pathlib.Path(options.keep or tempfile.mkdtemp(prefix="lagoonbank-soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    soak = Soak(options, folder)
    broken = asyncio.run(soak.run())
    print(f"seed {options.seed}: {dict(soak.outcomes)}, {len(soak.runs)} ran, {len(broken)} broken")
    for line in broken[:20]:
        print(f"  {line}")
    if broken:
        print(f"  logs: {folder}")
    elif not options.keep:
        shutil.rmtree(folder)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()

"""A small deployment for the cases of this review: real router processes, and stand-ins for the
platform's store, its balancer, the engines and the consumers. All addresses are loopback addresses.

The store and the HTTP code are the project's own stand-ins of tests/soak.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "soak"))

import wire  # noqa: E402  pylint: disable=wrong-import-position
import world  # noqa: E402  pylint: disable=wrong-import-position

RULE_HELD, RULE_BROKEN, COULD_NOT_RUN = 0, 1, 2

HOST = "shop.example"
PATH = "/chat/"
KEY = "key-of-t1"
BEAT_S = 1.2
STABLE_WINDOW_S = 3.0
GRACE_S = 8
MAX_GAP_MS = 250


class CaseCouldNotRun(Exception):
    """The deployment did not get into the state that the case needs."""


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the start."""

    def __init__(self, folder):
        self.started_at = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.file.flush()


def loopback_address():
    """A loopback address of this run's own. Outgoing connections use 127.0.0.1, so that none of
    them takes the port of a process that is about to start again."""
    return f"127.{random.randint(2, 250)}.{random.randint(0, 250)}.{random.randint(1, 250)}"


IP = loopback_address()


def free_port(taken=set()):  # pylint: disable=dangerous-default-value
    """A port that is free for both TCP and UDP at this run's address."""
    while True:
        port = random.randint(10000, 30000)
        if port in taken:
            continue
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((IP, port))
                udp.bind((IP, port))
            except OSError:
                continue
        taken.add(port)
        return port


def router_command():
    """The command of the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    return re.search(r'^run = "([^"]+)"', text, re.MULTILINE).group(1).split()


class Router:
    """One router process, with the settings that platform/settings.yaml.in gives it."""

    def __init__(self, name, zone, store_address, folder, record):
        self.name = name
        self.zone = zone
        self.record = record
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.yaml"
        self.process = None
        self.disturbed_at = 0.0  # Last start or signal.
        self.is_in_rotation = False
        self.misses = 0
        self.ip = IP
        self.front, self.ready, self.metrics, self.peer = (free_port() for _ in range(4))
        self.settings.write_text("".join(f"{key}: {value}\n" for key, value in {
            "vm": json.dumps(name), "data_centre": json.dumps(zone),
            "listen_address": f'"{self.ip}:{self.front}"',
            "ready_address": f'"{self.ip}:{self.ready}"',
            "metrics_address": f'"{self.ip}:{self.metrics}"',
            "peer_address": f'"{self.ip}:{self.peer}"',
            "strength": 1000.0, "store_address": f'"{store_address}"'}.items())
            + "retry_budget:\n  ratio: 0.2\n  slack: 52\n", encoding="utf-8")

    def start(self):
        """Starts the process in the repository's root, as the platform does."""
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                router_command(), cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""), "LAGOONBANK_NODE_FILE": str(self.settings)})
        self.disturbed_at = time.monotonic()
        self.record(f"{self.name} starts, process {self.process.pid}")

    def send_signal(self, number):
        """Sends a signal to the process if it is running."""
        if self.process and self.process.poll() is None:
            self.record(f"{self.name} gets {signal.Signals(number).name}")
            self.disturbed_at = time.monotonic()
            self.process.send_signal(number)

    def is_in_touch(self):
        """Whether its process runs, and has had no start and no signal for stable_window_ms."""
        return self.process.poll() is None and time.monotonic() - self.disturbed_at > STABLE_WINDOW_S

    async def ended(self, seconds):
        """Waits for the end of the process; whether it came in time."""
        end = time.monotonic() + seconds
        while self.process.poll() is None:
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.02)
        self.record(f"{self.name} has ended with {self.process.returncode}")
        return True

    async def is_ready(self):
        """The answer to the platform's status check."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.ready), 0.5)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(wire.message("GET /v1/readiness HTTP/1.1", {"host": "h"}))
            head = await asyncio.wait_for(wire.read_head(reader), 0.5)
            return head is not None and " 200 " in head[0] + " "
        except (wire.ConnectionBroken, OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()


class Engine:
    """A model engine that streams events, with its entry in the store."""

    def __init__(self, name, version, zone, deployment):
        self.id = f"i-{name}"
        self.version = version
        self.zone = zone
        self.deployment = deployment
        self.record = deployment.record
        self.born = time.time_ns() // 1_000_000
        self.seq = 0
        self.event_s = 0.1
        self.server = None
        self.address = None
        self.writers = set()
        self.running = 0
        self.beat = None

    async def start(self):
        """Listens, and registers itself."""
        port = free_port()
        self.server = await wire.serve(IP, port, self.handle)
        self.address = f"{IP}:{port}"
        self.beat = asyncio.create_task(self.keep_registered())

    def entry(self):
        """The engine's entry in the store."""
        self.seq += 1
        return json.dumps({"service": "llm", "address": self.address, "zone": self.zone,
                           "version": self.version, "slots": 64, "state": "ready",
                           "warmup_left_ms": 0, "seq": self.seq, "born": self.born})

    async def keep_registered(self):
        """Writes the entry at each beat."""
        while True:
            await self.deployment.store.put("keyed.servers", self.id, self.entry())
            await asyncio.sleep(BEAT_S)

    async def deregister(self):
        """Leaves without a report of draining: the entry is removed, the engine serves on."""
        self.beat.cancel()
        await self.deployment.store.put("keyed.servers", self.id, "")
        self.record(f"the entry of {self.id} ({self.version}) is removed; it serves on")

    def exit(self):
        """Ends the engine; its channels are closed."""
        self.record(f"{self.id} ({self.version}) exits with {self.running} runs")
        self.beat.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def handle(self, start_line, fields, body, writer):
        """Handles one request; returns whether the channel is kept."""
        del body
        request = fields.get("lagoonbank-attempt-id", "")
        head = {"lagoonbank-attempt-id": request, "lagoonbank-instance-id": self.id}
        if fields.get("lagoonbank-expect-instance", self.id) != self.id:
            writer.write(wire.message("HTTP/1.1 421 Misdirected Request", head))
            return True
        if not start_line.startswith(f"POST {PATH}"):
            writer.write(wire.message("HTTP/1.1 404 Not Found", head))
            return True
        after = int(fields.get("last-event-id", "0"))
        self.record(f"{self.id} ({self.version}) runs {request} from event {after + 1}")
        self.writers.add(writer)
        self.running += 1
        try:
            return await self.stream(request, after, head, writer)
        finally:
            self.running -= 1
            self.writers.discard(writer)

    async def stream(self, request, after, head, writer):
        """Streams the events after number `after`."""
        load = f"{self.running},0,64"
        writer.write(wire.unframed_head(
            "HTTP/1.1 200 OK",
            head | {"lagoonbank-server-seal": f"seal.{self.id}", "lagoonbank-engine-load": load,
                    "content-type": "text/event-stream", "transfer-encoding": "chunked"}))
        for number in range(after + 1, self.deployment.events + 1):
            if writer.has_left() or writer.transport.is_closing():
                self.record(f"{self.id} ends {request} before event {number}: channel closed")
                return False
            writer.write(wire.chunk(world.event(request, number, self.version)))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Deployment:
    """Store, balancer, engines and routers of one run, all ended at its end."""

    def __init__(self, folder, record, events):
        self.folder = folder
        self.record = record
        self.events = events
        self.store = world.Store()
        self.store_address = None
        self.routers = []
        self.engines = []
        self.tasks = []
        self.servers = []

    async def start_store(self):
        """Starts the store and writes the first configuration."""
        port = free_port()
        self.servers.append(await wire.serve(IP, port, self.store.handle))
        self.store_address = f"{IP}:{port}"
        await self.store.put("keyed.op", "config", json.dumps({
            "version": 1,
            "routes": [{"name": "chat", "host": HOST, "prefix": PATH, "kind": "streaming",
                        "service": "llm", "max_attempts": 2, "timeout_ms": 15000,
                        "target_latency_ms": 800, "max_gap_ms": MAX_GAP_MS, "priority": 1,
                        "resumable": True}],
            "services": [{"name": "llm", "health_path": "/health", "max_conns": 360}],
            "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000,
                       "idle_ms": 15000},
            "tenants": [{"name": "t1", "keys": [KEY]}]}))

    async def add_engine(self, name, version, zone):
        """Starts an engine."""
        engine = Engine(name, version, zone, self)
        await engine.start()
        self.engines.append(engine)
        return engine

    def add_router(self, name, zone):
        """Starts a router on a new machine."""
        router = Router(name, zone, self.store_address, self.folder, self.record)
        router.start()
        self.routers.append(router)
        return router

    def start_balancer(self):
        """Asks each machine once a second whether it is ready; two misses take it out."""
        self.tasks.append(asyncio.create_task(self.balance()))

    async def balance(self):
        """The platform's status checks."""
        while True:
            await asyncio.gather(*(self.check(router) for router in list(self.routers)))
            await asyncio.sleep(1)

    async def check(self, router):
        """One status check of one machine."""
        if await router.is_ready():
            router.misses = 0
            is_in = True
        else:
            router.misses += 1
            is_in = router.is_in_rotation and router.misses < 2
        if is_in != router.is_in_rotation:
            self.record(f"the balancer {'puts ' + router.name + ' in' if is_in else 'takes ' + router.name + ' out'}")
        router.is_in_rotation = is_in

    def node_for(self, consumer, other_than=None):
        """The machine that gets the next channel of a consumer; retries meet others."""
        nodes = [router for router in self.routers if router.is_in_rotation]
        if 2 * len(nodes) < len(self.routers):
            nodes = self.routers  # As the platform does if fewer than half are in rotation.
        others = [router for router in nodes if router is not other_than]
        nodes = others or nodes
        return nodes[consumer % len(nodes)] if nodes else None

    async def until_in_rotation(self, routers, seconds):
        """Waits until these machines get consumers."""
        end = time.monotonic() + seconds
        while not all(router.is_in_rotation for router in routers):
            if time.monotonic() > end:
                raise CaseCouldNotRun("a router did not become ready in time")
            await asyncio.sleep(0.05)

    async def close(self):
        """Ends all processes and stand-ins."""
        for task in self.tasks:
            task.cancel()
        for router in self.routers:
            if router.process and router.process.poll() is None:
                router.process.kill()
        for router in self.routers:
            if router.process:
                router.process.wait()
        for engine in self.engines:
            engine.beat.cancel()
            engine.server.close()
        for server in self.servers:
            server.close()


class Stream:
    """One stream of a consumer: its first attempt and those that take it up again."""

    MAX_RESUMES = 3
    RETRY_S = 0.02  # Pause before the next try, unless the answer gives one.

    def __init__(self, deployment, consumer, name):
        self.deployment = deployment
        self.record = deployment.record
        self.consumer = consumer
        self.name = name
        self.first = ""  # Id of the attempt that brought the first event.
        self.received = 0
        self.versions = []  # Versions of its events, in order, without repetition.
        # For each attempt that takes it up and gets an answer: (router, whether the stream went on,
        # whether that router was in touch).
        self.took_up = []
        self.began_in_touch = None  # Whether the first attempt at a machine in touch brought events.
        self.router = None
        self.ended = ""
        self.status = 0

    def pick(self):
        """The machine that gets the next channel."""
        return self.deployment.node_for(self.consumer, self.router)

    async def run(self):
        """Reads the stream to its end; takes it up again after a broken channel."""
        deadline = time.monotonic() + 15
        for attempt in range(1 + self.MAX_RESUMES):
            router = self.pick()
            if router is None or time.monotonic() > deadline:
                break
            request = f"{self.name}-{attempt}"
            before = self.received
            self.router = router
            was_in_touch = router.is_in_touch()
            is_resuming = before > 0
            retry_after = await self.attempt(router, request, deadline)
            if not is_resuming and self.began_in_touch is None and was_in_touch and self.status:
                self.began_in_touch = self.received > 0
            if is_resuming and self.status:
                self.took_up.append((router, self.received > before, was_in_touch))
            if self.ended:
                return
            await asyncio.sleep(retry_after if retry_after is not None else self.RETRY_S)
        self.ended = self.ended or "given up"
        self.record(f"consumer: {self.name} given up after event {self.received}")

    async def attempt(self, router, request, deadline):
        """Sends the request once; returns the Retry-After of a refusal, if there is one."""
        fields = {"host": HOST, "lagoonbank-attempt-id": request, "api-key": KEY,
                  "lagoonbank-deadline-remaining": int((deadline - time.monotonic()) * 1000)}
        if self.received:
            fields |= {"last-event-id": self.received, "resumes": self.first}
        self.status = 0
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(router.ip, router.front), 1)
            self.record(f"consumer: {request} sent to {router.name}, "
                        f"after event {self.received}, resumes '{fields.get('resumes', '')}'")
            writer.write(wire.message(f"POST {PATH}x HTTP/1.1", fields, b"{}"))
            head = await asyncio.wait_for(wire.read_head(reader), 5)
            if head is None:
                raise wire.ConnectionBroken("no answer")
            self.status = int(head[0].split()[1])
            if self.status != 200:
                retry_after = head[1].get("retry-after")
                self.record(f"consumer: {request} gets {self.status}, retry-after {retry_after}")
                return float(retry_after) if retry_after else None
            await self.read_events(reader, head[1], request)
            self.ended = "complete"
            self.record(f"consumer: {request} is complete after event {self.received}, "
                        f"versions {self.versions}")
        except (wire.ConnectionBroken, OSError, asyncio.TimeoutError) as error:
            self.record(f"consumer: {request} breaks after event {self.received}: "
                        f"{type(error).__name__} {error}")
        finally:
            if writer:
                writer.close()
        return None

    async def read_events(self, reader, fields, request):
        """Reads the events of one answer."""
        rest = b""
        body = wire.read_body(reader, fields)
        while True:
            try:
                piece = await asyncio.wait_for(body.__anext__(), 3.2)
            except StopAsyncIteration:
                break
            rest += piece
            while b"\n\n" in rest:
                event, rest = rest.split(b"\n\n", 1)
                self.take(event.decode(), request)
        if rest:
            raise wire.ConnectionBroken("the stream ends inside an event")

    def take(self, event, request):
        """Takes one event."""
        number = int(re.search(r"^id: (\d+)", event).group(1))
        version = event.rsplit(" ", 1)[1].strip()
        if not self.received:
            self.first = request
        if number != self.received + 1:
            self.record(f"consumer: {request} gets event {number} after {self.received}")
        self.received = number
        if not self.versions or self.versions[-1] != version:
            self.versions.append(version)
            self.record(f"consumer: {request} event {number} is of version {version}")


async def run_until_stopped(play):
    """Runs the case, for 110 s at most. SIGTERM and SIGINT end it with all its processes."""
    task = asyncio.ensure_future(play)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, 110)


def run_case(case):
    """Runs `case(folder for logs, record, has_trouble)`; exits with its result."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    result = COULD_NOT_RUN
    with tempfile.TemporaryDirectory(prefix="lagoonbank-review-") as scratch:
        try:
            result = asyncio.run(run_until_stopped(case(pathlib.Path(scratch), record, has_trouble)))
        except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
            # A fault of the case itself must not look like a broken rule.
            record(f"the case could not run: {type(error).__name__} {error}")
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            subprocess.run(["cp", "-r", scratch, keep], check=False)
    record({RULE_HELD: "rule held", RULE_BROKEN: "rule broken",
            COULD_NOT_RUN: "could not run"}[result])
    print(*(folder / "record.txt").read_text(encoding="utf-8").splitlines()[-2:], sep="\n")
    sys.exit(result)

"""Stand-ins for the platform, its store, engines and consumers, and the router processes of a case.

The router is started with the command and the settings template of the deploy file. Every process
and stand-in has a loopback address of its own, so that all can use the same ports. The ports are
below the range that the system uses for outgoing connections.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
FRONT, READY, CONTROL, PORT_RANGE, STORE, ENGINE = 21200, 21201, 21202, 21210, 21300, 21400
BEAT_S = 1.2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, KEY, TENANT = "ficu95.example", "n2ctnfzs989anu6wsjnb", "hule930"


class Broken(Exception):
    """A channel ended before the message on it was complete."""


# HTTP/1.1


async def read_head(reader):
    """Returns the start line and the header fields; None if the channel was closed before them."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Broken("closed within a head") from error
        return None
    except (OSError, asyncio.LimitOverrunError) as error:
        raise Broken(f"no head: {error!r}") from error
    lines = raw[:-4].decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_pieces(reader, fields, is_answer=False):
    """Yields a body as it arrives."""
    try:
        if fields.get("transfer-encoding") == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                yield (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        elif "content-length" in fields:
            left = int(fields["content-length"])
            while left:
                piece = await reader.read(min(left, 65536))
                if not piece:
                    raise Broken(f"closed {left} bytes before the end of the body")
                left -= len(piece)
                yield piece
        elif is_answer:
            while piece := await reader.read(65536):
                yield piece
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise Broken(f"broken body: {error!r}") from error


async def read_body(reader, fields, is_answer=False):
    """Reads a whole body."""
    return b"".join([piece async for piece in read_pieces(reader, fields, is_answer)])


def head(start_line, fields):
    """Encodes a start line and header fields."""
    lines = [start_line] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def message(start_line, fields, body=b""):
    """Encodes a message with its length."""
    return head(start_line, fields | {"Content-Length": len(body)}) + body


def chunk(piece):
    """Encodes one chunk."""
    return f"{len(piece):x}\r\n".encode() + piece + b"\r\n"


def reset(writer):
    """Resets a channel."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Server:
    """An HTTP server that knows its channels."""

    def __init__(self, ip, port, handle):
        self.ip, self.port, self.handle = ip, port, handle
        self.server = None
        self.writers = set()

    async def listen(self):
        self.server = await asyncio.start_server(self.connected, self.ip, self.port, backlog=512,
                                                 reuse_address=True)

    def refuse_new(self):
        """New channels are refused from now on; open ones live on."""
        if self.server:
            self.server.close()
            self.server = None

    def reset_all(self):
        """Resets all open channels."""
        for writer in list(self.writers):
            reset(writer)

    async def connected(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                body = await read_body(reader, request[1])
                if not await self.handle(request[0], request[1], body, reader, writer):
                    break
        except (Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# Store


class Store:
    """The platform's store: a log of keyed topics with one partition each."""

    def __init__(self, answer_s=0.004):
        self.records = collections.defaultdict(list)  # Topic -> (key, value); None is a removal.
        self.era = 1
        self.answer_s = answer_s
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        """Appends a record; returns its offset."""
        self.records[topic].append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(self.records[topic]) - 1

    async def handle(self, start_line, _fields, body, _reader, writer):
        method, target, _ = start_line.split(" ")
        path, _, query = target.partition("?")
        parameters = dict(item.split("=", 1) for item in query.split("&") if item)
        await asyncio.sleep(self.answer_s)
        calls = {"GET /v1/log-newest": self.newest, "GET /v1/log-read": self.read,
                 "POST /v1/log-append": self.append}
        call = calls.get(f"{method} {path}")
        status, answer = await call(parameters, body) if call else (404, b"{}")
        writer.write(message(f"HTTP/1.1 {status} -", {"Store-Era": self.era}, answer))
        await writer.drain()
        return True

    async def newest(self, parameters, _body):
        records = self.records[parameters["topic"]]
        newest = {key: (value, offset) for offset, (key, value) in enumerate(records)}
        after = bytes.fromhex("".join(
            part[:2] + part[2:].encode().hex() if index else part.encode().hex()
            for index, part in enumerate(parameters.get("after", "").split("%")))).decode()
        keys = sorted(key for key, (value, _) in newest.items() if value and key > after)
        items = [{"key": key, "value": base64.b64encode(newest[key][0]).decode(),
                  "offset": newest[key][1]} for key in keys[:500]]
        return 200, json.dumps({"items": items, "has_more": len(keys) > 500,
                                "end": len(records)}).encode()

    async def read(self, parameters, _body):
        topic, start = parameters["topic"], int(parameters["from"])
        until = time.monotonic() + int(parameters.get("wait_ms", 0)) / 1000
        if start > len(self.records[topic]):
            return 410, b'{"first":0}'
        while len(self.records[topic]) <= start and (left := until - time.monotonic()) > 0:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                break
        out = struct.pack(">QQ", len(self.records[topic]), 0)
        for key, value in self.records[topic][start:]:
            content = bytes([len(key.encode())]) + key.encode() + (value or b"")
            out += struct.pack(">I", len(content)) + content
        return 200, out

    async def append(self, parameters, body):
        topic = parameters["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        first = len(self.records[topic])
        while body:
            size = struct.unpack(">I", body[:4])[0]
            content, body = body[4:4 + size], body[4 + size:]
            key_size = content[0]
            self.put(topic, content[1:1 + key_size].decode(), content[1 + key_size:] or None)
        return 200, json.dumps({"offset": first, "end": len(self.records[topic])}).encode()


def route(name, kind, service, **other):
    """A route of the configuration."""
    return {"name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind, "service": service,
            "max_attempts": 2, "timeout_ms": 1500, "target_latency_ms": 300, "priority": 1,
            "resumable": False, "anonymous": False, "session_affinity": False} | other


def configuration(version, routes, services, idle_ms=5000, keys=(KEY,)):
    """The configuration that the operator writes to op/config."""
    return json.dumps({
        "version": version, "routes": routes, "services": [{"name": name} for name in services],
        "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000,
                   "idle_ms": idle_ms},
        "tenants": [{"name": TENANT, "keys": list(keys)}]}).encode()


# Engines


class Engine:
    """An engine: plain answers, or streams of numbered events. Echoes ids and seals its answers."""

    def __init__(self, case, ip, name, service, version="v1", slots=64, work_s=0.02, events=60,
                 event_s=0.1, body_bytes=800):
        self.case, self.ip, self.id, self.service, self.version = case, ip, name, service, version
        self.slots, self.work_s, self.events, self.event_s = slots, work_s, events, event_s
        self.body_bytes = body_bytes
        self.born = time.time_ns() // 1_000_000
        self.seq = 0
        self.running = 0
        self.state = "ready"
        self.server = Server(ip, ENGINE, self.handle)
        self.beats = None

    async def start(self):
        await self.server.listen()
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(BEAT_S * random.uniform(0.95, 1.05))

    def write_entry(self):
        self.seq += 1
        self.case.store.put("keyed.servers", self.id, json.dumps({
            "service": self.service, "address": f"{self.ip}:{ENGINE}", "zone": "zone-a",
            "version": self.version, "slots": self.slots, "state": self.state,
            "warmup_left_ms": 0, "seq": self.seq, "born": self.born}).encode())

    def fields(self, request_id):
        return {"Lagoonbank-Attempt-Id": request_id, "Lagoonbank-Instance-Id": self.id,
                "Lagoonbank-Server-Seal": f"{self.id}.{request_id}",
                "Lagoonbank-Engine-Load": f"{self.running},0,{self.slots}"}

    async def handle(self, start_line, fields, body, reader, writer):
        request_id = fields.get("lagoonbank-attempt-id", "")
        expected = fields.get("lagoonbank-expect-instance")
        if expected and expected != self.id:
            writer.write(message("HTTP/1.1 421 Misdirected Request",
                                 {"Lagoonbank-Attempt-Id": request_id,
                                  "Lagoonbank-Instance-Id": self.id}))
            return True
        if self.running >= self.slots:
            writer.write(message("HTTP/1.1 503 Service Unavailable",
                                 {"Lagoonbank-Attempt-Id": request_id,
                                  "Lagoonbank-Not-Executed": "1"}))
            return True
        self.running += 1
        after = fields.get("last-event-id")
        self.case.log(f"{self.id} ({self.version}) runs {request_id}"
                      + (f" after event {after}" if after else ""))
        try:
            return await self.run(start_line, fields, request_id, writer)
        finally:
            self.running -= 1

    async def run(self, start_line, fields, request_id, writer):
        await asyncio.sleep(self.work_s)
        if self.service == "app":
            answer = plain_answer(request_id, self.body_bytes)
            writer.write(message("HTTP/1.1 200 OK", self.fields(request_id), answer))
            await writer.drain()
            return True
        writer.write(head("HTTP/1.1 200 OK", self.fields(request_id)
                          | {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
        for number in range(int(fields.get("last-event-id", "0")) + 1, self.events + 1):
            writer.write(chunk(f"id: {number}\ndata: {self.version}\n\n".encode()))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def plain_answer(request_id, size):
    """The body of a plain answer; it names its request."""
    return (f"answer to {request_id} ".encode() * (size // 10))[:size]


# Router processes


def render(template, fields):
    """Fills in a settings template as the platform does; only what the project's template uses."""
    def value(name):
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match):
        return match[2] if value(match[1]) not in (None, False) else ""

    def placeholder(match):
        found = value(match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


class Router:
    """A machine of the system with its router process."""

    def __init__(self, case, ip, name, zone="zone-a"):
        self.case, self.ip, self.name, self.zone = case, ip, name, zone
        self.process = None
        self.is_in = False  # In the rotation of the platform's balancer.
        self.misses = 0

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["router"]
        fields = {"node_name": self.name, "zone": self.zone, "ip_addr": self.ip,
                  "port_range": [PORT_RANGE, PORT_RANGE + 15],
                  "listen": {"front": f"{self.ip}:{FRONT}", "ready": f"{self.ip}:{READY}",
                             "control": f"{self.ip}:{CONTROL}"},
                  "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4200,
                             "link_mbps": 1000, "disk_mb": 0},
                  "rule_params": {"budget_ratio": 0.2, "budget_window_s": 10, "retry_slack": 52},
                  "platform": {"address": self.case.store_address}}
        settings = self.case.folder / f"{self.name}.yaml"
        settings.write_text(render((ROOT / deploy["template"]).read_text(), fields))
        log = open(self.case.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(deploy["run"].split(), cwd=ROOT, stdout=log, stderr=log,
                                        env={"PATH": os.environ.get("PATH", ""),
                                             "LAGOONBANK_NODE_FILE": str(settings)})
        log.close()
        self.case.log(f"{self.name} is started, process {self.process.pid}")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def is_ready(self):
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, READY), 0.5)
            writer.write(head("GET /v1/readiness HTTP/1.1", {"Host": self.ip}))
            answer = await asyncio.wait_for(read_head(reader), 0.5)
            return answer is not None and answer[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError, Broken):
            return False
        finally:
            if writer:
                writer.close()


# Cases


class Case:
    """A run of a case: its processes, its stand-ins and its record."""

    def __init__(self, folder):
        self.record_path = pathlib.Path(folder) / "record.txt"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="lagoonbank-review-"))
        self.net = self.free_net()
        self.store = Store()
        self.store_address = f"{self.net}.1:{STORE}"
        self.routers, self.engines, self.tasks = [], [], []
        self.began = time.monotonic()
        self.lines = []

    @staticmethod
    def free_net():
        """The first three octets of loopback addresses that no other run uses."""
        chooser = random.SystemRandom()
        for _ in range(100):
            net = f"127.{chooser.randrange(40, 250)}.{chooser.randrange(1, 250)}"
            with socket.socket() as probe:
                try:
                    probe.bind((f"{net}.1", STORE))
                    return net
                except OSError:
                    continue
        raise RuntimeError("no free loopback address")

    def now(self):
        return time.monotonic() - self.began

    def log(self, line):
        self.lines.append(f"{self.now():8.3f} {line}")

    async def start(self, config, engines, routers, zones=("zone-a",)):
        """Starts the store, engines and routers. Returns once all routers are ready."""
        store = Server(f"{self.net}.1", STORE, self.store.handle)
        await store.listen()
        self.store.put("keyed.op", "config", config)
        self.engines = engines
        for engine in engines:
            await engine.start()
        for number in range(routers):
            zone = zones[number % len(zones)]
            self.routers.append(Router(self, f"{self.net}.{100 + number}",
                                       f"edge-{zone}-{number}", zone))
        for router in self.routers:
            router.start()
        await self.until_ready(self.routers)
        self.tasks.append(asyncio.create_task(self.balance()))

    async def until_ready(self, routers, seconds=15):
        end = time.monotonic() + seconds
        for router in routers:
            while not await router.is_ready():
                if time.monotonic() > end:
                    raise RuntimeError(f"{router.name} doesn't become ready")
                await asyncio.sleep(0.05)
            router.is_in, router.misses = True, 0
            self.log(f"{router.name} is ready")

    async def balance(self):
        """Asks each machine once per second; two misses take it out, one 200 takes it in."""
        async def ask(router):
            if await router.is_ready():
                if not router.is_in:
                    self.log(f"the balancer takes {router.name} in")
                router.is_in, router.misses = True, 0
                return
            router.misses += 1
            if router.is_in and router.misses >= 2:
                self.log(f"the balancer takes {router.name} out")
                router.is_in = False
        while True:
            await asyncio.gather(*(ask(router) for router in self.routers), asyncio.sleep(1))

    def choose_router(self, tried=()):
        """The machine that gets a new channel; retries meet other machines."""
        candidates = [router for router in self.routers if router.is_in] or self.routers
        others = [router for router in candidates if router not in tried]
        return random.choice(others or candidates)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for router in self.routers:
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGKILL)
        for router in self.routers:
            if router.process:
                router.process.wait()

    def write_record(self, keeps_logs):
        self.record_path.write_text("\n".join(self.lines) + "\n")
        if not keeps_logs or not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


class CouldNotRun(Exception):
    """The case could not show anything."""


def run_case(folder, play):
    """Runs a case; exits 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    case = Case(folder)

    async def run():
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(play(case), 110)
        finally:
            await case.stop()
    code = 2
    try:
        is_broken = asyncio.run(run())
        code = 1 if is_broken else 0
        case.log("rule broken" if is_broken else "rule held")
    except (CouldNotRun, RuntimeError, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
        case.log(f"could not run: {error!r}")
    case.write_record(code != 0)
    print("\n".join(case.lines[-12:]))
    if os.environ.get("KEEP_LOGS"):
        print(f"logs: {case.folder}")
    sys.exit(code)


# Consumers of streams


class Stream:
    """A stream that a consumer begins and takes up again after a broken channel."""

    def __init__(self, case, name, events, retries=3, pause_s=0.3, limit_s=15, gap_s=2.0,
                 path=None):
        self.case, self.name, self.events = case, name, events
        self.path = path or f"/stream/{name}"
        self.fields = {}  # Further header fields of each request.
        self.retries, self.pause_s = retries, pause_s
        self.gap_s = gap_s  # The consumer abandons a stream after a gap of this length.
        self.end = time.monotonic() + limit_s
        self.received = 0
        self.first_id = None  # The attempt that brought the first event.
        self.versions = []
        self.is_complete = False
        self.tries = []  # One entry per consumer attempt: dict.
        self.writer = None
        self.breaks = 0

    async def run(self):
        """Sends attempts until the stream is complete or the consumer gives up."""
        tried, left = [], self.retries
        while True:
            router = self.case.choose_router(tried)
            tried.append(router)
            before = self.received
            wait_s = await self.attempt(router)
            if self.tries[-1]["outcome"] == "complete":
                return
            if self.received > before:
                tried, left = [router], self.retries
            elif left == 0:
                self.case.log(f"{self.name} is given up after event {self.received}")
                return
            else:
                left -= 1
            if time.monotonic() + wait_s > self.end:
                self.case.log(f"{self.name} is given up for time after event {self.received}")
                return
            await asyncio.sleep(wait_s)

    async def attempt(self, router):
        """One consumer attempt; returns the time to wait before the next one."""
        request_id = f"{self.name}-{len(self.tries)}"
        entry = {"at": self.case.now(), "router": router, "resumes": self.received > 0,
                 "events": 0, "outcome": ""}
        self.tries.append(entry)
        left_s = self.end - time.monotonic()
        fields = {"Host": HOST, "Lagoonbank-Attempt-Id": request_id, "Api-Key": KEY,
                  "Lagoonbank-Deadline-Remaining": max(1, int(left_s * 1000))} | self.fields
        if self.received:
            fields |= {"Last-Event-Id": self.received, "Resumes": self.first_id}
        self.case.log(f"{request_id} sent to {router.name}" + (
            f", goes on after event {self.received}" if self.received else ""))
        wait_s = self.pause_s
        try:
            reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(router.ip, FRONT), 1)
            self.writer.write(message(f"POST {self.path} HTTP/1.1", fields))
            answer = await asyncio.wait_for(read_head(reader), min(self.gap_s, left_s))
            if answer is None:
                raise Broken("closed without an answer")
            status = answer[0].split(" ")[1]
            if status != "200":
                wait_s = max(wait_s, float(answer[1].get("retry-after", 0)))
                body = await asyncio.wait_for(read_body(reader, answer[1], True), 2)
                entry["outcome"] = f"{status} {body.decode()[:80]}"
            else:
                await self.read_events(reader, answer[1], entry, request_id)
                entry["outcome"] = "complete"
        except (OSError, Broken, asyncio.TimeoutError) as error:
            entry["outcome"] = "broken: " + ("a gap" if isinstance(error, asyncio.TimeoutError)
                                             else str(error) or repr(error))
        finally:
            if self.writer:
                self.writer.close()
        self.case.log(f"{request_id} ends after event {self.received}: {entry['outcome']}")
        return wait_s

    async def read_events(self, reader, fields, entry, request_id):
        pieces = read_pieces(reader, fields, True)
        text = b""
        while True:
            try:
                text += await asyncio.wait_for(pieces.__anext__(), self.gap_s)
            except StopAsyncIteration:
                break
            while b"\n\n" in text:
                event, text = text.split(b"\n\n", 1)
                number = int(re.search(rb"id: (\d+)", event)[1])
                version = re.search(rb"data: (\w+)", event)[1].decode()
                if number != self.received + 1:
                    self.case.log(f"{request_id} gets event {number} after {self.received}")
                self.received = number
                if not entry["events"]:
                    self.case.log(f"{request_id} gets event {number}, {version}")
                entry["events"] += 1
                self.first_id = self.first_id or request_id
                if version not in self.versions:
                    self.versions.append(version)
        self.is_complete = self.received >= self.events

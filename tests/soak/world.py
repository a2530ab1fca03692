"""The environment of the routers in a soak run: a store, engines and proxies, all with faults."""

import asyncio
import base64
import json
import random
import time

import wire


class Proxy:
    """Forwards connections, or delays, resets, silences or refuses them, or drops one direction."""

    MODES = ("pass", "delay", "reset", "silent", "cut_in", "cut_out", "refuse")

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.writers = set()
        self.server = None
        self.address = None

    async def start(self, ip, port):
        """Starts to listen; returns the proxy itself."""
        self.address = (ip, port)
        self.server = await asyncio.start_server(self.connected, ip, port)
        return self

    def close(self):
        """Closes all connections and the socket, as the end of the target's process does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def set_mode(self, mode):
        """Sets how connections are treated, open ones included."""
        self.mode = mode
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    async def connected(self, reader, writer):
        """Forwards one connection."""
        if self.mode in ("reset", "refuse"):
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, up_writer}
        try:
            await asyncio.gather(self.forward(reader, up_writer, "cut_in"),
                                 self.forward(up_reader, writer, "cut_out"))
        except asyncio.CancelledError:
            pass  # The run is over.
        self.writers -= {writer, up_writer}

    async def forward(self, reader, writer, cut):
        """Forwards one direction; once bytes are dropped, everything after them is dropped too."""
        lost = False
        try:
            while piece := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.08)
                lost = lost or self.mode in ("silent", cut)
                if not lost:
                    writer.write(piece)
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            if not lost:
                writer.close()


class Store:
    """The platform's store: topics of keyed records, with the newest value of each key."""

    def __init__(self):
        self.records = {}  # topic -> list of (key, value)
        self.times = {}  # topic -> times of its records
        self.written = {}  # topic -> newest value of each key, whether or not it was lost since
        self.era = 1
        self.status = 200
        self.is_away = False
        self.is_silent = False  # Calls get no answer at all.
        self.answered_topics = ()  # These are answered even while the store is away or silent.
        self.delay = 0.0
        self.changed = asyncio.Condition()

    async def put(self, topic, key, value):
        """Appends a record; an empty value removes the key."""
        self.written.setdefault(topic, {})[key] = value
        async with self.changed:
            self.records.setdefault(topic, []).append((key, value))
            self.times.setdefault(topic, []).append(time.monotonic())
            self.changed.notify_all()

    def restore(self, age):
        """Reverts all topics to their state of `age` seconds ago."""
        self.era += 1
        for topic, times in self.times.items():
            count = sum(1 for written_at in times if written_at <= time.monotonic() - age)
            del times[count:], self.records[topic][count:]

    def newest(self, topic):
        """The newest value of each key, empty if the key was removed."""
        return dict(self.records.get(topic, []))

    async def handle(self, start_line, fields, body, writer):
        """Handles one call."""
        del fields
        await asyncio.sleep(self.delay)
        path, _, query = start_line.split(" ")[1].partition("?")
        parameters = dict(item.split("=", 1) for item in query.split("&"))
        is_answered = parameters.get("topic") in self.answered_topics
        if self.is_silent and not is_answered:
            await asyncio.sleep(60)
        status = 503 if self.is_away and not is_answered else self.status
        era = self.era
        answer = b""
        if status == 200:
            answer = await getattr(self, path.rsplit("/", 1)[1].replace("-", "_"))(parameters, body)
        if era != self.era or answer is None:
            status, answer = 410, b'{"first":0}'
        writer.write(wire.message(f"HTTP/1.1 {status} -", {"store-era": self.era}, answer))
        await writer.drain()
        return True

    async def log_newest(self, parameters, body):
        """All keys with their newest values, on one page."""
        del body
        records = self.records.get(parameters["topic"], [])
        newest = {key: (value, offset) for offset, (key, value) in enumerate(records)}
        def encoded(value):
            return base64.b64encode(value.encode(errors="surrogateescape")).decode()
        items = [{"key": key, "value": encoded(value), "offset": offset}
                 for key, (value, offset) in sorted(newest.items()) if value]
        return json.dumps({"items": items, "has_more": False, "end": len(records)}).encode()

    async def log_read(self, parameters, body):
        """The records from an offset on; waits for new ones up to wait_ms. None beyond the end."""
        del body
        start = int(parameters["from"])
        def end():
            return len(self.records.get(parameters["topic"], []))
        if start > end():
            return None
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(lambda: end() > start),
                                       int(parameters.get("wait_ms", 0)) / 1000)
            except asyncio.TimeoutError:
                pass
        out = end().to_bytes(8, "big") + bytes(8)
        for key, value in self.records.get(parameters["topic"], [])[start:]:
            content = bytes([len(key)]) + key.encode() + value.encode(errors="surrogateescape")
            out += len(content).to_bytes(4, "big") + content
        return out

    async def log_append(self, parameters, body):
        """Appends one record."""
        size = body[4]
        await self.put(parameters["topic"], body[5:5 + size].decode(),
                       body[5 + size:].decode(errors="surrogateescape"))
        return b'{"offset":0,"end":1}'


EVENTS = 8
# A cold engine takes WARMUP_PER_S requests a second for WARMUP_S. In any second a fleet may send it
# COLD_EXCESS times that number plus COLD_SLACK.
WARMUP_S, WARMUP_PER_S = 2.0, 16
COLD_EXCESS, COLD_SLACK = 1.5, 5


def event(request_id, number, version="v1"):
    """One event of the stream that answers a request."""
    return f"id: {number}\ndata: {request_id}-{number} {version}\n\n".encode()


def answer_head(request_id, endpoint_id):
    """Headers of an answer that an endpoint itself sends."""
    return {"lagoonbank-attempt-id": request_id, "lagoonbank-server-seal": "s",
            "lagoonbank-instance-id": endpoint_id}


def plain_body(request_id):
    """The complete body of the answer to a request that does not stream."""
    return f"answer to {request_id}".encode()


class Engine:
    """An engine or a plain service; records which requests it ran."""

    slots = 8
    events = EVENTS  # Of a stream.
    event_s = 0.02  # Between the events of a stream.

    def __init__(self, name, service, data_centre, runs, rng):
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.cold_until = 0.0
        self.version_of_boot = lambda boot: "v1"
        self.on_arrival = None  # Called with each request for this engine.
        self.runs = runs  # Request id -> ids of the engines that ran it.
        self.rng = rng
        self.mode = "good"
        self.boot = 0
        self.changes = 0  # Of the entry since the start of the engine.
        self.started_ms = time.time_ns() // 1_000_000
        self.is_changing = False
        self.address = None

    @property
    def id(self):
        """Id of the current start of the engine."""
        return f"{self.name}-{self.boot}"

    @property
    def version(self):
        """Version of the engine's software."""
        return self.version_of_boot(self.boot)

    def start_anew(self):
        """Begins another start of the engine, under another id."""
        self.boot += 1
        self.changes = 0
        self.started_ms = time.time_ns() // 1_000_000

    def become_cold(self):
        """Starts a warm-up, in which the engine takes few requests."""
        self.cold_until = time.monotonic() + WARMUP_S

    def entry(self, state="ready"):
        """The engine's entry in the store."""
        cold_ms = max(0, int((self.cold_until - time.monotonic()) * 1000))
        self.changes += 1
        return json.dumps({"service": self.service, "address": self.address,
                           "zone": self.data_centre, "version": self.version, "slots": self.slots,
                           "state": state,
                           "seq": self.changes, "warmup_left_ms": cold_ms, "born": self.started_ms})

    async def work(self, seconds):
        """Spends time on a request."""
        await asyncio.sleep(seconds)

    async def handle(self, start_line, fields, body, writer):
        """Handles one request; returns whether the connection is kept."""
        del body
        request = fields.get("lagoonbank-attempt-id", "")
        head = answer_head(request, self.id)
        if fields.get("lagoonbank-expect-instance") != self.id:
            writer.write(wire.message("HTTP/1.1 421 Other", head))
            return True
        self.on_arrival(self, request)
        if self.mode == "shed":
            writer.write(wire.message("HTTP/1.1 503 Full", {"lagoonbank-not-executed": "1"}))
            return True
        self.runs.setdefault(request, []).append(self.id)
        if self.mode == "mute":
            await asyncio.sleep(60)
        await asyncio.sleep(0.3 if self.mode == "slow" else self.rng.uniform(0.002, 0.03))
        if self.mode == "reset" and self.rng.random() < 0.4:
            writer.transport.abort()
            return False
        if self.mode == "cut_head" and self.rng.random() < 0.4:
            answer = wire.message("HTTP/1.1 200 OK", head, plain_body(request))
            writer.write(answer[:self.rng.randrange(answer.index(b"\r\n\r\n"))])
            return False
        if start_line.startswith(("POST /s/", "POST /u/")):
            return await self.stream(request, int(fields.get("last-event-id", "0")), head, writer)
        if self.mode == "unframed":
            writer.write(wire.unframed_head("HTTP/1.1 200 OK", head) + plain_body(request))
            return False
        writer.write(wire.message("HTTP/1.1 200 OK", head, plain_body(request)))
        await writer.drain()
        return True

    async def stream(self, request, after, head, writer):
        """Streams the events after number `after`.

        Mode "reset" breaks some off within an event, as does "unframed", in which only an orderly
        close of the connection marks the end of an answer."""
        version = self.version
        if self.mode == "unframed":
            return await self.stream_unframed(request, after, head, writer)
        writer.write(wire.unframed_head("HTTP/1.1 200 OK",
                                        head | {"transfer-encoding": "chunked"}))
        for number in range(after + 1, self.events + 1):
            piece = event(request, number, version)
            if self.mode == "reset" and self.rng.random() < 0.1:
                writer.write(wire.chunk(piece[:7]))
                await writer.drain()
                writer.transport.abort()
                return False
            writer.write(wire.chunk(piece))
            await writer.drain()
            await self.work(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def stream_unframed(self, request, after, head, writer):
        """Streams events without framing and closes the connection, at times within an event."""
        version = self.version
        writer.write(wire.unframed_head("HTTP/1.1 200 OK", head))
        for number in range(after + 1, self.events + 1):
            piece = event(request, number, version)
            is_broken_off = self.rng.random() < 0.1
            writer.write(piece[:7] if is_broken_off else piece)
            await writer.drain()
            if is_broken_off:
                break
            await asyncio.sleep(0.02)
        return False


def operator_configuration(version, keys, engine=None, stream_timeout_ms=5000):
    """The configuration that the operator writes to the store.

    `engine` is what it says of the engines of the model service."""
    def route(kind, prefix, service, timeout):
        return {"name": prefix, "host": "h", "prefix": f"/{prefix}/", "kind": kind,
                "service": service, "max_attempts": 2, "timeout_ms": timeout,
                "target_latency_ms": 300, "max_gap_ms": 400, "resumable": prefix == "s",
                "session_affinity": kind == "streaming" and engine is not None}
    return json.dumps({
        "version": version,
        "routes": [route("idempotent", "i", "app", 2000), route("non_idempotent", "n", "app", 2000),
                   route("streaming", "s", "llm", stream_timeout_ms),
                   route("streaming", "u", "llm", stream_timeout_ms)],
        "services": [{"name": name, "warmup_s": WARMUP_S, "warmup_per_s": WARMUP_PER_S}
                     | ({"engine": engine} if engine and name == "llm" else {})
                     for name in ("app", "llm")],
        "limits": {"header_bytes": 16384, "body_bytes": 65536, "header_ms": 3000, "idle_ms": 15000},
        "tenants": [{"name": f"t{i}", "keys": [key]} for i, key in enumerate(keys)]})


def random_generator(seed, name):
    """A generator for one part of a run, seeded by the run's seed and the part's name."""
    return random.Random(f"{seed}/{name}")


def part_id(name):
    """Id of a part of a prompt, in the format of the prompt header."""
    return f"{random.Random(name).getrandbits(32):08x}"

#!/usr/bin/python3
"""Sends a crowd of clients that do not behave to a router and checks that it stays within its limits.

Usage: clients.py --router BINARY --case NAME [--net N] [--clients N] [--earlier] [--full-size]
The router may use 64 MB and accepts bodies of 256 KB. During the crowd its memory, the unread bytes
in its sockets and its descriptors stay within bounds; while the crowd still holds its connections,
and after it has gone, a small request and one of the largest size are answered. --earlier leaves
out settings that earlier routers do not know. --full-size plays a VM of 260 MB with bodies of 4 MB
and 4,200 descriptors. Prints each violation and exits 1 if there is one.
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import shutil
import socket
import struct
import sys
import tempfile
import time

import soak
import wire
import world

SAMPLE_S = 0.02
SEND_S, HOLD_S = 5.0, 2.0  # Time to send all, and for which the crowd then goes on.
CLOSE_S = 60.0  # Time in which slow clients must be disconnected.
ANSWER_S = 30.0  # Time in which an ordinary request, which is repeated, must be answered.
WAIT_S = 6.0  # For which an engine of the service "slow" holds a request.
EVENTS, EVENT_BYTES = 256, 32 * 1024
ANSWER_BYTES = 4 * 1024 * 1024
PATH = {"plain": "/i/x", "wait": "/w/wait", "large": "/w/large", "stream": "/s/x"}


@dataclasses.dataclass
class Size:
    """Limits of a router."""

    memory_mb: int = 64
    body_bytes: int = 256 * 1024
    connections: int = 300  # A third of the descriptors.


FULL_SIZE = Size(memory_mb=248, body_bytes=4 * 1024 * 1024, connections=1400)


class CrowdEngine(world.Engine):
    """An engine that answers late, or with many bytes, depending on the path."""

    slots = 1000
    events = EVENTS

    async def handle(self, start_line, fields, body, writer):
        """Handles one request."""
        path = start_line.split(" ")[1]
        if path not in (PATH["wait"], PATH["large"], PATH["stream"]):
            return await super().handle(start_line, fields, body, writer)
        head = world.answer_head(fields.get("lagoonbank-attempt-id", ""), self.id)
        if path == PATH["wait"]:
            await asyncio.sleep(WAIT_S)
            writer.write(wire.message("HTTP/1.1 200 OK", head, b"late"))
        elif path == PATH["large"]:
            writer.write(wire.message("HTTP/1.1 200 OK", head, bytes(ANSWER_BYTES)))
        else:
            await self.stream_large(writer, head)
        await writer.drain()
        return True

    @staticmethod
    async def stream_large(writer, head):
        """Streams large events."""
        writer.write(wire.unframed_head("HTTP/1.1 200 OK",
                                        head | {"transfer-encoding": "chunked"}))
        for number in range(1, EVENTS + 1):
            text = f"id: {number}\ndata: ".encode() + b"x" * EVENT_BYTES + b"\n\n"
            writer.write(wire.chunk(text))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def request_head(kind, request, fields=""):
    """Start line and fields of a request, without the empty line."""
    return (f"POST {PATH[kind]} HTTP/1.1\r\nhost: h\r\nlagoonbank-attempt-id: {request}\r\n"
            f"api-key: {soak.KEYS[0]}\r\nlagoonbank-deadline-remaining: 20000\r\n{fields}")


CHUNKED = "transfer-encoding: chunked\r\n\r\n"


class Client:
    """One client of the crowd. Each method plays one kind of client and leaves its connection open."""

    def __init__(self, run, number):
        self.run = run
        self.name = f"crowd-{number}"
        self.socket = None

    async def connect(self, port=soak.FRONT, receive_buffer=None):
        """Opens a connection."""
        self.socket = socket.socket()
        self.socket.setblocking(False)
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.run.sockets.append(self.socket)
        await asyncio.get_running_loop().sock_connect(self.socket, (self.run.router.ip, port))

    async def send(self, data):
        """Sends all bytes, as fast as they are taken."""
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    async def send_head(self, kind, fields):
        """Sends the head of a request."""
        await self.send(request_head(kind, self.name, fields).encode())

    async def large_chunks(self):
        """Chunks of 64 KB up to a byte less than the limit, the last one incomplete."""
        await self.connect()
        await self.send_head("plain", CHUNKED)
        piece = 64 * 1024
        for _ in range(self.run.size.body_bytes // piece - 1):
            await self.send(wire.chunk(bytes(piece)))
        await self.send(f"{piece:x}\r\n".encode() + bytes(piece - 1))

    async def one_chunk(self):
        """One chunk of the largest size, a byte short."""
        await self.connect()
        await self.send_head("plain", CHUNKED)
        await self.send(f"{self.run.size.body_bytes:x}\r\n".encode() + bytes(self.run.size.body_bytes - 1))

    async def length_short(self, port=soak.FRONT):
        """A body of the largest size, a byte short."""
        await self.connect(port)
        await self.send_head("plain", f"content-length: {self.run.size.body_bytes}\r\n\r\n")
        await self.send(bytes(self.run.size.body_bytes - 1))

    async def small_chunks(self):
        """Very many chunks of one byte, without the end."""
        await self.connect()
        await self.send_head("plain", CHUNKED)
        for _ in range(20):
            await self.send(b"1\r\nx\r\n" * 10000)

    async def whole_requests(self):
        """A whole request of the largest size, which waits for its answer."""
        await self.connect()
        await self.send_head("wait", f"content-length: {self.run.size.body_bytes}\r\n\r\n")
        await self.send(bytes(self.run.size.body_bytes))

    async def endless_chunks(self):
        """Chunks without end."""
        await self.connect()
        await self.send_head("plain", CHUNKED)
        piece = wire.chunk(bytes(self.run.size.body_bytes // 4))
        while not self.run.is_over:
            await self.send(piece)

    async def again_at_once(self):
        """Bodies a byte short; begins again as soon as the connection is closed."""
        while not self.run.is_over:
            try:
                await self.length_short()
                while await asyncio.get_running_loop().sock_recv(self.socket, 4096):
                    pass
            except OSError:
                pass
            self.socket.close()

    async def http2(self):
        """HTTP/2 in clear text: 100 streams, whose bodies stop a byte short."""
        await self.connect()
        await self.send(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(4, 0, 0, b""))
        reading = asyncio.ensure_future(self.read_all())
        try:
            for stream in range(1, 201, 2):
                await self.send(frame(1, 4, stream, b"\x83\x84\x86\x41\x01h"))
                for left in range(self.run.size.body_bytes - 1, 0, -16384):
                    await self.send(frame(0, 0, stream, bytes(min(left, 16384))))
                    await asyncio.sleep(0)
        finally:
            reading.cancel()

    async def read_all(self):
        """Reads and discards what comes."""
        while await asyncio.get_running_loop().sock_recv(self.socket, 65536):
            pass

    async def answers_unread(self):
        """An answer of 4 MB, which is not read."""
        await self.connect(receive_buffer=4096)
        await self.send_head("large", "content-length: 0\r\n\r\n")

    async def streams_unread(self):
        """A stream of 8 MB, which is not read."""
        await self.connect(receive_buffer=4096)
        await self.send_head("stream", "content-length: 0\r\n\r\n")

    async def pipelined_unread(self):
        """Many requests on one connection, whose answers are not read."""
        await self.connect(receive_buffer=4096)
        head = request_head("plain", self.name, "content-length: 0\r\n\r\n").encode()
        for _ in range(20):
            await self.send(head * 500)

    async def announced(self):
        """A body of 1 TB is announced and sent on."""
        await self.connect()
        await self.send_head("plain", "content-length: 1099511627776\r\n\r\n")
        while not self.run.is_over:
            await self.send(bytes(65536))

    async def long_heads(self):
        """A head of 15 KB without its end."""
        await self.connect()
        await self.send_head("plain", "x: " + "y" * 15000)

    async def slow_bodies(self):
        """A body that comes a byte at a time."""
        await self.connect()
        await self.send_head("plain", f"content-length: {self.run.size.body_bytes}\r\n\r\n")
        while True:
            await asyncio.sleep(0.5)
            await self.send(b"x")

    async def silent(self):
        """A connection without a byte."""
        await self.connect()

    async def readiness_bodies(self):
        """Bodies a byte short, at the port that the load balancer asks."""
        await self.length_short(soak.READY)

    async def peer_bodies(self):
        """Bodies a byte short, at the port of the other routers."""
        await self.length_short(soak.PEER)

    async def metrics_bodies(self):
        """Bodies a byte short, at the port of the metrics."""
        await self.length_short(soak.METRICS)

    async def mixed(self):
        """One of several kinds, in turn."""
        kinds = (self.large_chunks, self.length_short, self.answers_unread, self.streams_unread,
                 self.whole_requests, self.pipelined_unread, self.long_heads, self.silent)
        await kinds[int(self.name.rsplit("-", 1)[1]) % len(kinds)]()


def frame(kind, flags, stream, payload):
    """One frame of HTTP/2."""
    return struct.pack(">I", len(payload))[1:] + struct.pack(">BBI", kind, flags, stream) + payload


@dataclasses.dataclass
class Case:
    """A crowd of one kind."""

    clients: int
    must_be_closed: bool = False  # Whether the router has to end all connections by itself.


CASES = {
    "large_chunks": Case(300), "one_chunk": Case(300), "length_short": Case(300),
    "length_short_many": Case(900), "small_chunks": Case(150), "whole_requests": Case(300),
    "endless_chunks": Case(300), "again_at_once": Case(300), "http2": Case(8),
    "answers_unread": Case(400), "streams_unread": Case(200), "pipelined_unread": Case(200),
    "announced": Case(300), "long_heads": Case(800), "slow_bodies": Case(250, must_be_closed=True),
    "silent": Case(1500), "readiness_bodies": Case(300), "peer_bodies": Case(300),
    "metrics_bodies": Case(300), "mixed": Case(400),
}


class CrowdRouter(soak.Router):
    """A router with limits of its own."""

    def settings_text(self):
        """The settings of a router, with a part for its limits."""
        return super().settings_text() + ("" if self.is_earlier else (
            f"limits:\n  memory_mb: {self.size.memory_mb}\n"
            f"  max_connections: {self.size.connections}\n"))


class ClientCrowd:
    """One run with its processes and clients."""

    def __init__(self, options, folder):
        self.options = options
        self.folder = folder
        self.case = CASES[options.case]
        self.play = getattr(Client, options.case.removesuffix("_many"))
        self.net = f"127.{options.net}"
        self.store = world.Store()
        self.router = CrowdRouter(self.net, 1, options.router, folder)
        self.size = FULL_SIZE if options.full_size else Size()
        self.router.size = self.size
        self.router.is_earlier = options.earlier
        self.router.store = f"{self.net}.9.1:{soak.STORE_PORT}"
        self.sockets = []
        self.is_over = False
        self.peak_bytes = self.most_descriptors = 0
        self.violations = []
        self.requests = 0

    def configuration(self):
        """The configuration: services "app" and "llm" that answer, and "slow"."""
        text = json.loads(world.operator_configuration(1, soak.KEYS))
        slow = dict(text["routes"][0], name="w", prefix="/w/", service="slow", timeout_ms=20000)
        text["routes"].append(slow)
        text["services"] = [{"name": name} for name in ("app", "llm", "slow")]
        text["limits"]["body_bytes"] = self.size.body_bytes
        return json.dumps(text)

    async def set_up(self):
        """Starts store, engines and router, and waits until the router is ready."""
        await wire.serve(f"{self.net}.9.1", soak.STORE_PORT, self.store.handle)
        await self.store.put("keyed.op", "config", self.configuration())
        rng = world.random_generator(1, "engines")
        for number, service in enumerate(("app", "llm", "slow") * 2):
            engine = CrowdEngine(f"{service}{number}", service, f"dc{number % 2}", {}, rng)
            engine.on_arrival = lambda *_: None
            ip = f"{self.net}.8.{number + 1}"
            await wire.serve(ip, soak.ENGINE_PORT, engine.handle)
            engine.address = f"{ip}:{soak.ENGINE_PORT}"
            await self.store.put("keyed.servers", engine.id, engine.entry())
        self.router.start()
        await self.until_answered(0, "before the crowd")

    def unread_bytes(self):
        """Bytes that the kernel holds unread for the sockets of the router."""
        own = struct.pack("<I", struct.unpack(">I", socket.inet_aton(self.router.ip))[0]).hex()
        total = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues = line.split()[:5]
            if local.startswith(own.upper()) and state != "0A":
                total += int(queues.split(":")[1], 16)
        return total

    def sample(self):
        """Records the peaks of memory and descriptors."""
        process = pathlib.Path(f"/proc/{self.router.process.pid}")
        status = dict(line.split(":", 1) for line in
                      (process / "status").read_text().splitlines() if line.startswith("Vm"))
        resident, peak = (int(status[name].split()[0]) * 1024 for name in ("VmRSS", "VmHWM"))
        self.peak_bytes = max(self.peak_bytes, peak, resident + self.unread_bytes())
        descriptors = sum(1 for _ in (process / "fd").iterdir())
        self.most_descriptors = max(self.most_descriptors, descriptors)

    async def monitor(self):
        """Samples the process until it is gone."""
        try:
            while self.router.process.poll() is None:
                self.sample()
                await asyncio.sleep(SAMPLE_S)
        except (OSError, KeyError):
            pass  # The process has just ended.

    async def run_client(self, number):
        """Plays one client, which may be disconnected at any time."""
        try:
            await self.play(Client(self, number))
        except OSError:
            pass

    async def request(self, body_bytes):
        """Sends an ordinary request on a new connection; returns its status."""
        self.requests += 1
        reader, writer = await asyncio.open_connection(self.router.ip, soak.FRONT)
        try:
            head = request_head("plain", f"ordinary-{self.requests}",
                                f"content-length: {body_bytes}\r\n\r\n")
            writer.write(head.encode() + bytes(body_bytes))
            answer = await wire.read_head(reader)
            if answer is None:
                return 0
            await wire.read_whole_body(reader, answer[1])
            return int(answer[0].split(" ")[1])
        finally:
            writer.transport.abort()

    async def until_answered(self, body_bytes, when):
        """Repeats a request, as callers do, until it is answered with 200."""
        status, due = 0, time.monotonic() + ANSWER_S
        while status != 200 and time.monotonic() < due:
            try:
                status = await asyncio.wait_for(self.request(body_bytes), ANSWER_S)
            except (wire.ConnectionBroken, OSError, asyncio.TimeoutError):
                status = 0
            if status != 200:
                await asyncio.sleep(0.1)
        if status != 200:
            self.violations.append(f"{when}: a request of {body_bytes} bytes got {status}")

    def is_ended(self, one):
        """Whether the router has ended a connection."""
        try:
            while one.fileno() >= 0 and (received := one.recv(65536)):
                del received
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    async def until_closed(self):
        """Waits until the router has ended all connections of the crowd."""
        due = time.monotonic() + CLOSE_S
        while (left := sum(not self.is_ended(one) for one in self.sockets)) > 0:
            if time.monotonic() > due:
                self.violations.append(f"{left} connections are still open")
                return
            await asyncio.sleep(0.5)

    async def run(self):
        """Plays the crowd; returns the violations."""
        await self.set_up()
        monitor = asyncio.create_task(self.monitor())
        count = self.options.clients or self.case.clients
        crowd = [asyncio.create_task(self.run_client(number)) for number in range(count)]
        await asyncio.wait(crowd, timeout=SEND_S)
        await asyncio.sleep(HOLD_S)
        for size in (0, self.size.body_bytes):
            await self.until_answered(size, "beside the crowd")
        if self.case.must_be_closed:
            await self.until_closed()
        self.is_over = True
        for task in crowd:
            task.cancel()
        for one in self.sockets:
            one.close()
        for size in (0, self.size.body_bytes):
            await self.until_answered(size, "after the crowd")
        await asyncio.sleep(SAMPLE_S)
        monitor.cancel()
        self.check()
        await self.router.stop()
        return self.violations

    def check(self):
        """Checks the bounds."""
        print(f"{self.options.case}: {self.peak_bytes / 1e6:.1f} MB and {self.most_descriptors} "
              "descriptors at most", flush=True)
        if self.router.process.poll() is not None:
            self.violations.append("the router has ended")
        if self.peak_bytes > self.size.memory_mb * 1024 * 1024:
            self.violations.append(f"{self.peak_bytes / 1e6:.1f} MB of memory, "
                                   f"{self.size.memory_mb} MiB allowed")
        if self.most_descriptors > 3 * self.size.connections:
            self.violations.append(f"{self.most_descriptors} descriptors, "
                                   f"{3 * self.size.connections} allowed")


def main():
    """Runs one case."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--router", required=True)
    parser.add_argument("--case", choices=sorted(CASES), required=True)
    parser.add_argument("--net", type=int, default=240)
    parser.add_argument("--clients", type=int, default=0)
    parser.add_argument("--earlier", action="store_true")
    parser.add_argument("--full-size", action="store_true")
    folder = pathlib.Path(tempfile.mkdtemp(prefix="lagoonbank-clients-"))
    run = ClientCrowd(parser.parse_args(), folder)
    try:
        violations = asyncio.run(run.run())
    finally:
        if run.router.process and run.router.process.poll() is None:
            run.router.process.kill()
    for violation in violations:
        print(f"VIOLATION: {violation}")
    if violations:
        print(f"Logs: {folder}")
    else:
        shutil.rmtree(folder)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()

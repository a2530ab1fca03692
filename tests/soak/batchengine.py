"""Many engines and processes of plain services in one process, as a large fleet needs them.

An engine runs requests in one batch: each step takes longer the more of them run, and prompts that it
has not cached are read before the first event. What holds a request and for how long goes to a file.

Usage: batchengine.py CONFIGURATION.json
"""

import asyncio
import collections
import json
import math
import pathlib
import sys
import time

import wire
import world

BATCH_STEP_MS, STEP_MS_PER_REQUEST = 3.74, 0.08
PROMPT_TOKENS_PER_MS = 81.9
FIRST_EVENT_S = 0.041
TOKENS_PER_EVENT = 8
# Events that leave in one piece: fewer turns of the loops on one machine, at the same rate of tokens.
EVENTS_PER_PIECE = 4
PLAIN_WORK_S, PLAIN_WORK_SPREAD = 0.015, 0.5


class Holder:
    """What all kinds of endpoints share: places, a line before them, and the record of both."""

    def __init__(self, options, record):
        self.options = options
        self.id = options["id"]
        self.record = record
        self.rng = world.generator(options["seed"], self.id)
        self.running = 0
        self.waiting = collections.deque()

    def load(self):
        """Running, waiting and slots, as answers tell them."""
        return f"{self.running},{len(self.waiting)},{self.options['slots']}"

    def note(self, change, router=""):
        """A request has come or has gone."""
        self.record.append((time.monotonic(), self.id, change, router))

    async def handle(self, first, fields, body, writer):
        """One request."""
        request = fields.get("lagoonbank-attempt-id", "")
        head = world.answer_head(request, self.id)
        if fields.get("lagoonbank-expect-instance") != self.id:
            writer.write(wire.message("HTTP/1.1 421 Other", head))
            return True
        if len(self.waiting) >= self.options["queue"]:
            head |= {"lagoonbank-not-executed": "1", "lagoonbank-engine-load": self.load()}
            writer.write(wire.message("HTTP/1.1 503 Full", head))
            return True
        self.note(1, f"{fields.get('x-router', '')} {request}")
        try:
            await self.enter()
            return await self.run(fields, body, head, writer)
        finally:
            self.leave()
            self.note(-1)

    async def enter(self):
        """Waits for a place."""
        if self.running < self.options["slots"] and not self.waiting:
            self.running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self.waiting:
                self.waiting.remove(turn)
            self.running += 1  # leave() takes it back.
            raise

    def leave(self):
        """Gives the place to the next one in line."""
        self.running -= 1
        while self.waiting and self.running < self.options["slots"]:
            turn = self.waiting.popleft()
            if not turn.done():
                self.running += 1
                turn.set_result(None)

    async def run(self, fields, body, head, writer):
        """Work and answer; whether the connection is kept."""
        raise NotImplementedError


class PlainService(Holder):
    """Answers after its work is done."""

    async def run(self, fields, body, head, writer):
        spread = PLAIN_WORK_SPREAD
        await asyncio.sleep(self.rng.lognormvariate(math.log(PLAIN_WORK_S) - spread ** 2 / 2, spread))
        head["lagoonbank-engine-load"] = self.load()
        writer.write(wire.message("HTTP/1.1 200 OK", head, b"x" * 800))
        await writer.drain()
        return True


class BatchEngine(Holder):
    """Streams tokens and caches prompts."""

    def __init__(self, options, record):
        super().__init__(options, record)
        self.cached = collections.OrderedDict()  # Parts of prompts, least recently used first.
        self.read_until = 0.0

    def uncached(self, parts):
        """Tokens that have to be read, all before the last part cached from here on."""
        missing = 0
        for name, tokens in parts:
            if missing or name not in self.cached:
                missing += tokens
            self.cached[name] = tokens
            self.cached.move_to_end(name)
        while sum(self.cached.values()) > self.options["memory"]:
            self.cached.popitem(last=False)
        return missing

    async def run(self, fields, body, head, writer):
        listed = fields["lagoonbank-prompt-prefix"].split(",")
        parts = [(name, int(tokens)) for name, tokens in (one.split(":") for one in listed)]
        missing = self.uncached(parts)
        if "kv-fetch" in fields:
            missing = min(missing, parts[-1][1])
        now = time.monotonic()
        self.read_until = max(now, self.read_until) + missing / PROMPT_TOKENS_PER_MS / 1000
        await asyncio.sleep(self.read_until - now + FIRST_EVENT_S)
        tokens = int(fields["lagoonbank-token-count"].split(",")[1])
        return await self.stream(max(1, tokens // TOKENS_PER_EVENT), head, writer)

    async def stream(self, events, head, writer):
        """All events of an answer."""
        head["lagoonbank-engine-load"] = self.load()
        lines = [f"{name}: {value}" for name, value in head.items()]
        first = "HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\ntransfer-encoding: chunked\r\n\r\n"
        writer.write(first.encode())
        request = head["lagoonbank-attempt-id"]
        due = time.monotonic()
        for start in range(1, events + 1, EVENTS_PER_PIECE):
            numbers = range(start, min(events, start + EVENTS_PER_PIECE - 1) + 1)
            writer.write(wire.chunk(b"".join(world.event(request, number) for number in numbers)))
            await writer.drain()
            if writer.transport.is_closing():
                raise wire.Broken("The caller has left.")
            step_ms = BATCH_STEP_MS + STEP_MS_PER_REQUEST * self.running
            due += len(numbers) * TOKENS_PER_EVENT * step_ms / 1000
            await asyncio.sleep(max(0, due - time.monotonic()))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def host(configuration):
    """Runs until it is told to end by a closed standard input."""
    record = []
    servers = []
    for options in configuration["endpoints"]:
        made = (BatchEngine if options["kind"] == "engine" else PlainService)(options, record)
        servers.append(await wire.serve(*options["listen"], made.handle))
    print("ready", flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    for server in servers:
        server.close()
    lines = "".join(f"{at:.6f}\t{name}\t{change}\t{router}\n" for at, name, change, router in record)
    pathlib.Path(configuration["record"]).write_text(lines)


if __name__ == "__main__":
    asyncio.run(host(json.loads(pathlib.Path(sys.argv[1]).read_text())))

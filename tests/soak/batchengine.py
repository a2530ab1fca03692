"""Simulates many engines and endpoints of plain services in one process, for runs of large fleets.

An engine runs its requests in one batch: each step takes longer the more requests run, and uncached
prompt tokens are prefilled before the first event. The times at which each endpoint gets and ends a
request go to a file.

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
# Several events go into one chunk, which takes less processor time at the same rate of tokens.
EVENTS_PER_CHUNK = 4
PLAIN_WORK_S, PLAIN_WORK_SPREAD = 0.015, 0.5


class Endpoint:
    """Base of all endpoints: slots, a queue for them, and the record of load changes."""

    def __init__(self, options, record):
        self.options = options
        self.id = options["id"]
        self.record = record
        self.rng = world.random_generator(options["seed"], self.id)
        self.running = 0
        self.waiting = collections.deque()

    def load(self):
        """Running and waiting requests and slots, in the format of the load header."""
        return f"{self.running},{len(self.waiting)},{self.options['slots']}"

    def record_change(self, delta, origin=""):
        """Records that a request arrived (1) or ended (-1)."""
        self.record.append((time.monotonic(), self.id, delta, origin))

    async def handle(self, first, fields, body, writer):
        """Handles one request; returns whether the connection is kept."""
        request = fields.get("lagoonbank-attempt-id", "")
        head = world.answer_head(request, self.id)
        if fields.get("lagoonbank-expect-instance") != self.id:
            writer.write(wire.message("HTTP/1.1 421 Other", head))
            return True
        if len(self.waiting) >= self.options["queue"]:
            head |= {"lagoonbank-not-executed": "1", "lagoonbank-engine-load": self.load()}
            writer.write(wire.message("HTTP/1.1 503 Full", head))
            return True
        self.record_change(1, f"{fields.get('x-router', '')} {request}")
        try:
            await self.acquire_slot()
            return await self.run(fields, body, head, writer)
        finally:
            self.release_slot()
            self.record_change(-1)

    async def acquire_slot(self):
        """Takes a free slot, or queues for one."""
        if self.running < self.options["slots"] and not self.waiting:
            self.running += 1
            return
        waiter = asyncio.get_running_loop().create_future()
        self.waiting.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter in self.waiting:
                self.waiting.remove(waiter)
            self.running += 1  # release_slot() subtracts it again.
            raise

    def release_slot(self):
        """Gives the slot to the next request in the queue."""
        self.running -= 1
        while self.waiting and self.running < self.options["slots"]:
            waiter = self.waiting.popleft()
            if not waiter.done():
                self.running += 1
                waiter.set_result(None)

    async def run(self, fields, body, head, writer):
        """Processes and answers a request; returns whether the connection is kept."""
        raise NotImplementedError


class PlainService(Endpoint):
    """Answers each request with a fixed body after a random work time."""

    async def run(self, fields, body, head, writer):
        spread = PLAIN_WORK_SPREAD
        await asyncio.sleep(self.rng.lognormvariate(math.log(PLAIN_WORK_S) - spread ** 2 / 2, spread))
        head["lagoonbank-engine-load"] = self.load()
        writer.write(wire.message("HTTP/1.1 200 OK", head, b"x" * 800))
        await writer.drain()
        return True


class PromptCache:
    """The prompt parts that an engine has in its memory."""

    def __init__(self, memory):
        self.memory = memory
        self.cached = collections.OrderedDict()  # Prompt part -> tokens, least recently used first.

    def uncached(self, parts):
        """Number of tokens to prefill: all from the first uncached part on. Caches all parts."""
        uncached_tokens = 0
        for name, tokens in parts:
            if uncached_tokens or name not in self.cached:
                uncached_tokens += tokens
            self.cached[name] = tokens
            self.cached.move_to_end(name)
        while sum(self.cached.values()) > self.memory:
            self.cached.popitem(last=False)
        return uncached_tokens


class BatchEngine(Endpoint):
    """Streams tokens and caches prompts."""

    def __init__(self, options, record):
        super().__init__(options, record)
        self.cache = PromptCache(options["memory"])
        self.prefill_ends_at = 0.0

    async def run(self, fields, body, head, writer):
        listed = fields["lagoonbank-prompt-prefix"].split(",")
        parts = [(name, int(tokens)) for name, tokens in (one.split(":") for one in listed)]
        uncached_tokens = self.cache.uncached(parts)
        if "kv-fetch" in fields:
            uncached_tokens = min(uncached_tokens, parts[-1][1])
        now = time.monotonic()
        self.prefill_ends_at = max(
            now, self.prefill_ends_at) + uncached_tokens / PROMPT_TOKENS_PER_MS / 1000
        await asyncio.sleep(self.prefill_ends_at - now + FIRST_EVENT_S)
        tokens = int(fields["lagoonbank-token-count"].split(",")[1])
        return await self.stream(max(1, tokens // TOKENS_PER_EVENT), head, writer)

    async def stream(self, events, head, writer):
        """Sends all events of an answer at the pace of the batch."""
        head["lagoonbank-engine-load"] = self.load()
        lines = [f"{name}: {value}" for name, value in head.items()]
        first = "HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\ntransfer-encoding: chunked\r\n\r\n"
        writer.write(first.encode())
        request = head["lagoonbank-attempt-id"]
        due = time.monotonic()
        for start in range(1, events + 1, EVENTS_PER_CHUNK):
            numbers = range(start, min(events, start + EVENTS_PER_CHUNK - 1) + 1)
            writer.write(wire.chunk(b"".join(world.event(request, number) for number in numbers)))
            await writer.drain()
            if writer.transport.is_closing():
                raise wire.ConnectionBroken("The caller has left.")
            step_ms = BATCH_STEP_MS + STEP_MS_PER_REQUEST * self.running
            due += len(numbers) * TOKENS_PER_EVENT * step_ms / 1000
            await asyncio.sleep(max(0, due - time.monotonic()))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def run_endpoints(configuration):
    """Serves all endpoints until standard input is closed, then writes the record."""
    record = []
    servers = []
    for options in configuration["endpoints"]:
        endpoint = (BatchEngine if options["kind"] == "engine" else PlainService)(options, record)
        servers.append(await wire.serve(*options["listen"], endpoint.handle))
    print("ready", flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    for server in servers:
        server.close()
    lines = "".join(f"{at:.6f}\t{name}\t{change}\t{router}\n" for at, name, change, router in record)
    pathlib.Path(configuration["record"]).write_text(lines)


if __name__ == "__main__":
    asyncio.run(run_endpoints(json.loads(pathlib.Path(sys.argv[1]).read_text())))

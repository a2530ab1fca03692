"""Generates the open-loop load of one data centre's callers, at a rate independent of the answers.

Each caller sends its requests to one router; a repeated request goes to a random one. Outcomes go
to a file.

Usage: crowd.py CONFIGURATION.json
"""

import asyncio
import collections
import json
import math
import pathlib
import sys
import time

import soak
import wire
import world

CONNECT_S = 1.0
# Period in which a share of the first kind's requests ask for the same prompt.
HOT_PERIOD_S = (12.0, 18.0)
# Statuses whose answers carry a retry-after header.
RETRYABLE_STATUSES = ("429", "503")


class RequestKind:
    """Parameters of one kind of request."""

    def __init__(self, options, rng):
        self.options = options
        self.rng = rng
        things = options.get("things", 0)
        self.weights = [(rank + 1) ** -options.get("skew", 0) for rank in range(things)]
        self.hot_share = 0.0  # Share of requests that ask for the same prompt.
        sizes = world.random_generator(options["name"], "sizes")  # The same in all data centres.
        spread = 0.7
        self.sizes = [int(options["shared"] * sizes.lognormvariate(-spread ** 2 / 2, spread))
                      for _ in range(things)]

    def fields(self, request):
        """Headers that describe the prompt and the answer's length to an engine."""
        if not self.weights:
            return {}
        thing = self.rng.choices(range(len(self.weights)), self.weights)[0]
        if self.rng.random() < self.hot_share:
            thing = len(self.weights) // 2
        name = self.options["name"]
        own = max(1, int(self.options["own"] * self.rng.lognormvariate(-0.5, 1.0)))
        tokens = max(8, int(self.options["out"] * self.rng.lognormvariate(-0.1, 0.45)))
        parts = [(world.part_id(name), self.options["first"]),
                 (world.part_id(f"{name}/{thing}"), self.sizes[thing]), (world.part_id(request), own)]
        return {"lagoonbank-model": "m",
                "lagoonbank-token-count": f"{sum(part[1] for part in parts)},{tokens}",
                "lagoonbank-prompt-prefix": ",".join(f"{part}:{size}" for part, size in parts)}


class LoadGenerator:
    """All callers of one data centre."""

    def __init__(self, options):
        self.options = options
        self.rng = world.random_generator(options["seed"], options["name"])
        self.kinds = [RequestKind(kind, self.rng) for kind in options["kinds"]]
        self.rates = [kind["per_s"] for kind in options["kinds"]]
        self.caller_routers = [self.rng.randrange(len(options["routers"]))
                               for _ in range(options["callers"])]
        self.idle = collections.defaultdict(list)
        self.outcomes = collections.Counter()
        self.next_id = 0
        self.tasks = set()

    def start_request(self, kind, caller, attempts_left):
        """Starts a request in a task of its own."""
        task = asyncio.create_task(self.send_request(kind, caller, attempts_left))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def generate_requests(self):
        """Starts requests in small bursts, at a mean rate that follows a sine."""
        started = time.monotonic()
        at = started
        while (now := time.monotonic()) < started + self.options["seconds"]:
            is_hot = HOT_PERIOD_S[0] < now - started < HOT_PERIOD_S[1]
            self.kinds[0].hot_share = self.options["hot_part"] if is_hot else 0.0
            while at <= now:
                for _ in range(1 + int(self.rng.expovariate(1 / 2.5))):
                    kind = self.rng.choices(self.kinds, self.rates)[0]
                    self.start_request(kind, self.rng.randrange(len(self.caller_routers)), 2)
                rate_factor = 1 + 0.15 * math.sin((at - started) / 11 * 2 * math.pi)
                at += self.rng.expovariate(sum(self.rates) * rate_factor / 3)
            await asyncio.sleep(max(0.0, min(at - now, 0.05)))

    async def send_request(self, kind, caller, attempts_left):
        """Sends a request, and repeats it after a refusal or a broken connection."""
        self.next_id += 1
        request = f"{self.options['name']}-{self.next_id:x}"
        router = self.caller_routers[caller] if attempts_left == 2 else self.rng.randrange(
            len(self.options["routers"]))
        name = kind.options["name"]
        try:
            status, retry_after_s = await asyncio.wait_for(self.exchange(kind, request, router),
                                                           kind.options["patience_s"])
        except (wire.ConnectionBroken, OSError):
            status, retry_after_s = "cut", 0.05
        except asyncio.TimeoutError:
            status, retry_after_s = "no answer", None
        self.outcomes[f"{name} {status}"] += 1
        if status != "200" and attempts_left > 1 and retry_after_s is not None:
            await asyncio.sleep(retry_after_s)
            self.start_request(kind, caller, attempts_left - 1)

    async def exchange(self, kind, request, router):
        """Sends a request and reads the answer; returns its status and the delay of a retry."""
        reader, writer = await self.get_connection(router)
        fields = {"host": "h", "lagoonbank-attempt-id": request, "x-router": str(router),
                  "api-key": self.rng.choice(self.options["keys"]),
                  "lagoonbank-deadline-remaining": str(int(kind.options["patience_s"] * 1000)),
                  **kind.fields(request)}
        start_line = f"{kind.options['method']} /{kind.options['name']}/x HTTP/1.1"
        keep_open = False
        try:
            writer.write(wire.message(start_line, fields))
            head = await wire.read_head(reader)
            if head is None:
                raise wire.ConnectionBroken("closed")
            await wire.read_whole_body(reader, head[1])
            keep_open = head[1].get("connection", "").lower() != "close"
        finally:
            if keep_open:
                self.idle[router].append((reader, writer))
            else:
                writer.close()
        status = head[0].split(" ")[1]
        retry_after_s = float(
            head[1].get("retry-after", "0.05")) if status in RETRYABLE_STATUSES else None
        return status, retry_after_s

    async def get_connection(self, router):
        """An idle open connection to the router, or a new one."""
        while self.idle[router]:
            connection = self.idle[router].pop()
            if not connection[0].at_eof():
                return connection
            connection[1].close()
        return await asyncio.wait_for(
            asyncio.open_connection(self.options["routers"][router], soak.FRONT), CONNECT_S)

    async def run(self):
        """Runs until the last request has ended, then writes the outcomes."""
        await self.generate_requests()
        while self.tasks:
            await asyncio.wait(list(self.tasks))
        pathlib.Path(self.options["record"]).write_text(json.dumps(self.outcomes))


if __name__ == "__main__":
    asyncio.run(LoadGenerator(json.loads(pathlib.Path(sys.argv[1]).read_text())).run())

"""Many callers of one data centre in one process, who ask at a rate of their own whatever comes back.

Each caller keeps to one router while that takes connections. Outcomes go to a file.

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
# When part of the first kind's requests ask for one prompt.
HOT_S = (12.0, 18.0)
# Answers that say when to come back.
COME_BACK = ("429", "503")


class Kind:
    """What one kind of request looks like."""

    def __init__(self, options, rng):
        self.options = options
        self.rng = rng
        things = options.get("things", 0)
        self.weights = [(rank + 1) ** -options.get("skew", 0) for rank in range(things)]
        self.hot_part = 0.0  # Of requests that ask for one prompt.
        sizes = world.generator(options["name"], "sizes")  # The same in all data centres.
        spread = 0.7
        self.sizes = [int(options["shared"] * sizes.lognormvariate(-spread ** 2 / 2, spread))
                      for _ in range(things)]

    def fields(self, request):
        """Headers that tell an engine the prompt and the length of the answer."""
        if not self.weights:
            return {}
        thing = self.rng.choices(range(len(self.weights)), self.weights)[0]
        if self.rng.random() < self.hot_part:
            thing = len(self.weights) // 2
        name = self.options["name"]
        own = max(1, int(self.options["own"] * self.rng.lognormvariate(-0.5, 1.0)))
        tokens = max(8, int(self.options["out"] * self.rng.lognormvariate(-0.1, 0.45)))
        parts = [(world.part_id(name), self.options["first"]),
                 (world.part_id(f"{name}/{thing}"), self.sizes[thing]), (world.part_id(request), own)]
        return {"lagoonbank-model": "m",
                "lagoonbank-token-count": f"{sum(part[1] for part in parts)},{tokens}",
                "lagoonbank-prompt-prefix": ",".join(f"{part}:{size}" for part, size in parts)}


class Crowd:
    """All callers of a data centre."""

    def __init__(self, options):
        self.options = options
        self.rng = world.generator(options["seed"], options["name"])
        self.kinds = [Kind(kind, self.rng) for kind in options["kinds"]]
        self.rates = [kind["per_s"] for kind in options["kinds"]]
        self.homes = [self.rng.randrange(len(options["routers"])) for _ in range(options["callers"])]
        self.idle = collections.defaultdict(list)
        self.outcomes = collections.Counter()
        self.next_id = 0
        self.tasks = set()

    def begin(self, kind, caller, tries):
        """Starts a request."""
        task = asyncio.create_task(self.ask(kind, caller, tries))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def come(self):
        """Requests in small groups, the mean rate going up and down."""
        started = time.monotonic()
        at = started
        while (now := time.monotonic()) < started + self.options["seconds"]:
            is_hot = HOT_S[0] < now - started < HOT_S[1]
            self.kinds[0].hot_part = self.options["hot_part"] if is_hot else 0.0
            while at <= now:
                for _ in range(1 + int(self.rng.expovariate(1 / 2.5))):
                    kind = self.rng.choices(self.kinds, self.rates)[0]
                    self.begin(kind, self.rng.randrange(len(self.homes)), 2)
                wave = 1 + 0.15 * math.sin((at - started) / 11 * 2 * math.pi)
                at += self.rng.expovariate(sum(self.rates) * wave / 3)
            await asyncio.sleep(max(0.0, min(at - now, 0.05)))

    async def ask(self, kind, caller, tries):
        """One request, and once more after a refusal or a cut."""
        self.next_id += 1
        request = f"{self.options['name']}-{self.next_id:x}"
        home = self.homes[caller] if tries == 2 else self.rng.randrange(len(self.options["routers"]))
        name = kind.options["name"]
        try:
            status, wait = await asyncio.wait_for(self.exchange(kind, request, home),
                                                  kind.options["patience_s"])
        except (wire.Broken, OSError):
            status, wait = "cut", 0.05
        except asyncio.TimeoutError:
            status, wait = "no answer", None
        self.outcomes[f"{name} {status}"] += 1
        if status != "200" and tries > 1 and wait is not None:
            await asyncio.sleep(wait)
            self.begin(kind, caller, tries - 1)

    async def exchange(self, kind, request, router):
        """Sends and reads; the status, and when to come back."""
        reader, writer = await self.connection(router)
        fields = {"host": "h", "lagoonbank-attempt-id": request, "x-router": str(router),
                  "api-key": self.rng.choice(self.options["keys"]),
                  "lagoonbank-deadline-remaining": str(int(kind.options["patience_s"] * 1000)),
                  **kind.fields(request)}
        first = f"{kind.options['method']} /{kind.options['name']}/x HTTP/1.1"
        keeps = False
        try:
            writer.write(wire.message(first, fields))
            head = await wire.read_head(reader)
            if head is None:
                raise wire.Broken("closed")
            await wire.whole_body(reader, head[1])
            keeps = head[1].get("connection", "").lower() != "close"
        finally:
            if keeps:
                self.idle[router].append((reader, writer))
            else:
                writer.close()
        status = head[0].split(" ")[1]
        wait = float(head[1].get("retry-after", "0.05")) if status in COME_BACK else None
        return status, wait

    async def connection(self, router):
        """One that is kept and open, or a new one."""
        while self.idle[router]:
            kept = self.idle[router].pop()
            if not kept[0].at_eof():
                return kept
            kept[1].close()
        return await asyncio.wait_for(
            asyncio.open_connection(self.options["routers"][router], soak.FRONT), CONNECT_S)

    async def run(self):
        """Until the last request has ended."""
        await self.come()
        while self.tasks:
            await asyncio.wait(list(self.tasks))
        pathlib.Path(self.options["record"]).write_text(json.dumps(self.outcomes))


if __name__ == "__main__":
    asyncio.run(Crowd(json.loads(pathlib.Path(sys.argv[1]).read_text())).run())

"""Engines of a soak run that are slow at times, crash over their memory, and are mostly lost."""

import asyncio
import collections
import time

import batchengine
import wire
import world

SLOTS, QUEUE = 32, 8
# Holds mean requests in all slots, but not if many of them are large.
KV_TOKENS = 160_000
ENGINE = {"slots": SLOTS, "kv_tokens": KV_TOKENS, "stride": 8}
PROMPT_TOKENS_PER_MS = 62
# Tokens of the shared and the own part of a prompt, and requests per second (deployment A).
KINDS = {"large": (10512, 1300, 95), "urgent": (699, 130, 162), "short": (2041, 360, 141)}
PROMPTS_PER_KIND = 40
# Bursts of a neighbour on the machine: mean length, share of the time, and slowdown.
BURST_S, BURST_SHARE, BURST_FACTOR = 0.5, 0.15, 2.5
# Interval at which work heeds a change of the slowdown, and an engine a caller that has left.
STEP_S = 0.03
LOST_SHARE = 0.8
RESTART_S = 1.5  # Time until an engine that has crashed is back.
# While most engines are lost, no request is refused once all others have had more than half of
# their slots free for this long.
HALF_FREE_S = 1.0
# Other faults of engines are left out: those that cut connections hide the end of a request from
# the router or the engine, so that their counts of held tokens differ, and those with cold engines
# have known failures. So are faults of the store: a router that starts meanwhile refuses everything.
OTHER_FAULTS = ("fault_cold", "fault_drain", "fault_engine", "fault_engine_link", "fault_replace",
                "fault_store", "fault_unframed")


class Neighbour:
    """A workload on an engine's machine that slows the engine down in bursts."""

    def __init__(self, rng):
        self.rng = rng
        self.is_busy = rng.random() < BURST_SHARE
        self.changes_at = time.monotonic()

    def slowdown(self):
        """Current duration of work at the engine, relative to the usual one."""
        while time.monotonic() >= self.changes_at:
            self.is_busy = not self.is_busy
            mean_s = BURST_S if self.is_busy else BURST_S * (1 - BURST_SHARE) / BURST_SHARE
            self.changes_at += self.rng.expovariate(1 / mean_s)
        return BURST_FACTOR if self.is_busy else 1.0


class CapacityEngine(world.Engine):
    """An engine with slots, a queue, a prompt cache and a memory that its requests can exceed."""

    slots = SLOTS
    event_s = 0.08

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.neighbour = Neighbour(self.rng)
        self.on_crash = None  # Called with this engine and the tokens that it holds.
        self.held = {}  # Task of a request -> (parts of its prompt, output tokens).
        self.drop_requests()

    def drop_requests(self):
        """Ends all requests and empties the cache, as the end of the process does."""
        for task in self.held:
            task.cancel()
        self.held = {}
        self.free_slots = asyncio.Semaphore(SLOTS)
        self.prefill = asyncio.Lock()
        self.cache = batchengine.PromptCache(KV_TOKENS)
        self.half_used_at = time.monotonic()

    def load(self):
        """The load header: running and waiting requests, slots and slowdown in percent."""
        waiting = max(0, len(self.held) - SLOTS)
        percent = 100 * self.neighbour.slowdown() * self.rng.uniform(0.9, 1.1)
        return {"lagoonbank-engine-load":
                f"{len(self.held) - waiting},{waiting},{SLOTS},{percent:.0f}"}

    def held_tokens(self):
        """Tokens of the requests that the engine holds; shared parts count once."""
        parts = {}
        for own_parts, _ in self.held.values():
            parts |= own_parts
        return sum(parts.values()) + sum(output for _, output in self.held.values())

    def half_free_s(self):
        """For how long more than half of the slots have been free, without the warm-up."""
        if len(self.held) >= SLOTS / 2:
            return 0.0
        return time.monotonic() - max(self.half_used_at, self.cold_until)

    async def work(self, seconds):
        """Spends time on a request, more of it during a burst."""
        while seconds > 0:
            step_s = min(seconds, STEP_S)
            seconds -= step_s
            await asyncio.sleep(step_s * self.neighbour.slowdown())

    async def handle(self, start_line, fields, body, writer):
        """Handles one request until its answer is complete or its caller has left."""
        del start_line, body
        request = fields.get("lagoonbank-attempt-id", "")
        head = world.answer_head(request, self.id)
        if fields.get("lagoonbank-expect-instance") != self.id:
            writer.write(wire.message("HTTP/1.1 421 Other", head))
            return True
        self.on_arrival(self, request)
        if len(self.held) >= SLOTS + QUEUE:
            head |= {"lagoonbank-not-executed": "1"} | self.load()
            writer.write(wire.message("HTTP/1.1 503 Full", head))
            return True
        self.runs.setdefault(request, []).append(self.id)
        listed = fields["lagoonbank-prompt-prefix"].split(",")
        parts = {name: int(tokens) for name, tokens in (one.split(":") for one in listed)}
        held = self.held
        after = int(fields.get("last-event-id", "0"))
        task = asyncio.ensure_future(self.run(request, parts, after, head, writer))
        held[task] = (parts, int(fields["lagoonbank-token-count"].split(",")[1]))
        if self.held_tokens() > KV_TOKENS:
            self.on_crash(self, self.held_tokens())
        try:
            while not task.done():
                await asyncio.wait([task], timeout=STEP_S)
                if writer.has_left():
                    task.cancel()
            return not task.cancelled() and task.result()
        finally:
            if len(held) >= SLOTS / 2:
                self.half_used_at = time.monotonic()
            held.pop(task, None)

    async def run(self, request, parts, after, head, writer):
        """Prefills the prompt and streams the answer, once there is a slot."""
        async with self.free_slots:
            async with self.prefill:
                await self.work(self.cache.uncached(parts.items()) / PROMPT_TOKENS_PER_MS / 1000)
            return await self.stream(request, after, head | self.load(), writer)


class Capacity:
    """The loss of most engines of a run, its requests with prompts, and the checks of both."""

    def __init__(self, soak):
        self.soak = soak
        self.rng = world.random_generator(soak.options.seed, "callers with prompts")
        self.is_mostly_lost = False
        self.refused = set()  # Ids of the requests that were answered 503.
        self.outcomes = collections.Counter()  # Of streams, while most engines are lost.
        self.crashes = []  # Tasks of engines that crashed over their memory.

    def engines(self):
        """All engines, without the plain services."""
        return [engine for engine in self.soak.engines if isinstance(engine, CapacityEngine)]

    def crashed(self, engine, tokens):
        """An engine holds more requests than its memory takes."""
        self.soak.violations.append(
            f"{engine.id} crashed: its {len(engine.held)} requests have {tokens} tokens, "
            f"{tokens - KV_TOKENS} more than its memory")
        engine.drop_requests()
        self.crashes.append(asyncio.create_task(self.lose(engine, RESTART_S)))

    async def lose(self, engine, seconds):
        """Ends the process of an engine; a new start of it is in service after this time."""
        if engine.is_changing:
            return
        engine.is_changing = True
        proxy = self.soak.proxies[self.soak.engines.index(engine)]
        with self.soak.disturbing(f"engine {engine.name}"):
            proxy.close()
            engine.drop_requests()
            await asyncio.sleep(seconds)
            await proxy.start(*proxy.address)
            await self.soak.start_anew(engine)
        engine.is_changing = False

    async def lose_most(self):
        """Loses four fifths of the engines in the middle of the run."""
        seconds = self.soak.options.seconds
        rng = world.random_generator(self.soak.options.seed, "loss of most engines")
        await asyncio.sleep(seconds * rng.uniform(0.2, 0.3))
        engines = self.engines()
        lost = rng.sample(engines, round(len(engines) * LOST_SHARE))
        for engine in engines:
            engine.half_used_at = time.monotonic()
        self.is_mostly_lost = True
        losses = [asyncio.create_task(self.lose(engine, seconds * rng.uniform(0.4, 0.5)))
                  for engine in lost]
        await asyncio.sleep(seconds * 0.4)
        self.is_mostly_lost = False
        await asyncio.gather(*losses)

    def prompt_fields(self, request):
        """Headers that describe the prompt and the length of the answer."""
        kind = self.rng.choices(list(KINDS), [kind[2] for kind in KINDS.values()])[0]
        shared, own, _ = KINDS[kind]
        prompt = world.part_id(f"{kind}/{self.rng.randrange(PROMPTS_PER_KIND)}")
        return {"lagoonbank-model": "m",
                "lagoonbank-token-count": f"{shared + own},{world.EVENTS * ENGINE['stride']}",
                "lagoonbank-prompt-prefix": f"{prompt}:{shared},{world.part_id(request)}:{own}"}

    async def answered(self, request, status, fields):
        """Checks an answer. After a refusal, waits as its caller does."""
        if self.is_mostly_lost and self.soak.kinds[request] == "s":
            self.outcomes[status] += 1
        if status != 503:
            return
        self.refused.add(request)
        self.check_refusal(request)
        # Most callers honour Retry-After up to a third of their 4 s; the others retry at once.
        if self.rng.random() < 0.8:
            await asyncio.sleep(min(float(fields.get("retry-after", "0")), 4 / 3))

    def check_refusal(self, request):
        """The engines that remain must be in use before a router refuses a stream."""
        router = self.soak.arrival_checker.sent_requests[request][1]
        remaining = [engine for engine in self.engines() if not engine.is_changing]
        if self.is_mostly_lost and self.soak.kinds[request] == "s" and remaining \
                and all(engine.half_free_s() > HALF_FREE_S for engine in remaining) \
                and self.soak.disturbances.is_undisturbed(f"router {router}", HALF_FREE_S):
            held = ", ".join(f"{engine.id} {len(engine.held)}" for engine in remaining)
            self.soak.violations.append(f"{request} was refused by router {router} although the "
                                        f"remaining engines have free slots; requests there: {held}")

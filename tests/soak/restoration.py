"""Restorations of the store from older copies, and the writes that follow them."""

import asyncio

# Operators and engines write again within this time what the store has lost.
REWRITE_S = 1.9
# The store drops the entry of an engine that is silent for three check-in intervals of 1.2 s.
EXPIRY_S = 3.6
OPERATOR_TOPIC, ENGINE_TOPIC = "keyed.op", "keyed.servers"


class Restorations:
    """Takes the store away for a moment, several times, and brings older copies of it back."""

    def __init__(self, store, disturbing, rng):
        self.store = store
        self.disturbing = disturbing  # Context manager that marks a component as disturbed.
        self.rng = rng

    async def run(self, end):
        """Restores the store at random times until `end` on the loop's clock."""
        loop = asyncio.get_running_loop()
        rewrites = []
        while loop.time() < end:
            await asyncio.sleep(self.rng.uniform(5, 9))
            with self.disturbing("store"):
                age = self.rng.uniform(1, 6)
                self.store.is_away = True
                await asyncio.sleep(self.rng.uniform(0.1, 2.5))
                self.store.restore(age)
                self.store.is_away = False
                rewrites += self.start_rewrites()
        await asyncio.gather(*rewrites)

    def start_rewrites(self):
        """Starts the writes of what the operators and engines wrote last and the store has lost."""
        rewrites = []
        for topic in (OPERATOR_TOPIC, ENGINE_TOPIC):
            stored = self.store.newest(topic)
            for key, value in self.store.written.get(topic, {}).items():
                if stored.get(key, "") == value:
                    continue
                # Nobody drops the entry of an engine that has gone; it expires.
                is_expiry = topic == ENGINE_TOPIC and not value
                delay = EXPIRY_S if is_expiry else self.rng.uniform(0.1, REWRITE_S)
                rewrites.append(asyncio.create_task(self.rewrite(topic, key, delay)))
        return rewrites

    async def rewrite(self, topic, key, delay):
        """Writes a key again unless that has been done meanwhile."""
        await asyncio.sleep(delay)
        while self.store.is_away:
            await asyncio.sleep(0.05)
        value = self.store.written[topic][key]
        if self.store.newest(topic).get(key, "") != value:
            await self.store.put(topic, key, value)

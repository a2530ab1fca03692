"""Streams that began at the old software version go on at the new one, at a router that was
restarted after the last engine of the old version had left the store."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402  pylint: disable=wrong-import-position

STREAMS = 40
ALLOWED_MIXED_STREAMS = 2  # "More than two streams hold events from engines of two versions".
EVENTS = 100  # At 0.1 s each; the time limit of the consumers is 15 s.


async def case(folder, record, has_trouble):
    """Plays the case; returns the exit code."""
    deployment = standins.Deployment(folder, record, EVENTS)
    try:
        return await play(deployment, record, has_trouble)
    finally:
        await deployment.close()


async def play(deployment, record, has_trouble):
    """The order of events."""
    await deployment.start_store()
    # The first half of the release is done: both versions serve side by side.
    old = [await deployment.add_engine(f"old{i}", "v1", zone) for i, zone in enumerate("ab")]
    for i, zone in enumerate("ab"):
        await deployment.add_engine(f"new{i}", "v2", zone)
    a = deployment.add_router("edge-a-1", "a")
    b = deployment.add_router("edge-b-1", "b")
    deployment.start_balancer()
    await deployment.until_in_rotation([a, b], 15)
    await asyncio.sleep(5)

    # Planned: the platform restarts one machine. Its consumers go to the other one meanwhile.
    if has_trouble:
        a.send_signal(signal.SIGTERM)
        while a.is_in_rotation:
            await asyncio.sleep(0.02)
    streams = [standins.Stream(deployment, i, f"s{i}") for i in range(STREAMS)]
    running = [asyncio.create_task(stream.run()) for stream in streams]
    await asyncio.sleep(0.8)
    # Planned: the second half of the release. The old engines serve on, for 6 s, and exit.
    for engine in old:
        await engine.deregister()
    leaves_at = asyncio.get_running_loop().time() + 6
    if has_trouble:
        if not await a.ended(8):
            raise standins.CaseCouldNotRun("the router did not end within grace_s")
        await asyncio.sleep(0.5)
        a.start()
        await deployment.until_in_rotation([a], 5)
    await asyncio.sleep(max(0, leaves_at - asyncio.get_running_loop().time()))
    for engine in old:
        engine.exit()
    await asyncio.gather(*running)

    began_old = [stream for stream in streams if stream.versions and stream.versions[0] == "v1"]
    mixed = [stream for stream in streams if len(stream.versions) > 1]
    took_up = sum(len(stream.took_up) for stream in streams)
    record(f"streams {len(streams)}, begun at v1 {len(began_old)}, attempts that take one up "
           f"{took_up}, streams with events of two versions {len(mixed)} "
           f"(allowed {ALLOWED_MIXED_STREAMS})")
    if len(began_old) <= ALLOWED_MIXED_STREAMS:
        raise standins.CaseCouldNotRun("too few streams began at the old version")
    return standins.RULE_BROKEN if len(mixed) > ALLOWED_MIXED_STREAMS else standins.RULE_HELD


if __name__ == "__main__":
    standins.run_case(case)

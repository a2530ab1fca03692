"""Streams that a planned restart of all machines breaks off are refused when consumers take them
up: the machines that know which version began them have been restarted too."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402  pylint: disable=wrong-import-position

ZONES = ["pasig-hall-a", "pasig-hall-a", "pasig-hall-b", "pasig-hall-b", "makati-hall",
         "quezon-hall"]
ENGINES = 18
GAP_S = 1.0  # Between two stops.
STREAMS_PER_S = 30
LEAD_S = 6  # Streams begin before the first stop.
LAST_STREAMS_S = 15  # And after it.
EVENTS = 120  # At 0.1 s each.
MIN_TAKEN_UP = 12


class Consumer(standins.Stream):
    """A stream whose tries are further apart, so that some come after the restarts."""

    RETRY_S = 0.3


async def case(folder, record, has_trouble):
    """Plays the case; returns the exit code."""
    deployment = standins.Deployment(folder, record, EVENTS)
    try:
        return await play(deployment, record, has_trouble)
    finally:
        await deployment.close()


async def restart(router):
    """Planned: SIGTERM, and a new start after a short delay."""
    router.send_signal(signal.SIGTERM)
    if not await router.ended(standins.GRACE_S):
        raise standins.CaseCouldNotRun("a router did not end within grace_s")
    await asyncio.sleep(0.4)
    router.start()


async def restart_all(routers):
    """Planned: SIGTERM to each machine, GAP_S apart."""
    restarts = []
    for router in routers:
        restarts.append(asyncio.create_task(restart(router)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*restarts)


async def play(deployment, record, has_trouble):
    """The order of events."""
    await deployment.start_store()
    for i in range(ENGINES):
        await deployment.add_engine(str(i), ("v1", "v2")[i % 2], ZONES[i % len(ZONES)])
    routers = [deployment.add_router(f"edge-{zone}-{i}", zone) for i, zone in enumerate(ZONES)]
    deployment.start_balancer()
    await deployment.until_in_rotation(routers, 20)
    await asyncio.sleep(11)

    clock = asyncio.get_running_loop().time
    streams, running = [], []
    begin = clock()
    stops = None
    while clock() - begin < LEAD_S + LAST_STREAMS_S:
        streams.append(Consumer(deployment, len(streams), f"s{len(streams)}"))
        running.append(asyncio.create_task(streams[-1].run()))
        await asyncio.sleep(1 / STREAMS_PER_S)
        if stops is None and clock() - begin > LEAD_S:
            # Without the disruption only the last machine is restarted.
            stops = asyncio.create_task(restart_all(routers if has_trouble else routers[-1:]))
    await asyncio.gather(*running)
    await stops

    # Streams that are first taken up at a machine in touch. One that is refused there may go on at
    # any later try.
    taken_up = [stream for stream in streams if stream.took_up and stream.took_up[0][2]]
    went_on = [stream for stream in taken_up if any(did for _, did, _ in stream.took_up)]
    new = [stream.began_in_touch for stream in streams if stream.began_in_touch is not None]
    began = sum(new) / max(1, len(new))
    share = len(went_on) / max(1, len(taken_up))
    mixed = sum(1 for stream in streams if len(stream.versions) > 1)
    record(f"first at machines in touch: streams taken up again {len(taken_up)}, of these go on "
           f"{len(went_on)} ({share:.2f}); new streams {len(new)}, of these begin {began:.2f}; "
           f"of two versions {mixed}")
    if len(taken_up) < MIN_TAKEN_UP:
        raise standins.CaseCouldNotRun("too few streams were taken up again")
    return standins.RULE_BROKEN if share < began / 2 else standins.RULE_HELD


if __name__ == "__main__":
    standins.run_case(case)

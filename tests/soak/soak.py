#!/usr/bin/python3
"""Runs real routers, with a store, engines and callers, under faults and checks their guarantees.

Usage: soak.py --router BINARY [--seed N] [--seconds S] [--routers N] [--engines N] [--callers N]
       [--restorations] [--streams] [--capacity]
The same seed gives the same faults at the same times. Prints each violated guarantee and exits 1 if
there is one. Ends only the processes that it started, by their ids.
"""

import argparse
import asyncio
import collections
import contextlib
import functools
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import capacity
import restoration
import rules
import streams
import wire
import world

STORE_PORT, ENGINE_PORT = 9000, 9100
FRONT, READY, METRICS, PEER = 8001, 8002, 8003, 8004
KEYS = ["key-a", "key-b"]
METHODS = {"i": "GET", "n": "POST", "s": "POST"}
# The callers must be served again this long after the last fault.
RECOVERY_S = 6.0
# A graceful stop takes at most 7.5 s, and a pause of up to 3 s may overlap it.
STOP_TIMEOUT_S = 12.0


class Router:
    """One router process."""

    def __init__(self, net, number, binary, folder):
        self.ip = f"{net}.0.{number}"
        self.binary = binary
        self.folder = folder
        self.number = number
        self.data_centre = f"dc{number % 2}"
        self.store = None
        self.process = None

    def settings_text(self):
        """The settings of the process."""
        return "".join(f"{key}: {value}\n" for key, value in {
            "vm": f"r{self.number}", "data_centre": self.data_centre,
            "listen_address": f'"{self.ip}:{FRONT}"', "ready_address": f'"{self.ip}:{READY}"',
            "metrics_address": f'"{self.ip}:{METRICS}"', "peer_address": f'"{self.ip}:{PEER}"',
            "store_address": f'"{self.store}"'}.items())

    def start(self):
        """Starts the process; it logs to a file, which is kept if the run fails."""
        settings = self.folder / f"router-{self.number}.yaml"
        settings.write_text(self.settings_text())
        log = open(self.folder / f"router-{self.number}.log", "ab")
        self.process = subprocess.Popen([self.binary, "--settings", str(settings)], stdout=log,
                                        stderr=log, close_fds=True)
        log.close()

    def send_signal(self, signal_number):
        """Sends a signal to the process if it is running."""
        if self.process.poll() is None:
            self.process.send_signal(signal_number)

    async def metric(self, name):
        """The value of a metric without labels."""
        reader, writer = await asyncio.open_connection(self.ip, METRICS)
        writer.write(wire.message("GET /metrics HTTP/1.1", {"host": "h"}))
        _, fields = await wire.read_head(reader)
        text = (await wire.read_whole_body(reader, fields)).decode()
        writer.close()
        return next(float(line.split()[1]) for line in text.splitlines()
                    if line.startswith(f"{name} "))

    @staticmethod
    async def wait_for_exit(process, seconds):
        """Waits for a process to exit; returns False if it is still running."""
        for _ in range(int(seconds / 0.05)):
            if process.poll() is not None:
                return True
            await asyncio.sleep(0.05)
        return False

    async def stop(self):
        """Kills the process, even if it is paused."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self.wait_for_exit(self.process, 5)


class Soak:
    """One run with its processes, faults, callers and checks."""

    def __init__(self, options, folder):
        self.options = options
        self.folder = folder
        self.rng = world.random_generator(options.seed, "faults")
        self.runs = {}
        self.refused = set()  # Ids of requests whose answer says that they did not run.
        self.kinds = {}  # Request id -> kind.
        self.outcomes = collections.Counter()
        self.violations = []
        self.arrival_checker = rules.ArrivalChecker(self.violations)
        self.disturbances = self.arrival_checker.disturbances
        self.recent_results = collections.deque(maxlen=400)  # (Time, whether it was served.)
        self.store = world.Store()
        self.version = 1
        self.routers, self.engines, self.proxies, self.store_proxies = [], [], [], []
        self.next_id = 0
        self.is_finished = False
        self.capacity = capacity.Capacity(self) if options.capacity else None

    def configuration(self):
        """The current configuration."""
        return world.operator_configuration(self.version, KEYS,
                                            capacity.ENGINE if self.capacity else None)

    async def set_up(self):
        """Starts store, engines, proxies and routers."""
        net = f"127.{self.options.net}"
        servers = [await wire.serve(f"{net}.9.1", STORE_PORT, self.store.handle)]
        await self.store.put("keyed.op", "config", self.configuration())
        for i in range(self.options.engines):
            service = "app" if i % 2 else "llm"
            has_capacity = self.capacity and service == "llm"
            engine = (capacity.CapacityEngine if has_capacity else world.Engine)(
                f"e{i}", service, f"dc{i // 2 % 2}", self.runs,
                world.random_generator(self.options.seed, f"engine {i}"))
            if has_capacity:
                engine.on_crash = self.capacity.crashed
            engine.on_arrival = self.arrival_checker.check_arrival
            if self.options.streams:
                engine.version_of_boot = functools.partial(streams.engine_version, i)
            ip = f"{net}.2.{i + 1}"
            servers.append(await wire.serve(ip, ENGINE_PORT, engine.handle))
            proxy_ip = f"{net}.3.{i + 1}"
            self.proxies.append(await world.Proxy((ip, ENGINE_PORT)).start(proxy_ip, ENGINE_PORT))
            engine.address = f"{proxy_ip}:{ENGINE_PORT}"
            self.engines.append(engine)
            await self.store.put("keyed.servers", engine.id, engine.entry())
        for i in range(self.options.routers):
            proxy_ip = f"{net}.4.{i + 1}"
            self.store_proxies.append(
                await world.Proxy((f"{net}.9.1", STORE_PORT)).start(proxy_ip, STORE_PORT))
            router = Router(net, i + 1, self.options.router, self.folder)
            router.store = f"{proxy_ip}:{STORE_PORT}"
            with self.disturbing(f"router {router.number}"):
                router.start()
            self.routers.append(router)
        return servers

    @contextlib.contextmanager
    def disturbing(self, *names):
        """Marks components as disturbed while the block runs, and for rules.STABLE_S after it."""
        for name in names:
            self.disturbances.begin(name)
        try:
            yield
        finally:
            for name in names:
                self.disturbances.end(name)

    # Faults; each ends by itself.

    async def restart(self, router, signal_number):
        """Ends the process by a signal and starts a new one, unless another fault did."""
        process = router.process
        with self.disturbing(f"router {router.number}"):
            router.send_signal(signal_number)
            if not await router.wait_for_exit(process, STOP_TIMEOUT_S):
                self.violations.append(f"router {router.number} did not end in time after "
                                       f"{signal_number.name}")
                await router.stop()
            if router.process is process:
                router.start()

    async def fault_kill(self, rng):
        """Kills a router."""
        await self.restart(rng.choice(self.routers), signal.SIGKILL)

    async def fault_terminate(self, rng):
        """Stops a router gracefully."""
        await self.restart(rng.choice(self.routers), signal.SIGTERM)

    async def fault_pause(self, rng):
        """Pauses a router; another fault may signal it meanwhile."""
        router = rng.choice(self.routers)
        with self.disturbing(f"router {router.number}"):
            router.send_signal(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.2, 3))
            router.send_signal(signal.SIGCONT)

    async def fault_hup(self, rng):
        """Makes a router reload its settings."""
        rng.choice(self.routers).send_signal(signal.SIGHUP)

    async def fault_herd(self, rng):
        """Kills all routers at once."""
        del rng
        await asyncio.gather(*(self.restart(router, signal.SIGKILL) for router in self.routers))

    async def fault_engine_link(self, rng):
        """Disturbs the connections to an engine."""
        number = rng.randrange(len(self.proxies))
        proxy = self.proxies[number]
        with self.disturbing(f"engine {self.engines[number].name}"):
            proxy.set_mode(rng.choice(world.Proxy.MODES[1:]))
            await asyncio.sleep(rng.uniform(0.3, 3))
            proxy.set_mode("pass")

    async def fault_engine(self, rng):
        """Makes an engine slow, unresponsive, break connections or shed requests."""
        engine = rng.choice(self.engines)
        engine.mode = rng.choice(["slow", "mute", "reset", "shed"])
        await asyncio.sleep(rng.uniform(0.5, 3))
        engine.mode = "good"

    async def fault_unframed(self, rng):
        """Makes an engine send answers without framing and break some streams off."""
        engine = rng.choice(self.engines)
        engine.mode = "unframed"
        await asyncio.sleep(rng.uniform(1, 4))
        engine.mode = "good"

    async def fault_replace(self, rng):
        """Drains an engine; a new start of it then takes over its address."""
        engine = rng.choice(self.engines)
        if engine.is_changing:
            return
        engine.is_changing = True
        await self.store.put("keyed.servers", engine.id, engine.entry("draining"))
        await asyncio.sleep(1.5)
        await self.start_anew(engine)
        engine.is_changing = False

    async def start_anew(self, engine):
        """Replaces an engine by a new start of it, which warms up."""
        await self.store.put("keyed.servers", engine.id, "")
        engine.start_anew()
        await self.warm_up(engine)

    async def warm_up(self, engine):
        """Makes an engine cold, waits until it is warm and updates its entry."""
        engine.become_cold()
        await self.store.put("keyed.servers", engine.id, engine.entry())
        await asyncio.sleep(world.WARMUP_S)
        await self.store.put("keyed.servers", engine.id, engine.entry())

    async def fault_cold(self, rng):
        """Makes an engine cold without a new start."""
        engine = rng.choice(self.engines)
        if engine.is_changing:
            return
        engine.is_changing = True
        await self.warm_up(engine)
        engine.is_changing = False

    async def fault_drain(self, rng):
        """Drains a data centre and ends the drain; its engines are cold afterwards."""
        data_centre = f"dc{rng.randrange(2)}"
        if self.arrival_checker.drained_at:
            return
        await self.store.put("keyed.op", f"evacuate/{data_centre}", "{}")
        self.arrival_checker.drained_at[data_centre] = time.monotonic()
        await asyncio.sleep(rng.uniform(4, 9))
        del self.arrival_checker.drained_at[data_centre]
        for engine in self.engines:
            if engine.data_centre == data_centre:
                engine.become_cold()
        await self.store.put("keyed.op", f"evacuate/{data_centre}", "")

    async def fault_store(self, rng):
        """Makes the store slow, refuse calls, or disturbs the connections of one router to it."""
        kind = rng.choice(["slow", "refuse", "some"])
        with self.disturbing("store"):
            if kind == "slow":
                self.store.delay = rng.uniform(0.1, 0.5)
            elif kind == "refuse":
                self.store.status = rng.choice([503, 429])
            else:
                proxy = rng.choice(self.store_proxies)
                proxy.set_mode(rng.choice(world.Proxy.MODES[1:]))
            await asyncio.sleep(rng.uniform(0.5, 4))
            self.store.delay, self.store.status = 0.0, 200
            for proxy in self.store_proxies:
                proxy.set_mode("pass")

    async def fault_configure(self, rng):
        """Writes a newer configuration to the store."""
        del rng
        self.version += 1
        await self.store.put("keyed.op", "config", self.configuration())

    async def inject_faults(self):
        """Starts random faults until the time is up; they may overlap."""
        faults = sorted(name for name in dir(self) if name.startswith("fault_"))
        if self.options.restorations:
            faults.remove("fault_store")  # It would leave no time in which the store is stable.
        if not self.options.streams:
            faults.remove("fault_unframed")
        if self.capacity:
            faults = [name for name in faults if name not in capacity.OTHER_FAULTS]
        running = []
        end = time.monotonic() + self.options.seconds
        while time.monotonic() < end:
            name = self.rng.choice(faults)
            if name == "fault_herd" and self.rng.random() < 0.7:
                continue
            rng = world.random_generator(self.options.seed, f"{name} {len(running)}")
            running.append(asyncio.create_task(getattr(self, name)(rng)))
            await asyncio.sleep(self.rng.uniform(0.1, 0.9))
        await asyncio.gather(*running)

    async def restore_store(self):
        """Restores the store from older copies, under frequent changes of the configuration."""
        rng = world.random_generator(self.options.seed, "restorations")
        end = asyncio.get_running_loop().time() + self.options.seconds
        restorations = restoration.Restorations(self.store, self.disturbing, rng)
        await asyncio.gather(restorations.run(end), self.configure_often(end),
                             self.check_configurations(end))

    async def configure_often(self, end):
        """Writes newer configurations until `end` on the loop's clock."""
        rng = world.random_generator(self.options.seed, "configurations")
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(rng.uniform(0.4, 1.2))
            await self.fault_configure(rng)

    async def check_configurations(self, end):
        """Checks the configurations of the routers until `end` on the loop's clock."""
        written = collections.deque()  # (Time, version), oldest first.
        due = 0
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.25)
            written.append((time.monotonic(), self.version))
            while time.monotonic() - written[0][0] > rules.CONFIGURATION_S:
                due = written.popleft()[1]
            for router in self.routers:
                if self.disturbances.is_undisturbed("store", rules.CONFIGURATION_STABLE_S) \
                        and self.disturbances.is_undisturbed(f"router {router.number}",
                                                             rules.CONFIGURATION_STABLE_S):
                    await self.check_configuration(router, due)

    async def check_configuration(self, router, due):
        """The router must have this version of the configuration, or a newer one, in force."""
        try:
            revision = await router.metric("lagoonbank_gateway_configuration_revision")
        except (wire.ConnectionBroken, OSError):
            return  # A fault has just begun.
        if revision < due:
            self.violations.append(f"router {router.number} has configuration {revision:.0f} in "
                                   f"force instead of {due}")

    # Callers.

    async def run_caller(self, number):
        """Sends requests over a persistent connection; picks a random router after a failure."""
        rng = world.random_generator(self.options.seed, f"caller {number}")
        connection = None
        while not self.is_finished:
            if connection is None:
                connection = await self.connect(rng.choice(self.routers))
            if connection is not None and self.options.streams and rng.random() < 0.6:
                connection = await self.send_stream(connection, rng)
            elif connection is not None:
                connection = await self.send_request(connection, rng)
            await asyncio.sleep(rng.uniform(0.01, 0.08))
        if connection:
            connection[1].close()

    @staticmethod
    async def connect(router):
        """A connection to a router, or None."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(router.ip, FRONT), 1)
            return reader, writer, router.number
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.05)
            return None

    def next_request(self, kind, router, rng):
        """Id and header fields of a new request."""
        self.next_id += 1
        request = f"{self.options.seed:x}-{self.next_id:x}"
        self.kinds[request] = kind
        self.arrival_checker.sent_requests[request] = (time.monotonic(), router)
        return request, {"host": "h", "lagoonbank-attempt-id": request,
                         "api-key": rng.choice(KEYS), "lagoonbank-deadline-remaining": "4000"}

    async def send_stream(self, connection, rng):
        """Sends a request for a stream and resumes it elsewhere if it breaks.

        Returns the connection if it can be reused, else None."""
        stream = streams.StreamCaller("", rng, self.violations)
        for _ in range(1 + streams.MAX_RESUMES):
            if connection is None:
                connection = await self.connect(rng.choice(self.routers))
            if connection is None:
                return None
            reader, writer, router = connection
            request, fields = self.next_request("s", router, rng)
            what = "resumed" if stream.received else "begun"
            try:
                writer.write(wire.message("POST /s/x HTTP/1.1",
                                          fields | stream.request_fields(request)))
                status = await asyncio.wait_for(self.read_stream(reader, request, stream), 6)
                self.record_outcome(f"{what} {status}", status == 200)
                if status == 200:
                    return connection
            except (wire.ConnectionBroken, OSError, asyncio.TimeoutError):
                self.outcomes[f"{what} cut"] += 1
            writer.close()
            connection = None
        return None

    async def read_stream(self, reader, request, stream):
        """Reads the answer to a request for a stream; returns its status."""
        head = await wire.read_head(reader)
        if head is None:
            raise wire.ConnectionBroken("closed")
        status = int(head[0].split(" ")[1])
        if status == 200:
            await stream.read(reader, head[1], request)
        return status

    async def send_request(self, connection, rng):
        """Sends one request; returns the connection if it can be reused, else None."""
        reader, writer, router = connection
        kind = rng.choice("inss")
        request, fields = self.next_request(kind, router, rng)
        try:
            body = b""
            if self.capacity and kind == "s":
                fields |= self.capacity.prompt_fields(request)
                # Equal requests that run at lost engines would be quarantined as their cause.
                body = request.encode()
            writer.write(wire.message(f"{METHODS[kind]} /{kind}/x HTTP/1.1", fields, body))
            keep_open = await asyncio.wait_for(self.read_answer(reader, request, kind), 6)
        except (wire.ConnectionBroken, OSError):
            self.record_outcome("cut", False)
            keep_open = False
        except asyncio.TimeoutError:
            self.record_outcome("no answer", False)
            keep_open = False
        if not keep_open:
            writer.close()
            return None
        return connection

    async def read_answer(self, reader, request, kind):
        """Reads and checks one answer; returns whether the connection is kept."""
        head = await wire.read_head(reader)
        if head is None:
            raise wire.ConnectionBroken("closed")
        status = int(head[0].split(" ")[1])
        fields = head[1]
        body = await wire.read_whole_body(reader, fields)
        if status in (429, 503, 408, 421):
            self.refused.add(request)
        if status == 200:
            self.check_success(request, kind, fields, body)
        elif status in (400, 401, 403, 404):
            self.violations.append(f"{request} was answered {status} although it is valid")
        self.record_outcome(str(status), status == 200)
        if self.capacity:
            await self.capacity.answered(request, status, fields)
        return fields.get("connection", "").lower() != "close"

    def check_success(self, request, kind, fields, body):
        """A success must have the complete answer to this request, its id and a seal."""
        whole = [b"".join(world.event(request, n, version) for n in range(1, world.EVENTS + 1))
                 for version in ("v1", "v2")]
        expected = whole if kind == "s" else [world.plain_body(request)]
        if body not in expected:
            self.violations.append(f"{request} got the wrong body: {body[:80]!r}")
        if not fields.get("lagoonbank-server-seal") or fields.get(
                "lagoonbank-attempt-id") != request:
            self.violations.append(f"{request} got a success without its id or the engine's seal")

    def record_outcome(self, outcome, served):
        """Counts the outcome of a request."""
        self.outcomes[outcome] += 1
        self.recent_results.append((time.monotonic(), served))

    def check_runs(self):
        """Compares the requests that engines ran with the answers that callers got."""
        for request, engines in self.runs.items():
            if request not in self.kinds:
                self.violations.append(f"{request} ran although no caller sent it")
            elif self.kinds[request] == "n" and len(engines) > 1:
                self.violations.append(f"{request} must run only once and ran at {engines}")
            if request in self.refused and self.kinds.get(request) == "n":
                self.violations.append(
                    f"{request} was refused as not executed but ran at {engines}")
            elif self.capacity and request in self.capacity.refused:
                self.violations.append(f"{request} was answered 503 but ran at {engines}")

    async def run(self):
        """Runs everything; returns the violated guarantees."""
        servers = await self.set_up()
        await asyncio.sleep(1)
        callers = [asyncio.create_task(self.run_caller(i)) for i in range(self.options.callers)]
        parts = [self.inject_faults()]
        if self.options.restorations:
            parts.append(self.restore_store())
        if self.capacity:
            parts.append(self.capacity.lose_most())
        await asyncio.gather(*parts)
        await asyncio.sleep(RECOVERY_S)
        since = time.monotonic() - 2
        recent = [served for answered_at, served in self.recent_results if answered_at > since]
        if not recent or sum(recent) < 0.9 * len(recent):
            self.violations.append(
                f"after the faults only {sum(recent)} of {len(recent)} requests are served")
        self.is_finished = True
        await asyncio.gather(*callers)
        for router in self.routers:
            await router.stop()
        for server in servers:
            server.close()
        self.check_runs()
        return self.violations


def main():
    """Reads the command line and runs once."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--router", required=True)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--routers", type=int, default=4)
    parser.add_argument("--engines", type=int, help="default: 8, with --capacity 20")
    parser.add_argument("--callers", type=int, help="default: 12, with --capacity 100")
    parser.add_argument("--restorations", action="store_true",
                        help="restore the store from older copies, beside all faults but its own")
    parser.add_argument("--streams", action="store_true",
                        help="engines run two software versions and send answers without framing, "
                             "and callers resume streams, beside all other faults")
    parser.add_argument("--capacity", action="store_true",
                        help="engines of little memory that are slow at times, of which most are "
                             "lost for some seconds, beside the faults of routers")
    parser.add_argument("--net", type=int, default=77,
                        help="second octet of the loopback addresses; differs for concurrent runs")
    parser.add_argument("--keep", help="folder for settings and logs; default: a new one")
    options = parser.parse_args()
    if options.capacity and options.streams:
        parser.error("--capacity and --streams exclude each other: resumed streams have no prompt")
    options.engines = options.engines or (20 if options.capacity else 8)
    options.callers = options.callers or (100 if options.capacity else 12)
    if options.seed is None:
        options.seed = time.time_ns() % 1000000
    folder = pathlib.Path(options.keep or tempfile.mkdtemp(prefix="lagoonbank-soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    soak = Soak(options, folder)
    violations = asyncio.run(soak.run())
    print(f"seed {options.seed}: {dict(soak.outcomes)}, {len(soak.runs)} ran, "
          f"{len(violations)} violations")
    if soak.capacity:
        print(f"  streams while most engines were lost: {dict(soak.capacity.outcomes)}, "
              f"{len(soak.capacity.crashes)} engines crashed")
    for line in violations[:20]:
        print(f"  {line}")
    if violations:
        print(f"  logs: {folder}")
    elif not options.keep:
        shutil.rmtree(folder)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()

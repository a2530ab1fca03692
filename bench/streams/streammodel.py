#!/usr/bin/env python3
"""Compares ways of keeping which software version began a stream, so that callers can resume the
stream after all routers have ended at the same moment. There is no network: streams, datagrams and
writes are drawn from a seeded generator. Prints one table.

    python3 bench/streams/streammodel.py --seed N

Time 0 is the moment at which all routers end; negative times are before it.
"""

import argparse
import bisect
import dataclasses
import math
import random

OLD, NEW = 0, 1  # Software versions of endpoints.


@dataclasses.dataclass(frozen=True)
class Fleet:
    """Size of a deployment, and its prices in units of worth."""
    routers: int
    streams_per_s_router: float
    endpoints: int
    store_writes_per_s: float
    store_partitions: int
    call_price_worth: float  # Per call to the store.
    streams_worth_per_s: float  # Rate of each kind of stream times its worth, summed.
    trials: int


# Prices and worth are those of lipatdamit-hq, lipatdamit-hq-grown and qila-bookings-large.
FLEETS = (
    Fleet(6, 15, 18, 400, 12, 0.12, 264, 200),
    Fleet(80, 15, 60, 1200, 24, 0.64, 886, 20),
    Fleet(300, 17, 192, 1200, 24, 1.54, 2514, 6),
)


@dataclasses.dataclass(frozen=True)
class Options:
    """What all ways have in common."""
    min_life_s: float = 1.0
    max_life_s: float = 4.0
    outage_s: float = 2.0
    ready_s: float = 0.1  # From the start of a router to its first request.
    resume_delay_s: float = 0.3  # Mean, from a router's readiness to a caller's next try.
    second_end_s: float = 1.0  # After the first start.
    history_s: float = 8.0  # Simulated before the end of all.
    datagram_s: float = 0.001
    write_s: float = 0.004
    # Seven of 18 endpoints were replaced within 4.2 s in the incident of streams at two versions.
    release_share_per_s: float = 0.09
    old_share_at_end: float = 0.5
    min_share: float = 0.1  # Both versions keep at least this share of the slots.
    entry_lag_s: float = 0.7  # Maximum age of endpoints' entries at a router.
    restored_age_s: float = 3.0  # Age of the copy from which the store is restored.
    restored_at_s: float = 1.0  # After the end of all, so that no router can write again.
    store_away_s: float = 1.0
    writer_ended_s: float = 1.0  # Before the end of all. Peers do not notice it within this time.
    # Report or answer for one stream as in docs/CAPACITY.md: 46 bytes for IP, UDP and the seal.
    report_bytes: float = 62.0
    peer_holders: int = 3
    peer_budget_bytes_per_s: float = 3000.0
    record_bytes: float = 16.0  # Hashes of a stream and of its version.
    call_bytes: float = 500.0  # Heads of a call and of its response. Assumed, not measured.
    calls_per_read: int = 2  # The first one returns only which offsets the store has.
    all_read_routers: int = 24  # Up to this number of routers, each reads all streams at its start.
    # Assumed, not measured: share of streams that load places at a version other than the computed
    # one, share of last prompt parts that endpoints of both versions hold, and share evicted.
    exception_share: float = 0.1
    ambiguous_share: float = 0.15
    evicted_share: float = 0.02


@dataclasses.dataclass(frozen=True)
class Way:
    """A way of keeping versions; what a way does not use is left at 0."""
    name: str
    kind: str  # "peers", "versions", "each", "few", "engines", "hash" or "hash+few"
    write_interval_s: float = 0.0
    writers: int = 0
    shard_routers: int = 24
    loss: float = 0.001
    # The second writer sends the first one the reports that a confirmed batch lacks, and writes
    # itself what stays unconfirmed for 1.5 intervals.
    has_standby: bool = False
    later_interval_s: float = 0.0  # Of all writers but the first; write_interval_s if 0.
    is_release_held: bool = False  # The shares of versions do not change.
    ambiguous_share: float = -1.0  # Options.ambiguous_share if negative.


WAYS = (
    Way("A peers only, 3 holders", "peers"),
    Way("Versions in the store, streams at peers", "versions"),
    Way("B each router, 0.1 s", "each", 0.1),
    Way("B each router, 0.2 s", "each", 0.2),
    Way("B each router, 0.5 s", "each", 0.5),
    Way("C 2 writers, 0.2 s, shard 24, loss 0.1 %", "few", 0.2, 2),
    Way("C 2 writers, 0.2 s, shard 24, loss 1 %", "few", 0.2, 2, loss=0.01),
    Way("C 2 writers, 0.5 s, shard 24", "few", 0.5, 2),
    Way("C 2 writers, 1 s, shard 24", "few", 1.0, 2),
    Way("C 1 writer, 0.2 s, shard 24, loss 1 %", "few", 0.2, 1, loss=0.01),
    Way("C 1 writer, 0.5 s, shard 24", "few", 0.5, 1),
    Way("C 2 writers, 0.2 s, shard 100", "few", 0.2, 2, 100),
    Way("C 2 writers, 0.04 s, shard 100", "few", 0.04, 2, 100),
    Way("C 0.04 s and 0.2 s, shard 100", "few", 0.04, 2, 100, later_interval_s=0.2),
    Way("C 0.04 s and 0.2 s, shard 100, loss 1 %", "few", 0.04, 2, 100, 0.01,
        later_interval_s=0.2),
    Way("C 0.08 s and 0.2 s, shard 100", "few", 0.08, 2, 100, later_interval_s=0.2),
    Way("C writer and standby, 0.2 s, shard 24", "few", 0.2, 2, has_standby=True),
    Way("C writer and standby, 0.2 s, shard 24, loss 1 %", "few", 0.2, 2, 24, 0.01, True),
    Way("C writer and standby, 0.2 s, shard 50", "few", 0.2, 2, 50, has_standby=True),
    Way("C writer and standby, 0.2 s, shard 100", "few", 0.2, 2, 100, has_standby=True),
    Way("C writer and standby, 0.2 s, shard 100, loss 1 %", "few", 0.2, 2, 100, 0.01, True),
    Way("C writer and standby, 0.3 s, shard 100", "few", 0.3, 2, 100, has_standby=True),
    Way("C writer and standby, 0.5 s, shard 100", "few", 0.5, 2, 100, has_standby=True),
    Way("D endpoints asked, 5 % ambiguous", "engines", ambiguous_share=0.05),
    Way("D endpoints asked, 15 % ambiguous", "engines"),
    Way("D endpoints asked, 30 % ambiguous", "engines", ambiguous_share=0.3),
    Way("E computed, release goes on", "hash"),
    Way("E computed, shares held", "hash", is_release_held=True),
    Way("F computed, exceptions as C, 0.2 s, shard 24", "hash+few", 0.2, 2),
    Way("F the same, loss 1 %", "hash+few", 0.2, 2, loss=0.01),
)


@dataclasses.dataclass
class Stream:
    """One stream; its version is set when it begins."""
    router: int
    begin_s: float
    end_s: float
    position: float  # Hash in [0, 1): computed ways choose OLD below the share of OLD.
    version: int = OLD
    reported_at_s: float = math.inf  # When the way reports it.
    durable_at_s: float = math.inf  # When the store holds it.
    is_exception: bool = False
    endpoint: int = 0


class Release:
    """Share of slots of the old version: endpoints are replaced one after the other."""

    def __init__(self, options, fleet, is_held, rng):
        self.endpoints, self.is_held = fleet.endpoints, is_held
        # No endpoint leaves at exactly the time at which all routers end.
        self.options = dataclasses.replace(options, old_share_at_end=options.old_share_at_end
                                           - rng.uniform(0, 1 / fleet.endpoints))

    def share(self, at_s):
        """Share of the old version, in steps of one endpoint."""
        o = self.options
        if self.is_held:
            return o.old_share_at_end
        share = o.old_share_at_end - o.release_share_per_s * at_s
        share = min(1 - o.min_share, max(o.min_share, share))
        return math.ceil(share * self.endpoints) / self.endpoints

    def crossing(self, position):
        """Time at which the share of the old version falls to a hash position."""
        o = self.options
        step = math.floor(position * self.endpoints) / self.endpoints
        return (o.old_share_at_end - step) / o.release_share_per_s


class StoreLimit:
    """Write calls that the store accepts. Its window is not specified; 0.1 s is assumed."""
    WINDOW_S = 0.1

    def __init__(self, per_s):
        self.burst, self.per_s = max(1.0, per_s * self.WINDOW_S), per_s
        self.tokens, self.at_s = self.burst, -math.inf

    def accepts(self, at_s):
        """Whether a call at this time is accepted. Times must not decrease."""
        if self.at_s > -math.inf:
            self.tokens = min(self.burst, self.tokens + (at_s - self.at_s) * self.per_s)
        self.at_s = at_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Trial:
    """One run of a way in a fleet."""

    def __init__(self, way, fleet, options, rng):
        self.way, self.fleet, self.o, self.rng = way, fleet, options, rng
        self.release = Release(options, fleet, way.is_release_held, rng)
        self.shards = max(1, math.ceil(fleet.routers / way.shard_routers))
        self.stored_share_at_s = 0.0  # Time of the latest shares that the store has.
        self.lags_s = [rng.uniform(0, options.entry_lag_s) for _ in range(fleet.routers)]
        self.start_s = options.outage_s + options.ready_s
        self.second_s = options.outage_s + options.second_end_s
        self.streams = (self.make_streams(-options.history_s, 0.0)
                        + self.make_streams(self.start_s, self.second_s))
        self.calls, self.refused_calls = 0, 0
        self.spans = ((-options.history_s, 0.0), (options.outage_s, self.second_s))
        self.batches = {}  # Times of accepted batches by writer.
        if way.kind == "each":
            self.make_batches(fleet.routers)
        elif way.writers:
            self.make_batches(self.shards * way.writers)
        for stream in self.streams:
            if stream.reported_at_s < math.inf:
                stream.durable_at_s = self.durable_at(stream, self.delivery(stream))

    def make_streams(self, from_s, to_s):
        """Streams that begin within a span, at random times."""
        o, rng, streams = self.o, self.rng, []
        rate = self.fleet.routers * self.fleet.streams_per_s_router
        at_s = from_s
        while True:
            at_s += rng.expovariate(rate)
            if at_s >= to_s:
                return streams
            stream = Stream(rng.randrange(self.fleet.routers), at_s,
                            at_s + rng.uniform(o.min_life_s, o.max_life_s), rng.random())
            self.begin(stream)
            streams.append(stream)

    def begin(self, stream):
        """Chooses the version, and when the way reports the stream."""
        o, kind = self.o, self.way.kind
        share = self.release.share(stream.begin_s - self.lags_s[stream.router])
        computed = OLD if stream.position < share else NEW
        if kind in ("hash", "hash+few"):
            stream.is_exception = self.rng.random() < o.exception_share
            stream.version = 1 - computed if stream.is_exception else computed
            if kind == "hash+few":
                if stream.is_exception:
                    stream.reported_at_s = stream.begin_s
                elif stream.version == OLD:
                    # The computed version changes while the stream lasts.
                    known_s = self.release.crossing(stream.position) + self.lags_s[stream.router]
                    if stream.begin_s < known_s < stream.end_s:
                        stream.reported_at_s = known_s
            return
        stream.version = computed
        stream.endpoint = self.rng.randrange(max(1, round(share * self.fleet.endpoints)))
        if kind in ("each", "few"):
            stream.reported_at_s = stream.begin_s

    def make_batches(self, writers):
        """Draws when each writer writes, and which of its calls the store accepts. Intervals vary
        by 10 %, so that the same writers are not always the ones that are rejected."""
        limit, calls = StoreLimit(self.fleet.store_writes_per_s), []
        for writer in range(writers):
            self.batches[writer] = []
            is_first = writer % max(1, self.way.writers) == 0
            interval_s = (self.way.write_interval_s if is_first or not self.way.later_interval_s
                          else self.way.later_interval_s)
            if self.is_standby(writer):
                continue
            for from_s, to_s in self.spans:
                at_s = from_s + self.rng.uniform(0, interval_s)
                while at_s < to_s:
                    calls.append((at_s, writer))
                    at_s += interval_s * self.rng.uniform(0.9, 1.1)
        for at_s, writer in sorted(calls):
            is_accepted = limit.accepts(at_s)
            if -4 <= at_s < 0:  # Steady state.
                self.calls += 1
                self.refused_calls += not is_accepted
            if is_accepted:
                self.batches[writer].append(at_s)

    def is_standby(self, writer):
        """Whether the writer writes only what another one has not confirmed."""
        return self.way.has_standby and writer % 2 == 1

    def delivery(self, stream):
        """Writers and the times at which they have the report of a stream; losses are drawn."""
        if self.way.kind == "each":
            return [(stream.router, stream.reported_at_s)]
        shard, delivered = self.rng.randrange(self.shards), []
        for i in range(self.way.writers):
            if self.rng.random() >= self.way.loss:
                delivered.append((shard * self.way.writers + i,
                                  stream.reported_at_s + self.o.datagram_s))
        return delivered

    def durable_at(self, stream, delivered, ended_writer_at_s=math.inf):
        """When the store holds what was delivered. The first writer of each shard may have ended
        at a given time."""
        best_s = math.inf  # The earliest of all writers.
        for writer, at_s in delivered:
            if self.is_standby(writer):
                write_s = self.standby_write(writer, at_s, ended_writer_at_s)
            else:
                write_s = self.next_batch(writer, at_s)
                if writer % max(1, self.way.writers) == 0 and write_s >= ended_writer_at_s:
                    continue
            best_s = min(best_s, write_s + self.o.write_s)
        return best_s

    def next_batch(self, writer, at_s):
        """Time of the writer's next accepted batch in the same life; infinite if there is none."""
        batches = self.batches[writer]
        i = bisect.bisect_left(batches, at_s)
        if i == len(batches) or self.span(batches[i]) != self.span(at_s):
            return math.inf
        return batches[i]

    def standby_write(self, writer, at_s, ended_writer_at_s):
        """When a report that a standby has is written, by the first writer if that lives."""
        first = writer - 1
        confirmed_s = self.next_batch(first, at_s) + self.o.write_s + self.o.datagram_s
        if confirmed_s < ended_writer_at_s:
            return self.next_batch(first, confirmed_s + self.o.datagram_s)
        write_s = at_s + self.way.write_interval_s * self.rng.uniform(1.5, 2.5)
        return write_s if self.span(write_s) == self.span(at_s) else math.inf

    def span(self, at_s):
        """Which life of the routers a time belongs to; -1 between them."""
        for i, (from_s, to_s) in enumerate(self.spans):
            if from_s <= at_s < to_s:
                return i
        return -1

    def outcome(self, stream, at_s, is_known, are_both_listed):
        """Whether a resumed stream goes on, gets events of two versions, or is refused."""
        kind, rng, o = self.way.kind, self.rng, self.o
        if kind == "engines":
            share = o.ambiguous_share if self.way.ambiguous_share < 0 else self.way.ambiguous_share
            holders = set()
            left = stream.version == OLD and (
                not are_both_listed
                or stream.endpoint >= self.release.share(at_s) * self.fleet.endpoints)
            if not left and rng.random() >= o.evicted_share:
                holders.add(stream.version)
            if rng.random() < share and (are_both_listed or stream.version == OLD):
                holders.add(1 - stream.version)
            if len(holders) != 1:
                return "refused"
            return "goes on" if stream.version in holders else "mixed"
        if kind in ("hash", "hash+few"):
            if kind == "hash":
                share = self.release.share(at_s) if are_both_listed else 0.0
            else:
                share = self.release.share(self.stored_share_at_s)
            resumed = OLD if stream.position < share else NEW
            if is_known:
                resumed = stream.version
            if kind == "hash+few" and resumed == OLD and not are_both_listed:
                return "refused"
            return "goes on" if resumed == stream.version else "mixed"
        if is_known:
            return "goes on" if are_both_listed or stream.version == NEW else "refused"
        if kind != "peers" or are_both_listed:
            return "refused"
        return "goes on" if stream.version == NEW else "mixed"

    def shares(self, streams, is_known, are_both_listed=True, base_s=None, stored_share_at_s=0.0):
        """Shares of outcomes of the streams, each resumed once."""
        self.stored_share_at_s = stored_share_at_s
        counts = {"goes on": 0, "mixed": 0, "refused": 0}
        base_s = self.start_s if base_s is None else base_s
        for stream in streams:
            at_s = base_s + self.rng.expovariate(1 / self.o.resume_delay_s)
            counts[self.outcome(stream, at_s, is_known(stream), are_both_listed)] += 1
        return {name: count / max(1, len(streams)) for name, count in counts.items()}

    def run(self):
        """Returns the figures of this trial."""
        o, fleet, way, figures = self.o, self.fleet, self.way, {}
        broken = [s for s in self.streams if s.begin_s < 0 < s.end_s]

        def known(stream):
            return stream.durable_at_s <= 0

        first = self.shares(broken, known)
        figures.update(first)
        figures["mixed_gone"] = self.shares(broken, known, False)["mixed"]

        # Ages of what is known, in steady state.
        ages = [s.durable_at_s - s.reported_at_s for s in self.streams
                if -4 <= s.reported_at_s < -3 and s.durable_at_s < math.inf]
        figures["age_s"] = sum(ages) / len(ages) if ages else math.nan
        figures["worst_age_s"] = max(ages) if ages else math.nan

        # Second end of all: new streams, and those that went on and still last.
        second = [s for s in self.streams if s.begin_s > 0 and s.end_s > self.second_s]
        resumed = [s for s in broken if s.end_s > self.second_s - self.start_s
                   and self.rng.random() < first["goes on"]]
        if way.kind == "hash+few":
            resumed = [self.report_resumed(s) for s in resumed]
        figures["second"] = self.shares(
            second + resumed, lambda s: s.durable_at_s <= self.second_s,
            base_s=self.second_s + o.outage_s + o.ready_s, stored_share_at_s=self.second_s)

        figures["young"] = mean([known(s) for s in self.streams
                                 if -0.07 <= s.begin_s <= -0.05 and s.reported_at_s < math.inf])

        # One writer ended before the others, unnoticed; for "each" and "peers" one router.
        if way.writers:
            figures["writer"] = self.shares(
                broken, lambda s: s.reported_at_s < math.inf and self.durable_at(
                    s, self.delivery(s), -o.writer_ended_s) <= 0)
        elif way.kind == "each":
            ended = [s for s in self.streams if s.begin_s < -o.writer_ended_s < s.end_s]
            figures["writer"] = self.shares(ended, lambda s: s.durable_at_s <= -o.writer_ended_s)
        elif way.kind in ("peers", "versions"):
            # Its peers live on, and know its streams within the budget.
            figures["writer"] = self.shares(broken, lambda s: self.rng.random()
                                            < self.peer_share())
        else:
            figures["writer"] = first

        def written_by(end_s):
            return lambda s: s.durable_at_s <= end_s

        # Routers that start wait for the store, which also tells them the endpoints.
        figures["away_start"] = self.shares(broken, known,
                                            base_s=self.start_s + o.store_away_s)
        figures["away_end"] = self.shares(broken, written_by(-o.store_away_s),
                                          stored_share_at_s=-o.store_away_s)
        restored_to_s = o.restored_at_s - o.restored_age_s
        figures["restored"] = self.shares(broken, written_by(restored_to_s),
                                          stored_share_at_s=restored_to_s)

        # Costs in steady state.
        reports_per_s = sum(1 for s in self.streams if -4 <= s.reported_at_s < 0) / 4
        figures["calls_per_s"] = self.calls / 4
        figures["refused_calls"] = self.refused_calls / max(1, self.calls)
        copies = way.writers if way.writers and not way.has_standby else 1
        figures["store_bytes_per_s"] = (figures["calls_per_s"] * o.call_bytes
                                        + reports_per_s * copies * o.record_bytes)
        sent = reports_per_s * way.writers
        figures["busiest_bytes_per_s"] = reports_per_s / self.shards * o.report_bytes
        if way.kind in ("peers", "versions"):
            sent = min(fleet.streams_per_s_router * o.peer_holders * o.report_bytes,
                       o.peer_budget_bytes_per_s) * fleet.routers / o.report_bytes
            figures["busiest_bytes_per_s"] = sent / fleet.routers * o.report_bytes
        elif not way.writers:
            figures["busiest_bytes_per_s"] = 0.0
        figures["peer_bytes_per_s"] = sent / fleet.routers * o.report_bytes
        if way.has_standby:  # Confirmations: the hash of each stream, and one head a batch.
            figures["busiest_bytes_per_s"] += (reports_per_s / self.shards * 8
                                               + 46 / way.write_interval_s)
        figures["reads"] = self.start_reads()
        # Each of the two writers of a shard answers all questions for the shard's streams.
        has_questions = way.kind == "few" and fleet.routers > o.all_read_routers
        figures["answer_bytes"] = (len(broken) / self.shards * o.report_bytes
                                   if has_questions else 0.0)
        figures["price"] = (figures["calls_per_s"] * fleet.call_price_worth
                            / fleet.streams_worth_per_s)
        return figures

    def report_resumed(self, stream):
        """The stream as it is after its first resume. Its router reports it again, as the computed
        version may have changed during the outage."""
        if stream.durable_at_s <= 0:
            return stream
        at_s = self.start_s + self.rng.expovariate(1 / self.o.resume_delay_s)
        stream = dataclasses.replace(stream, reported_at_s=at_s)
        stream.durable_at_s = self.durable_at(stream, self.delivery(stream))
        return stream

    def peer_share(self):
        """Share of reports that the budget of a router allows."""
        wanted = self.fleet.streams_per_s_router * self.o.peer_holders * self.o.report_bytes
        return min(1.0, self.o.peer_budget_bytes_per_s / wanted)

    def start_reads(self):
        """Read calls in the first second after the start of all."""
        o, fleet, way = self.o, self.fleet, self.way
        if way.kind == "versions":  # Two routers read them and tell the others.
            return 2
        if way.kind not in ("each", "few", "hash+few"):
            return 0
        if fleet.routers <= o.all_read_routers:
            return fleet.routers * o.calls_per_read
        parts = fleet.store_partitions if way.kind == "each" else self.shards
        return parts * 2 * o.calls_per_read


def mean(values):
    """Mean of the values; nan if there are none."""
    values = [v for v in values if not math.isnan(v)]
    return sum(values) / len(values) if values else math.nan


COLUMNS = ("routers", "way", "goes on", "least", "begun 50 to 70 ms before", "mixed", "refused",
           "mixed, old version gone", "age ms, mean / worst", "second end: on / mixed",
           "writer ended: on / mixed", "store away at start: on / mixed",
           "store away before the end: on / mixed", "restored: on / mixed", "writes/s", "429",
           "reads or probes at start", "to peers B/s", "busiest receives KB/s",
           "busiest answers at start KB", "to store KB/s", "calls, share of worth")


def row(way, fleet, trials):
    """One line of the table."""
    def average(name):
        return mean([t[name] for t in trials])

    def pair(name):
        on, mixed = (mean([t[name][k] for t in trials]) for k in ("goes on", "mixed"))
        return f"{on:.2f} / {mixed:.2f}"

    age = ("-" if math.isnan(average("age_s")) else
           f"{1000 * average('age_s'):.0f} / {1000 * max(t['worst_age_s'] for t in trials):.0f}")
    starts = f"{average('reads'):.0f}"
    if way.kind == "engines":
        starts = (f"{fleet.endpoints} probes ({fleet.endpoints * fleet.routers} if each router "
                  "asks)")
    return (str(fleet.routers), way.name, f"{average('goes on'):.3f}",
            f"{min(t['goes on'] for t in trials):.2f}",
            "-" if math.isnan(average("young")) else f"{average('young'):.2f}",
            f"{average('mixed'):.3f}", f"{average('refused'):.3f}",
            f"{average('mixed_gone'):.2f}", age, pair("second"), pair("writer"),
            pair("away_start"), pair("away_end"), pair("restored"),
            f"{average('calls_per_s'):.0f}", f"{average('refused_calls'):.2f}", starts,
            f"{average('peer_bytes_per_s'):.0f}", f"{average('busiest_bytes_per_s') / 1000:.1f}",
            f"{average('answer_bytes') / 1000:.0f}",
            f"{average('store_bytes_per_s') / 1000:.1f}", f"{average('price'):.4f}")


def main():
    """Prints the table for all fleets."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    options = Options()
    print("| " + " | ".join(COLUMNS) + " |")
    print("|" + "---|" * len(COLUMNS))
    for fleet in FLEETS:
        for way in WAYS:
            if way.has_standby and way.shard_routers > 24 and fleet.routers <= 24:
                continue  # The same as one shard of 24.
            rng = random.Random(f"{arguments.seed} {fleet.routers} {way.name}")
            trials = [Trial(way, fleet, options, rng).run() for _ in range(fleet.trials)]
            print("| " + " | ".join(row(way, fleet, trials)) + " |", flush=True)


if __name__ == "__main__":
    main()

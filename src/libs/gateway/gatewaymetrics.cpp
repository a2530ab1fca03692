#include "gateway/gatewaymetrics.h"

#include <array>
#include <string>

namespace Lagoonbank::Gateway {

namespace {

using Metrics::Kind;
using Metrics::Metric;

const std::array catalogue{
    Metric{"lagoonbank_gateway_requests_total",
           Kind::Counter,
           "requests",
           "Requests that callers sent.",
           "Compare with the usual load; a surge shows in the refusals.",
           {}},
    Metric{"lagoonbank_gateway_in_flight",
           Kind::Gauge,
           "requests",
           "Requests that have not ended.",
           "Endpoints have become slower or more callers came.",
           {}},
    Metric{"lagoonbank_gateway_answers_total",
           Kind::Counter,
           "requests",
           "Whole answers of endpoints that were passed on, by the first digit of their status.",
           "Rising 5xx: an endpoint fails; the log line of an answer names it.",
           {}},
    Metric{"lagoonbank_gateway_refusals_total",
           Kind::Counter,
           "requests",
           "Requests that no endpoint answered, by error kind.",
           "Look the kind up in OPERATIONS.md.",
           {}},
    Metric{"lagoonbank_gateway_repeats_total",
           Kind::Counter,
           "sends",
           "Sends beyond the first of a request, by error kind of the one before.",
           "An endpoint fails, is full or silent; the log lines of the sends name it.",
           {}},
    Metric{"lagoonbank_gateway_first_event_seconds", Kind::Histogram, "seconds",
           "Time from a request to the first event of its stream.",
           "Engines are full, or prompts are read again after they moved.", Metrics::latencyBounds},
    Metric{"lagoonbank_gateway_request_seconds", Kind::Histogram, "seconds",
           "Time from a request to the end of its answer.",
           "See the first event; if that is steady, engines generate more slowly.",
           Metrics::latencyBounds},
    Metric{"lagoonbank_gateway_endpoints",
           Kind::Gauge,
           "endpoints",
           "Endpoints that are known.",
           "It falls: endpoints left, crashed, or their entries in the store lapsed.",
           {}},
    Metric{"lagoonbank_gateway_unreachable_endpoints",
           Kind::Gauge,
           "endpoints",
           "Known endpoints to which this router can open no connection.",
           "All of them on one router only: it is cut off from the endpoints.",
           {}},
    Metric{"lagoonbank_gateway_relayed_total",
           Kind::Counter,
           "sends",
           "Requests that this router sent to a peer, as it could not reach their endpoints.",
           "This router is cut off from endpoints; look at the unreachable endpoints.",
           {}},
    Metric{"lagoonbank_gateway_relayed_by_peers_total",
           Kind::Counter,
           "requests",
           "Requests that peers sent to this router, as they could not reach their endpoints.",
           "Peers are cut off from endpoints; the log lines name them.",
           {}},
    Metric{"lagoonbank_gateway_asked_streams_total",
           Kind::Counter,
           "requests",
           "Requests that resume a stream for which peers were asked which software version began "
           "it.",
           "Routers have ended, or callers lose connections, while endpoints of several versions "
           "serve.",
           {}},
    Metric{"lagoonbank_gateway_large_answers_total",
           Kind::Counter,
           "attempts",
           "Attempts that were given up as the buffered answers of this router took too much "
           "memory; the largest one is given up first.",
           "An endpoint sends bytes without end; the lines `Attempt failed.` name it.",
           {}},
    Metric{"lagoonbank_gateway_resumed_streams_total",
           Kind::Counter,
           "requests",
           "Requests that resume a stream whose software version is known, by where it is known "
           "from.",
           "Many from peers: endpoints of several versions serve, and routers or connections end.",
           {}},
    Metric{"lagoonbank_gateway_unmarked_ends_total",
           Kind::Counter,
           "answers",
           "Answers whose end only the close of the connection marked, by what showed whether the "
           "endpoint's process went on.",
           "No connection: endpoints end while they answer; the answers are moved or cut.",
           {}},
    Metric{"lagoonbank_gateway_unknown_streams_total",
           Kind::Counter,
           "requests",
           "Requests that resume a stream and were refused, as no router knows which software "
           "version began it.",
           "Many routers have ended at once, or the messages between routers are lost.",
           {}},
    Metric{"lagoonbank_gateway_configuration_revision",
           Kind::Gauge,
           "revision",
           "Revision of the configuration in force; 0 before the first.",
           "It differs between routers: one does not reach the store nor its peers.",
           {}},
    Metric{"lagoonbank_gateway_store_up",
           Kind::Gauge,
           "1 or 0",
           "Whether the last read of a topic of the store was answered, by topic.",
           "0: the router goes on with what it knows; look at the age.",
           {}},
    Metric{"lagoonbank_gateway_store_era",
           Kind::Gauge,
           "restorations",
           "How often the store has been restored from an older copy, as its last answer says.",
           "Records were lost; see \"The store answers in another era.\" in OPERATIONS.md.",
           {}},
    Metric{"lagoonbank_gateway_store_listings_total",
           Kind::Counter,
           "listings",
           "Listings of all keys of a topic of the store, by topic and cause.",
           "Records missing: the store has dropped or lost records that were not read yet.",
           {}},
    Metric{"lagoonbank_gateway_store_calls_total",
           Kind::Counter,
           "calls",
           "Calls to the store, by outcome.",
           "Refused or lost calls: the store is down, slow or turns this router away.",
           {}},
    Metric{"lagoonbank_gateway_peer_bytes_total",
           Kind::Counter,
           "bytes",
           "What this router sent to other routers, without the headers below.",
           "Configurations or endpoints change often, or routers know different things.",
           {}},
    Metric{"lagoonbank_gateway_pulled_bytes_total",
           Kind::Counter,
           "bytes",
           "What other routers sent when this one asked for what it did not know.",
           "Near what the link carries: answers of endpoints wait behind it and look silent.",
           {}},
    Metric{
        "lagoonbank_gateway_loop_turn_seconds", Kind::Histogram, "seconds",
        "Time that a turn of the router's loop took, without its wait for something to do.",
        "Long turns: a large configuration is read, or the router gets too little processor time.",
        Metrics::latencyBounds},
    Metric{"lagoonbank_gateway_loop_behind_seconds",
           Kind::Gauge,
           "seconds",
           "Age of the oldest work that the loop came to in the last second.",
           "Above 0.2: the router itself is behind; see OPERATIONS.md.",
           {}},
    Metric{"lagoonbank_gateway_loop_wanted_seconds_total",
           Kind::Counter,
           "seconds",
           "Time in which the router had something to do, whether it got a processor or not.",
           "A rate near 1: it is at its limit.",
           {}},
    Metric{"lagoonbank_gateway_processor_seconds_total",
           Kind::Counter,
           "seconds",
           "Processor time that the router's loop got.",
           "Its rate divided by that of the wanted time is the share that it gets.",
           {}},
    Metric{"lagoonbank_gateway_request_unread_seconds", Kind::Histogram, "seconds",
           "Time from when a request's bytes had come to when the router read it.",
           "The router is behind; its callers' time runs meanwhile.", Metrics::latencyBounds},
    Metric{"lagoonbank_gateway_caller_connections",
           Kind::Gauge,
           "connections",
           "Open connections of callers, with those that wait to be looked at.",
           "At a third of the descriptors those without a request and the ones that idle longest "
           "are closed; see OPERATIONS.md.",
           {}},
    Metric{"lagoonbank_gateway_quarantined_requests",
           Kind::Gauge,
           "requests",
           "Requests under which so many endpoints ended that they are sent to none.",
           "Above 0: one kind of request crashes endpoints; the log lines name it.",
           {}},
    Metric{"lagoonbank_gateway_quarantined_parts",
           Kind::Gauge,
           "parts",
           "Parts of prompts that crash endpoints; requests with them are sent to none.",
           "Above 0: look for the part in the log lines and mend the prompts or the engines.",
           {}},
    Metric{
        "lagoonbank_gateway_overloaded_answers_total",
        Kind::Counter,
        "requests",
        "Answers whose endpoint had over twice the usual load and three requests when they began.",
        "Over 3 in 100 answers: routers learn too late where a prompt is asked for.",
        {}},
    Metric{"lagoonbank_gateway_closed_connections_total",
           Kind::Counter,
           "connections",
           "Connections of callers that were closed as too many were open, by kind: without a "
           "request, idle, or new ones that were not read.",
           "New ones: callers hold connections with requests that do not end; look at the requests "
           "in flight.",
           {}},
    Metric{"lagoonbank_gateway_client_memory_bytes",
           Kind::Gauge,
           "bytes",
           "Memory that clients occupy: requests in arrival, complete ones that wait for their "
           "answer, and answers that are not read, by kind.",
           "Near the maximum: see \"The memory for clients is used up.\" in OPERATIONS.md.",
           {}},
    Metric{"lagoonbank_gateway_client_memory_max_bytes",
           Kind::Gauge,
           "bytes",
           "Memory that clients may occupy, by the settings.",
           "It does not change while the router runs.",
           {}},
    Metric{"lagoonbank_gateway_client_memory_peak_bytes",
           Kind::Gauge,
           "bytes",
           "The most memory that clients have occupied at a time.",
           "Near the maximum: callers have been refused for want of memory, or nearly so.",
           {}},
    Metric{"lagoonbank_gateway_client_memory_shortages_total",
           Kind::Counter,
           "clients",
           "Clients that were refused or disconnected for want of memory, by kind and by whether "
           "they asked for more or had to yield to others.",
           "See \"The memory for clients is used up.\" in OPERATIONS.md.",
           {}},
    Metric{
        "lagoonbank_gateway_left_unread_total",
        Kind::Counter,
        "requests",
        "Requests that were not sent because their callers had left, which had not been read yet.",
        "The router is behind by more than its callers wait.",
        {}},
    Metric{
        "lagoonbank_gateway_undecodable_total",
        Kind::Counter,
        "values",
        "Headers of endpoints and records of the store that could not be decoded, by the name of "
        "the header or topic.",
        "Endpoints of another version, or another writer of the topic: the log lines name them. "
        "Without its load an endpoint gets too many requests.",
        {}},
};

} // namespace

Metrics::Catalogue gatewayCatalogue()
{
    return catalogue;
}

GatewayMetrics::GatewayMetrics()
    : registry(gatewayCatalogue())
    , requests(registry.counter("lagoonbank_gateway_requests_total"))
    , inFlight(registry.gauge("lagoonbank_gateway_in_flight"))
    , firstEvent(registry.histogram("lagoonbank_gateway_first_event_seconds"))
    , requestTime(registry.histogram("lagoonbank_gateway_request_seconds"))
    , endpoints(registry.gauge("lagoonbank_gateway_endpoints"))
    , unreachableEndpoints(registry.gauge("lagoonbank_gateway_unreachable_endpoints"))
    , relayed(registry.counter("lagoonbank_gateway_relayed_total"))
    , relayedByPeers(registry.counter("lagoonbank_gateway_relayed_by_peers_total"))
    , askedStreams(registry.counter("lagoonbank_gateway_asked_streams_total"))
    , largeAnswers(registry.counter("lagoonbank_gateway_large_answers_total"))
    , unknownStreams(registry.counter("lagoonbank_gateway_unknown_streams_total"))
    , configuration(registry.gauge("lagoonbank_gateway_configuration_revision"))
    , storeEra(registry.gauge("lagoonbank_gateway_store_era"))
    , peerBytes(registry.counter("lagoonbank_gateway_peer_bytes_total"))
    , pulledBytes(registry.counter("lagoonbank_gateway_pulled_bytes_total"))
    , loopTurn(registry.histogram("lagoonbank_gateway_loop_turn_seconds"))
    , loopDelay(registry.gauge("lagoonbank_gateway_loop_behind_seconds"))
    , loopDemand(registry.counter("lagoonbank_gateway_loop_wanted_seconds_total"))
    , processor(registry.counter("lagoonbank_gateway_processor_seconds_total"))
    , requestReadDelay(registry.histogram("lagoonbank_gateway_request_unread_seconds"))
    , disconnectedUnread(registry.counter("lagoonbank_gateway_left_unread_total"))
    , callerConnections(registry.gauge("lagoonbank_gateway_caller_connections"))
    , quarantined(registry.gauge("lagoonbank_gateway_quarantined_requests"))
    , quarantinedParts(registry.gauge("lagoonbank_gateway_quarantined_parts"))
    , overloadedAnswers(registry.counter("lagoonbank_gateway_overloaded_answers_total"))
    , maxClientMemory(registry.gauge("lagoonbank_gateway_client_memory_max_bytes"))
    , peakClientMemory(registry.gauge("lagoonbank_gateway_client_memory_peak_bytes"))
{ }

Metrics::Counter GatewayMetrics::answers(int status)
{
    return registry.counter("lagoonbank_gateway_answers_total",
                            {{"status", std::to_string(status / 100) + "xx"}});
}

Metrics::Counter GatewayMetrics::refusals(Errors::ErrorKind kind)
{
    return registry.counter("lagoonbank_gateway_refusals_total",
                            {{"kind", std::string(Errors::toString(kind))}});
}

Metrics::Counter GatewayMetrics::resumedStreams(StreamVersionSource source)
{
    return registry.counter("lagoonbank_gateway_resumed_streams_total",
                            {{"from", std::string(toString(source))}});
}

Metrics::Counter GatewayMetrics::unmarkedEnds(ProcessEvidence evidence)
{
    return registry.counter("lagoonbank_gateway_unmarked_ends_total",
                            {{"evidence", std::string(toString(evidence))}});
}

Metrics::Counter GatewayMetrics::closedForLimit(Http::LimitedConnection kind)
{
    return registry.counter("lagoonbank_gateway_closed_connections_total",
                            {{"kind", std::string(Http::toString(kind))}});
}

Metrics::Gauge GatewayMetrics::clientMemory(Http::MemoryKind kind)
{
    return registry.gauge("lagoonbank_gateway_client_memory_bytes",
                          {{"kind", std::string(Http::toString(kind))}});
}

Metrics::Counter GatewayMetrics::memoryShortages(Http::MemoryKind kind,
                                                 Http::MemoryBudget::Event event)
{
    const bool isRefusal = event == Http::MemoryBudget::Event::Refused;
    return registry.counter("lagoonbank_gateway_client_memory_shortages_total",
                            {{"kind", std::string(Http::toString(kind))},
                             {"event", isRefusal ? "refused" : "reclaimed"}});
}

Metrics::Counter GatewayMetrics::undecodable(std::string_view name)
{
    return registry.counter("lagoonbank_gateway_undecodable_total", {{"name", std::string(name)}});
}

Metrics::Counter GatewayMetrics::repeats(Errors::ErrorKind kind)
{
    return registry.counter("lagoonbank_gateway_repeats_total",
                            {{"kind", std::string(Errors::toString(kind))}});
}

} // namespace Lagoonbank::Gateway

#pragma once

#include "errors/errorkind.h"
#include "gateway/processcheck.h"
#include "gateway/streamversionlookup.h"
#include "http/memorybudget.h"
#include "http/server.h"
#include "metrics/registry.h"

#include <string_view>

namespace Lagoonbank::Gateway {

/// Descriptions of all metrics of a gateway process, for its metrics page and its tests.
Metrics::Catalogue gatewayCatalogue();

/// Metrics of a gateway. Label values come from closed lists.
class GatewayMetrics
{
public:
    GatewayMetrics();

    Metrics::Registry registry;
    Metrics::Counter requests;
    Metrics::Gauge inFlight;
    Metrics::Histogram firstEvent;
    Metrics::Histogram requestTime;
    Metrics::Gauge endpoints;
    Metrics::Gauge unreachableEndpoints;
    Metrics::Counter relayed;
    Metrics::Counter relayedByPeers;
    Metrics::Counter askedStreams;
    /// Answers that were given up as the buffered ones took too much memory.
    Metrics::Counter largeAnswers;
    Metrics::Counter unknownStreams;
    Metrics::Gauge configuration;
    Metrics::Gauge storeEra;
    Metrics::Counter peerBytes;
    Metrics::Counter pulledBytes;
    Metrics::Histogram loopTurn;
    Metrics::Gauge loopDelay; ///< Age of the oldest work handled in the last second.
    Metrics::Counter loopDemand; ///< Time with work to do, with or without a processor.
    Metrics::Counter processor; ///< Processor time of the event loop in seconds.
    Metrics::Histogram requestReadDelay; ///< From arrival of a request's bytes to its reading.
    Metrics::Counter disconnectedUnread; ///< Requests not sent, as an unread close was found.
    Metrics::Gauge callerConnections;
    Metrics::Gauge quarantined;
    Metrics::Gauge quarantinedParts;
    Metrics::Counter overloadedAnswers;
    Metrics::Gauge maxClientMemory;
    Metrics::Gauge peakClientMemory;

    Metrics::Counter answers(int status);
    Metrics::Counter refusals(Errors::ErrorKind kind);
    Metrics::Counter resumedStreams(StreamVersionSource source);
    Metrics::Counter repeats(Errors::ErrorKind kind);
    /// Answers whose end only the close of the connection marked, by what showed whether the
    /// endpoint's process went on.
    Metrics::Counter unmarkedEnds(ProcessEvidence evidence);
    Metrics::Counter closedForLimit(Http::LimitedConnection kind);
    Metrics::Gauge clientMemory(Http::MemoryKind kind);
    Metrics::Counter memoryShortages(Http::MemoryKind kind, Http::MemoryBudget::Event event);
    /// Values of endpoints that could not be decoded; \a name is that of the header or topic.
    Metrics::Counter undecodable(std::string_view name);
};

} // namespace Lagoonbank::Gateway

#pragma once

#include "errors/errorkind.h"
#include "metrics/registry.h"

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
    Metrics::Gauge configuration;
    Metrics::Counter peerBytes;
    Metrics::Counter pulledBytes;
    Metrics::Histogram loopTurn;
    Metrics::Gauge loopDelay;
    Metrics::Counter loopDemand;
    Metrics::Counter processor;
    Metrics::Histogram requestReadDelay;
    Metrics::Counter leftUnread;
    Metrics::Gauge callerConnections;
    Metrics::Gauge quarantined;
    Metrics::Counter overloadedAnswers;

    Metrics::Counter answers(int status);
    Metrics::Counter refusals(Errors::ErrorKind kind);
    Metrics::Counter repeats(Errors::ErrorKind kind);
};

} // namespace Lagoonbank::Gateway

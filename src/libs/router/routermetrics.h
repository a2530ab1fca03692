#pragma once

#include "metrics/catalogue.h"
#include "metrics/registry.h"

namespace Lagoonbank::Router {

/// Catalogue of all metrics of lagoonbank-router.
Metrics::Catalogue routerCatalogue();

/// Metrics of the router. Handles of metrics that are updated often are looked up once and kept.
struct RouterMetrics
{
    Metrics::Registry registry{routerCatalogue()};
    Metrics::Counter requests = registry.counter("lagoonbank_requests_total");
    Metrics::Gauge inFlight = registry.gauge("lagoonbank_requests_in_flight");
    Metrics::Gauge waiting = registry.gauge("lagoonbank_requests_waiting");
    Metrics::Histogram firstToken = registry.histogram("lagoonbank_first_token_seconds");
    Metrics::Histogram duration = registry.histogram("lagoonbank_request_seconds");
    Metrics::Histogram decision = registry.histogram("lagoonbank_decision_seconds");
    Metrics::Counter promptTokens = registry.counter("lagoonbank_prompt_tokens_total");
    Metrics::Counter cachedTokens = registry.counter("lagoonbank_cached_tokens_total");
    Metrics::Counter answerTokens = registry.counter("lagoonbank_answer_tokens_total");
    Metrics::Gauge configurationOffset = registry.gauge("lagoonbank_configuration_offset");
    Metrics::Gauge logUp = registry.gauge("lagoonbank_log_up");
    Metrics::Gauge members = registry.gauge("lagoonbank_members");
};

} // namespace Lagoonbank::Router

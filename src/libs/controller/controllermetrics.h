#pragma once

#include "metrics/catalogue.h"
#include "metrics/registry.h"

namespace Lagoonbank::Controller {

/// Every metric of lagoonbank-controller.
Metrics::Catalogue controllerCatalogue();

/// The controller's metrics.
struct ControllerMetrics
{
    Metrics::Registry registry{controllerCatalogue()};
    Metrics::Gauge configurationOffset = registry.gauge("lagoonbank_configuration_offset");
    Metrics::Gauge logUp = registry.gauge("lagoonbank_log_up");
    Metrics::Gauge members = registry.gauge("lagoonbank_members");
    Metrics::Gauge leaseHeld = registry.gauge("lagoonbank_lease_held");
    Metrics::Counter leaseLosses = registry.counter("lagoonbank_lease_losses_total");
    Metrics::Gauge probedEndpoints = registry.gauge("lagoonbank_probed_endpoints");
    Metrics::Counter probes = registry.counter("lagoonbank_probes_total");
    Metrics::Counter probeFailures = registry.counter("lagoonbank_probe_failures_total");
    Metrics::Counter probesDeferred = registry.counter("lagoonbank_probes_put_off_total");
    Metrics::Gauge ordersPending = registry.gauge("lagoonbank_orders_pending");
    Metrics::Counter ordersSent = registry.counter("lagoonbank_orders_sent_total");
    Metrics::Counter ordersRefused = registry.counter("lagoonbank_orders_refused_total");
    Metrics::Counter orderFailures = registry.counter("lagoonbank_order_failures_total");
    Metrics::Counter movedChats = registry.counter("lagoonbank_moved_chats_total");
    Metrics::Counter movedBytes = registry.counter("lagoonbank_moved_cache_bytes_total");
    Metrics::Counter snapshots = registry.counter("lagoonbank_snapshots_total");
    Metrics::Counter snapshotFailures = registry.counter("lagoonbank_snapshot_failures_total");
};

} // namespace Lagoonbank::Controller

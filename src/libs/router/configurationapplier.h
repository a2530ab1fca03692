#pragma once

#include "admission/admissioncontrol.h"
#include "base/ids.h"
#include "configuration/objecttable.h"
#include "router/inflightsharing.h"
#include "router/loadsharing.h"
#include "router/placer.h"
#include "router/quotasharing.h"
#include "router/retrybudgets.h"
#include "schema/generated/settings.h"
#include "timeline/event.h"

#include <functional>
#include <vector>

namespace Lagoonbank::Router {

/// Options of the routing decision under \a policy.
Routing::Router::Options routingOptions(const Schema::RouterSettings &settings,
                                        const Schema::Policy &policy);

/// Applies the configuration (policy, endpoints, data centres and contracts) to the components of a
/// router.
class ConfigurationApplier
{
public:
    struct Parts
    {
        Runtime::Loop *loop = nullptr;
        const Schema::RouterSettings *settings = nullptr;
        Placer *placer = nullptr;
        Admission::AdmissionControl *admission = nullptr;
        RetryBudgets *retries = nullptr;
        LoadSharing *loadSharing = nullptr;
        InFlightSharing *inFlightSharing = nullptr;
        QuotaSharing *quotaSharing = nullptr;
        /// Called when an endpoint was added, started or stopped draining, or was removed.
        std::function<void(Timeline::EventType type, const Base::EndpointId &endpoint)>
            endpointChanged;
    };

    explicit ConfigurationApplier(const Parts &parts);

    /// Applies \a objects; endpoints and workspaces of earlier calls that are not in \a objects
    /// are removed. If \a isServing, this router accepts requests already, so new endpoints are
    /// ramped up slowly.
    void apply(const Configuration::ObjectTable &objects, bool isServing);

private:
    void applyPolicy(const Schema::Policy &policy);
    void reportEndpointChange(const Schema::Endpoint &endpoint, Routing::EndpointIndex index,
                              bool isServing) const;
    void updateEndpoints(const Configuration::ObjectTable &objects, bool isServing);
    void updateDataCentres(const Configuration::ObjectTable &objects);
    void updateWorkspaces(const Configuration::ObjectTable &objects);

    Parts m_parts;
    std::vector<Base::EndpointId> m_knownEndpoints;
    std::vector<Base::WorkspaceId> m_knownWorkspaces;
};

} // namespace Lagoonbank::Router

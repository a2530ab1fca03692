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

/// How the routing decision works under \a policy.
Routing::Router::Options routingOptions(const Schema::RouterSettings &settings,
                                        const Schema::Policy &policy);

/// Makes the parts of a router follow the configuration: policy, endpoints, data centres and
/// contracts.
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
        /// An endpoint came, drains or went.
        std::function<void(Timeline::EventType type, const Base::EndpointId &endpoint)>
            endpointChanged;
    };

    explicit ConfigurationApplier(const Parts &parts);

    /// Takes all of \a objects over; what earlier calls brought and is not in them is removed.
    /// \a isServing: this router takes requests already, so that new endpoints start slowly.
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

#pragma once

#include "base/ids.h"
#include "retry/retrydecision.h"

#include <absl/container/flat_hash_map.h>
#include <absl/random/random.h>

namespace Lagoonbank::Router {

/// Holds this router's retry budgets of all workspaces and endpoints, and decides on retries.
class RetryBudgets
{
public:
    RetryBudgets();

    void setWorkspaceRatio(const Base::WorkspaceId &workspace, double retriesPerSuccess);
    void setEndpointRatio(double retriesPerSuccess)
    {
        m_endpointRetriesPerSuccess = retriesPerSuccess;
    }
    void setMaxAttempts(int attempts) { m_maxAttempts = attempts; }

    /// Credits a successful attempt to the budgets of its workspace and endpoint.
    void noteSuccess(const Base::WorkspaceId &workspace, const Base::EndpointId &endpoint,
                     Base::MonoTime now);
    /// Decides whether a failed attempt is retried. A retry is charged to the budgets of the
    /// workspace and of \a endpoint.
    Retry::RetryDecision decide(const Base::WorkspaceId &workspace,
                                const Base::EndpointId &endpoint,
                                const Retry::AttemptFailure &failure,
                                const Retry::RequestTraits &traits, Base::MonoTime now);
    /// Removes the budgets of workspaces and endpoints for which the predicates return false.
    template<typename KeepWorkspace, typename KeepEndpoint>
    void prune(KeepWorkspace keepWorkspace, KeepEndpoint keepEndpoint)
    {
        absl::erase_if(m_workspaceBudgets,
                       [&](const auto &item) { return !keepWorkspace(item.first); });
        absl::erase_if(m_endpointBudgets,
                       [&](const auto &item) { return !keepEndpoint(item.first); });
    }

private:
    Retry::RetryBudget &workspaceBudget(const Base::WorkspaceId &workspace, Base::MonoTime now);
    Retry::RetryBudget &endpointBudget(const Base::EndpointId &endpoint, Base::MonoTime now);

    absl::BitGen m_random;
    Retry::Backoff m_backoff;
    double m_endpointRetriesPerSuccess = 0.1;
    int m_maxAttempts = 3;
    absl::flat_hash_map<Base::WorkspaceId, double> m_workspaceRatios;
    absl::flat_hash_map<Base::WorkspaceId, Retry::RetryBudget> m_workspaceBudgets;
    absl::flat_hash_map<Base::EndpointId, Retry::RetryBudget> m_endpointBudgets;
};

} // namespace Lagoonbank::Router

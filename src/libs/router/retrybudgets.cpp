#include "router/retrybudgets.h"

namespace Lagoonbank::Router {

namespace {

/// Retries per successful attempt for workspaces without a configured ratio.
constexpr double defaultRetriesPerSuccess = 0.1;

} // namespace

RetryBudgets::RetryBudgets()
{
    m_backoff.random = [this] { return absl::Uniform(m_random, 0.0, 1.0); };
}

void RetryBudgets::setWorkspaceRatio(const Base::WorkspaceId &workspace, double retriesPerSuccess)
{
    const auto [entry, isNew] = m_workspaceRatios.insert_or_assign(workspace, retriesPerSuccess);
    if (!isNew)
        m_workspaceBudgets.erase(workspace);
}

Retry::RetryBudget &RetryBudgets::workspaceBudget(const Base::WorkspaceId &workspace,
                                                  Base::MonoTime now)
{
    const auto retriesPerSuccess = m_workspaceRatios.find(workspace);
    const Retry::RetryBudget fresh(
        {.retriesPerSuccess = retriesPerSuccess == m_workspaceRatios.end()
             ? defaultRetriesPerSuccess
             : retriesPerSuccess->second},
        now);
    return m_workspaceBudgets.try_emplace(workspace, fresh).first->second;
}

Retry::RetryBudget &RetryBudgets::endpointBudget(const Base::EndpointId &endpoint,
                                                 Base::MonoTime now)
{
    const Retry::RetryBudget fresh({.retriesPerSuccess = m_endpointRetriesPerSuccess}, now);
    return m_endpointBudgets.try_emplace(endpoint, fresh).first->second;
}

void RetryBudgets::noteSuccess(const Base::WorkspaceId &workspace, const Base::EndpointId &endpoint,
                               Base::MonoTime now)
{
    workspaceBudget(workspace, now).noteSuccess(now);
    endpointBudget(endpoint, now).noteSuccess(now);
}

Retry::RetryDecision RetryBudgets::decide(const Base::WorkspaceId &workspace,
                                          const Base::EndpointId &endpoint,
                                          const Retry::AttemptFailure &failure,
                                          const Retry::RequestTraits &traits, Base::MonoTime now)
{
    // Both references stay valid, as the budgets are in separate maps.
    Retry::RetryBudget &forWorkspace = workspaceBudget(workspace, now);
    Retry::RetryBudget &forEndpoint = endpointBudget(endpoint, now);
    const Retry::RetryDecision decision = Retry::decide(
        failure, traits,
        {.workspace = &forWorkspace, .endpoint = &forEndpoint, .maxAttempts = m_maxAttempts},
        m_backoff, now);
    if (decision.action == Retry::RetryAction::Fail)
        return decision;
    forWorkspace.spend(now);
    forEndpoint.spend(now);
    return decision;
}

} // namespace Lagoonbank::Router

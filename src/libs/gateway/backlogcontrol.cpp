#include "gateway/backlogcontrol.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Lagoonbank::Gateway {

bool BacklogControl::admits(const AdmissionRequest &request, Base::Duration delay,
                            Base::MonoTime now)
{
    count(request, now);
    adapt(delay, now);
    if (m_admittedShare >= 1)
        return true;
    const double levelShare = delay > m_options.target ? m_urgencyLevels[request.urgency].share : 1;
    const double share = levelShare * workspaceShare(request.workspace, now);
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

Base::Duration BacklogControl::retryAfter(Base::Duration delay)
{
    // Spread over 50% to 150% of the base value.
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const double seconds =
        Base::toSeconds(delay) + Base::toSeconds(m_options.interval) / m_admittedShare;
    const double maxSeconds = Base::toSeconds(m_options.maxRetryAfter);
    return std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double>(std::min(seconds * spread(m_random), maxSeconds)));
}

void BacklogControl::count(const AdmissionRequest &request, Base::MonoTime now)
{
    m_arrivals.add(1, now, m_options.halfLife);
    m_urgencyLevels[request.urgency].arrivals.add(1, now, m_options.halfLife);
    m_workspaces[request.workspace].add(1, now, m_options.halfLife);
}

void BacklogControl::adapt(Base::Duration delay, Base::MonoTime now)
{
    m_minDelay = std::min(m_minDelay, delay);
    if (now - m_intervalStart < m_options.interval)
        return;
    const bool isBehind = m_minDelay > m_options.target;
    // Intervals without any request count as well.
    const double intervals =
        std::floor(Base::toSeconds(now - m_intervalStart) / Base::toSeconds(m_options.interval));
    m_admittedShare = isBehind
        ? std::max(m_options.minAdmittedShare, m_admittedShare * m_options.decreaseFactor)
        : std::min(1.0, m_admittedShare + m_options.raise * intervals);
    m_intervalStart = now;
    m_minDelay = Base::Duration::max();
    if (m_admittedShare < 1)
        computeShares(now);
}

/// Computes the admitted share of each urgency, so that the most urgent requests are admitted first
/// and each urgency gets its minimum share. All requests count with the same cost.
void BacklogControl::computeShares(Base::MonoTime now)
{
    constexpr double idleArrivals = 0.1;
    absl::erase_if(m_workspaces, [&](const auto &entry) {
        return entry.second.value(now, m_options.halfLife) < idleArrivals;
    });
    std::vector<Demand> demands;
    demands.reserve(m_urgencyLevels.size());
    double arrivals = 0;
    for (const auto &[urgency, level] : m_urgencyLevels) {
        const double requests = level.arrivals.value(now, m_options.halfLife);
        demands.push_back({.urgency = urgency, .requests = requests, .cost = 1});
        arrivals += requests;
    }
    const std::vector<double> shares =
        servedShares(demands, m_admittedShare * arrivals, m_options.minShare * m_admittedShare);
    auto share = shares.begin();
    for (auto &[urgency, level] : m_urgencyLevels)
        level.share = *share++;
}

double BacklogControl::workspaceShare(const Base::WorkspaceId &workspace, Base::MonoTime now) const
{
    const auto found = m_workspaces.find(workspace);
    if (found == m_workspaces.end() || m_workspaces.size() < 2)
        return 1;
    const double arrivals = found->second.value(now, m_options.halfLife);
    const double others = m_arrivals.value(now, m_options.halfLife) - arrivals;
    const double average =
        others / static_cast<double>(std::max<std::size_t>(1, m_workspaces.size() - 1));
    const double maxArrivals = std::max(m_options.minRequests, m_options.greedyFactor * average);
    return arrivals > maxArrivals ? maxArrivals / arrivals : 1;
}

} // namespace Lagoonbank::Gateway

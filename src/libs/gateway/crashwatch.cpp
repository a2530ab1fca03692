#include "gateway/crashwatch.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Gateway {

CrashWatch::CrashWatch(Options options)
    : m_options(std::move(options))
{ }

CrashWatch::~CrashWatch()
{
    for (const auto &[startHash, broken] : m_brokenEndpoints) {
        if (broken.timer)
            m_options.timers->cancel(*broken.timer);
    }
    if (m_reportTimer)
        m_options.timers->cancel(*m_reportTimer);
}

void CrashWatch::answerBroke(const EndpointPtr &endpoint, const BrokenRequest &request)
{
    const auto [entry, isNew] =
        m_brokenEndpoints.try_emplace(endpoint->startHash, BrokenEndpoint{.endpoint = endpoint});
    std::vector<BrokenRequest> &requests = entry->second.requests;
    const auto known = std::find_if(requests.begin(), requests.end(), [&](const auto &one) {
        return one.request == request.request;
    });
    if (known == requests.end())
        requests.push_back(request);
    else
        known->hasBegun = known->hasBegun && request.hasBegun;
    if (isNew)
        checkAfter(m_options.checkDelay, entry->second);
}

void CrashWatch::checkAfter(Base::Duration delay, BrokenEndpoint &broken)
{
    const std::uint64_t startHash = broken.endpoint->startHash;
    broken.timer = m_options.timers->start(delay, [this, startHash] { check(startHash); });
}

void CrashWatch::check(std::uint64_t startHash)
{
    BrokenEndpoint &broken = m_brokenEndpoints.at(startHash);
    broken.timer.reset();
    if (broken.requests.empty()) {
        m_brokenEndpoints.erase(startHash);
        return;
    }
    const std::vector<BrokenRequest> requests = std::exchange(broken.requests, {});
    m_options.check(
        broken.endpoint->info.address, m_options.checkTimeout,
        [this, startHash, requests, isAlive = std::weak_ptr<bool>(m_isAlive)](bool isReachable) {
            if (!isAlive.expired())
                checked(startHash, requests, isReachable);
        });
}

void CrashWatch::checked(std::uint64_t startHash, const std::vector<BrokenRequest> &requests,
                         bool isReachable)
{
    BrokenEndpoint &broken = m_brokenEndpoints.at(startHash);
    checkAfter(m_options.checkInterval, broken);
    if (isReachable)
        return;
    m_crashes.push_back({.endpoint = broken.endpoint, .requests = requests});
    if (!m_reportTimer)
        m_reportTimer =
            m_options.timers->start(m_options.correlationWindow, [this] { reportCrashes(); });
}

absl::flat_hash_map<RequestFingerprint, std::size_t>
CrashWatch::crashCounts(const std::vector<Crash> &crashes)
{
    absl::flat_hash_map<RequestFingerprint, std::size_t> counts;
    for (const Crash &crash : crashes) {
        for (const BrokenRequest &broken : crash.requests)
            ++counts[broken.request];
    }
    return counts;
}

void CrashWatch::reportCrashes()
{
    m_reportTimer.reset();
    std::vector<Crash> crashes = std::exchange(m_crashes, {});
    const auto counts = crashCounts(crashes);
    const double minCount = m_options.minCrashShare * static_cast<double>(crashes.size());
    for (Crash &crash : crashes) {
        std::erase_if(crash.requests, [&](const BrokenRequest &broken) {
            return static_cast<double>(counts.at(broken.request)) < minCount;
        });
        if (crash.requests.empty() || !crashed)
            continue;
        std::vector<RequestFingerprint> blamed;
        for (const BrokenRequest &broken : crash.requests) {
            if (!broken.hasBegun)
                blamed.push_back(broken.request);
        }
        crashed(*crash.endpoint, blamed);
    }
}

} // namespace Lagoonbank::Gateway

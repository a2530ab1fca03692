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

void CrashWatch::answerBroke(const EndpointPtr &endpoint, RequestFingerprint request)
{
    const auto [entry, isNew] =
        m_brokenEndpoints.try_emplace(endpoint->startHash, BrokenEndpoint{.endpoint = endpoint});
    std::vector<RequestFingerprint> &requests = entry->second.requests;
    if (std::find(requests.begin(), requests.end(), request) == requests.end())
        requests.push_back(request);
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
    const std::vector<RequestFingerprint> requests = std::exchange(broken.requests, {});
    m_options.check(
        broken.endpoint->info.address, m_options.checkTimeout,
        [this, startHash, requests, isAlive = std::weak_ptr<bool>(m_isAlive)](bool isReachable) {
            if (!isAlive.expired())
                checked(startHash, requests, isReachable);
        });
}

void CrashWatch::checked(std::uint64_t startHash, const std::vector<RequestFingerprint> &requests,
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

void CrashWatch::reportCrashes()
{
    m_reportTimer.reset();
    std::vector<Crash> crashes = std::exchange(m_crashes, {});
    absl::flat_hash_map<RequestFingerprint, std::size_t> counts;
    for (const Crash &crash : crashes) {
        for (const RequestFingerprint request : crash.requests)
            ++counts[request];
    }
    const double minCount = m_options.minCrashShare * static_cast<double>(crashes.size());
    for (Crash &crash : crashes) {
        std::erase_if(crash.requests, [&](RequestFingerprint request) {
            return static_cast<double>(counts.at(request)) < minCount;
        });
        if (!crash.requests.empty() && crashed)
            crashed(*crash.endpoint, crash.requests);
    }
}

} // namespace Lagoonbank::Gateway

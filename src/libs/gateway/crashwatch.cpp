#include "gateway/crashwatch.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Gateway {

CrashWatch::CrashWatch(Options options)
    : m_options(std::move(options))
{ }

CrashWatch::~CrashWatch()
{
    for (const auto &[startHash, watched] : m_watched) {
        if (watched.timer)
            m_options.timers->cancel(*watched.timer);
    }
    if (m_judgeTimer)
        m_options.timers->cancel(*m_judgeTimer);
}

void CrashWatch::answerBroke(const EndpointPtr &endpoint, RequestFingerprint request)
{
    const auto [entry, isNew] =
        m_watched.try_emplace(endpoint->startHash, Watched{.endpoint = endpoint});
    std::vector<RequestFingerprint> &requests = entry->second.requests;
    if (std::find(requests.begin(), requests.end(), request) == requests.end())
        requests.push_back(request);
    if (isNew)
        checkAfter(m_options.gatherTime, entry->second);
}

void CrashWatch::checkAfter(Base::Duration delay, Watched &watched)
{
    const std::uint64_t startHash = watched.endpoint->startHash;
    watched.timer = m_options.timers->start(delay, [this, startHash] { check(startHash); });
}

void CrashWatch::check(std::uint64_t startHash)
{
    Watched &watched = m_watched.at(startHash);
    watched.timer.reset();
    if (watched.requests.empty()) {
        m_watched.erase(startHash);
        return;
    }
    const std::vector<RequestFingerprint> requests = std::exchange(watched.requests, {});
    m_options.check(
        watched.endpoint->info.address, m_options.checkTimeout,
        [this, startHash, requests, isAlive = std::weak_ptr<bool>(m_isAlive)](bool isReachable) {
            if (!isAlive.expired())
                checked(startHash, requests, isReachable);
        });
}

void CrashWatch::checked(std::uint64_t startHash, const std::vector<RequestFingerprint> &requests,
                         bool isReachable)
{
    Watched &watched = m_watched.at(startHash);
    checkAfter(m_options.interval, watched);
    if (isReachable)
        return;
    m_ends.push_back({.endpoint = watched.endpoint, .requests = requests});
    if (!m_judgeTimer)
        m_judgeTimer = m_options.timers->start(m_options.judgeTime, [this] { judge(); });
}

void CrashWatch::judge()
{
    m_judgeTimer.reset();
    std::vector<End> ends = std::exchange(m_ends, {});
    absl::flat_hash_map<RequestFingerprint, std::size_t> counts;
    for (const End &end : ends) {
        for (const RequestFingerprint request : end.requests)
            ++counts[request];
    }
    const double least = m_options.blamedShare * static_cast<double>(ends.size());
    for (End &end : ends) {
        std::erase_if(end.requests, [&](RequestFingerprint request) {
            return static_cast<double>(counts.at(request)) < least;
        });
        if (!end.requests.empty() && crashed)
            crashed(*end.endpoint, end.requests);
    }
}

} // namespace Lagoonbank::Gateway

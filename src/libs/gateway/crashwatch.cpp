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
    if (requests.empty())
        entry->second.brokenAt = m_options.timers->clock().now();
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
    const Crash crash{.endpoint = broken.endpoint,
                      .at = broken.brokenAt,
                      .requests = std::exchange(broken.requests, {})};
    m_options.check(
        broken.endpoint->info.address, m_options.checkTimeout,
        [this, startHash, crash, isAlive = std::weak_ptr<bool>(m_isAlive)](bool isReachable) {
            if (!isAlive.expired())
                checked(startHash, crash, isReachable);
        });
}

void CrashWatch::checked(std::uint64_t startHash, const Crash &crash, bool isReachable)
{
    checkAfter(m_options.checkInterval, m_brokenEndpoints.at(startHash));
    if (isReachable)
        return;
    m_crashes.push_back(crash);
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

CrashWatch::Report CrashWatch::reportOf(const Crash &crash,
                                        const std::function<bool(RequestFingerprint)> &isCommon)
{
    Report report{.endpoint = *crash.endpoint, .isUnrelated = true};
    for (const BrokenRequest &broken : crash.requests) {
        const bool isBlamed = isCommon(broken.request);
        report.isUnrelated = report.isUnrelated && !isBlamed;
        if (broken.hasBegun)
            continue;
        if (isBlamed)
            report.requests.push_back(broken.request);
        for (std::size_t depth = 0; depth < broken.parts.size(); ++depth)
            report.parts.push_back({.part = broken.parts[depth],
                                    .depth = static_cast<int>(depth),
                                    .request = broken.request,
                                    .endpoint = crash.endpoint->startHash,
                                    .at = crash.at});
    }
    return report;
}

void CrashWatch::reportCrashes()
{
    m_reportTimer.reset();
    const std::vector<Crash> crashes = std::exchange(m_crashes, {});
    if (!crashed)
        return;
    const auto counts = crashCounts(crashes);
    const double minCount = m_options.minCrashShare * static_cast<double>(crashes.size());
    const auto isCommon = [&](RequestFingerprint request) {
        return static_cast<double>(counts.at(request)) >= minCount;
    };
    for (const Crash &crash : crashes)
        crashed(reportOf(crash, isCommon));
}

} // namespace Lagoonbank::Gateway

#include "fleetsync/softwarerefresh.h"

#include <memory>
#include <utility>

namespace Lagoonbank::FleetSync {

namespace {

/// Endpoints write their entries every 1.2 s, so that an older tail has more records than a
/// listing.
constexpr Base::Duration maxEntryTailAge = std::chrono::seconds(2);

} // namespace

SoftwareRefresh::SoftwareRefresh(const Options &options)
    : m_options(options)
    , m_endpoints(
          {.source = options.endpoints, .timers = options.timers, .maxTailAge = maxEntryTailAge})
    , m_software({.source = options.software, .timers = options.timers, .maxTailAge = {}})
{
    m_endpoints.recordRead = [this](const KeyedLog::KeyedRecord &record) {
        if (endpointRead)
            endpointRead(record);
    };
    m_software.recordRead = [this](const KeyedLog::KeyedRecord &record) {
        const auto use = SoftwareLog::readRecord(record, softwareUnreadable);
        if (use && softwareRead)
            softwareRead(*use);
    };
}

void SoftwareRefresh::refresh(Refreshed refreshed)
{
    struct Answers
    {
        int open = 2;
        bool areCurrent = true;
    };
    const auto answers = std::make_shared<Answers>();
    const auto answered = [this, answers, refreshed = std::move(refreshed)](bool isCurrent) {
        answers->areCurrent = answers->areCurrent && isCurrent;
        if (--answers->open > 0)
            return;
        if (answers->areCurrent)
            logReturned();
        else
            logFailed();
        refreshed(answers->areCurrent && !mayLackVersions());
    };
    m_endpoints.refresh(answered);
    m_software.refresh(answered);
}

void SoftwareRefresh::logRestored()
{
    m_restoredAt = m_options.timers->clock().now();
    m_hasFailedSinceRestored = false;
}

void SoftwareRefresh::logFailed()
{
    m_hasFailedSinceRestored = mayLackVersions();
}

void SoftwareRefresh::logReturned()
{
    if (m_hasFailedSinceRestored)
        logRestored();
}

bool SoftwareRefresh::mayLackVersions() const
{
    if (m_hasFailedSinceRestored)
        return true;
    return m_restoredAt
        && m_options.timers->clock().now() - *m_restoredAt < SoftwareLog::rewriteTime;
}

} // namespace Lagoonbank::FleetSync

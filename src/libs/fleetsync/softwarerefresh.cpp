#include "fleetsync/softwarerefresh.h"

#include "fleetsync/softwarelog.h"

#include <memory>
#include <utility>

namespace Lagoonbank::FleetSync {

SoftwareRefresh::SoftwareRefresh(const Options &options)
    : m_options(options)
    , m_endpoints({.source = options.endpoints, .timers = options.timers})
    , m_software({.source = options.software, .timers = options.timers})
{
    m_endpoints.recordRead = [this](const KeyedLog::KeyedRecord &record) {
        if (endpointRead)
            endpointRead(record);
    };
    m_software.recordRead = [this](const KeyedLog::KeyedRecord &record) {
        const std::string_view fault = SoftwareLog::findFault(record);
        if (!fault.empty() && softwareUnreadable)
            softwareUnreadable(record, fault);
        const auto use = SoftwareLog::readRecord(record);
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
        if (--answers->open == 0)
            refreshed(answers->areCurrent && !mayLackVersions());
    };
    m_endpoints.refresh(answered);
    m_software.refresh(answered);
}

bool SoftwareRefresh::mayLackVersions() const
{
    return m_restoredAt && m_options.timers->clock().now() - *m_restoredAt < m_options.rewriteTime;
}

} // namespace Lagoonbank::FleetSync

#include "standins/platform/vmlist.h"

namespace Lagoonbank::Standins::Platform {

namespace {

constexpr std::size_t maxPending = 1000;

} // namespace

void VmList::set(std::string json, Base::MonoTime now)
{
    const Base::MonoTime visibleFrom = m_hasList ? now + m_lag : now;
    m_hasList = true;
    if (m_pending.size() >= maxPending)
        m_pending.pop_front();
    m_pending.emplace_back(visibleFrom, std::move(json));
}

const std::string &VmList::visibleList(Base::MonoTime now)
{
    while (!m_pending.empty() && m_pending.front().first <= now) {
        m_visibleList = std::move(m_pending.front().second);
        m_pending.pop_front();
    }
    return m_visibleList;
}

} // namespace Lagoonbank::Standins::Platform

#include "standins/platform/vmlist.h"

namespace Lagoonbank::Standins::Platform {

namespace {

constexpr std::size_t maxWaiting = 1000;

} // namespace

void VmList::set(std::string json, Base::MonoTime now)
{
    const Base::MonoTime due = m_hasList ? now + m_lag : now;
    m_hasList = true;
    if (m_waiting.size() >= maxWaiting)
        m_waiting.pop_front();
    m_waiting.emplace_back(due, std::move(json));
}

const std::string &VmList::shown(Base::MonoTime now)
{
    while (!m_waiting.empty() && m_waiting.front().first <= now) {
        m_shown = std::move(m_waiting.front().second);
        m_waiting.pop_front();
    }
    return m_shown;
}

} // namespace Lagoonbank::Standins::Platform

#include "membership/datacentrelinks.h"

#include "membership/peercodec.h"

#include <algorithm>

namespace Lagoonbank::Membership {

void DataCentreLinks::recordContact(const std::string &dataCentre, Base::MonoTime now)
{
    Base::MonoTime &contact = m_contacts[nameKey(dataCentre)];
    contact = std::max(contact, now);
}

void DataCentreLinks::receive(const DataCentreContact &contact, Base::MonoTime now)
{
    const auto found = m_contacts.find(contact.dataCentre);
    if (found == m_contacts.end())
        return;
    found->second = std::max(found->second, now - std::chrono::milliseconds(contact.ageMs));
}

void DataCentreLinks::addDataCentre(const std::string &dataCentre, Base::MonoTime now)
{
    m_contacts.try_emplace(nameKey(dataCentre), now);
}

bool DataCentreLinks::isReachable(const std::string &dataCentre, Base::MonoTime now) const
{
    const auto found = m_contacts.find(nameKey(dataCentre));
    return found != m_contacts.end() && now - found->second <= m_timeout;
}

Base::MonoTime DataCentreLinks::lastContact(const std::string &dataCentre) const
{
    const auto found = m_contacts.find(nameKey(dataCentre));
    return found == m_contacts.end() ? Base::MonoTime::min() : found->second;
}

std::vector<DataCentreContact> DataCentreLinks::contacts(Base::MonoTime now) const
{
    std::vector<DataCentreContact> result;
    for (const auto &[key, contact] : m_contacts) {
        if (now - contact > m_timeout)
            continue;
        const auto age =
            std::clamp<std::int64_t>(Base::toMilliseconds(now - contact), 0, UINT32_MAX);
        result.push_back({.dataCentre = key, .ageMs = static_cast<std::uint32_t>(age)});
    }
    return result;
}

void DataCentreLinks::shift(Base::Duration pause)
{
    for (auto &[key, contact] : m_contacts)
        contact += pause;
}

} // namespace Lagoonbank::Membership

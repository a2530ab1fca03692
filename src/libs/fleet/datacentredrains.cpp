#include "fleet/datacentredrains.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Fleet {

void DataCentreDrains::addDrain(const Base::DataCentreId &dataCentre, Base::LogOffset asOf)
{
    Set next = m_current;
    next.insert(dataCentre);
    replace(std::move(next), asOf);
}

void DataCentreDrains::removeDrain(const Base::DataCentreId &dataCentre, Base::LogOffset asOf)
{
    Set next = m_current;
    next.erase(dataCentre);
    replace(std::move(next), asOf);
}

void DataCentreDrains::replace(Set dataCentres, Base::LogOffset asOf)
{
    if (asOf <= m_asOf)
        return;
    m_asOf = asOf;
    if (dataCentres == m_current)
        return;
    const Set before = std::exchange(m_current, std::move(dataCentres));
    if (changed)
        changed(before, m_current);
}

void DataCentreDrains::advanceTo(Base::LogOffset asOf)
{
    m_asOf = std::max(m_asOf, asOf);
}

} // namespace Lagoonbank::Fleet

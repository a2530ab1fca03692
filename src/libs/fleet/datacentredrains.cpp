#include "fleet/datacentredrains.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Fleet {

DataCentreDrains::~DataCentreDrains()
{
    if (m_rewriteTimer)
        m_options.timers->cancel(*m_rewriteTimer);
}

void DataCentreDrains::addDrain(const Base::DataCentreId &dataCentre, Base::LogOffset asOf)
{
    Set next = newest().drained;
    next.insert(dataCentre);
    replace(std::move(next), asOf);
}

void DataCentreDrains::removeDrain(const Base::DataCentreId &dataCentre, Base::LogOffset asOf)
{
    Set next = newest().drained;
    next.erase(dataCentre);
    replace(std::move(next), asOf);
}

void DataCentreDrains::replace(Set dataCentres, Base::LogOffset asOf)
{
    if (asOf <= newest().asOf)
        return;
    State next{std::move(dataCentres), asOf};
    if (m_rewriteTimer)
        m_pending = std::move(next);
    else
        putInForce(std::move(next));
}

void DataCentreDrains::advanceTo(Base::LogOffset asOf)
{
    newest().asOf = std::max(newest().asOf, asOf);
}

void DataCentreDrains::storeRestored()
{
    if (m_rewriteTimer)
        m_options.timers->cancel(*m_rewriteTimer);
    m_rewriteTimer = m_options.timers->start(m_options.rewriteTime, [this] {
        m_rewriteTimer.reset();
        if (m_pending)
            putInForce(*std::exchange(m_pending, std::nullopt));
    });
}

void DataCentreDrains::putInForce(State state)
{
    const State before = std::exchange(m_current, std::move(state));
    if (changed && before.drained != m_current.drained)
        changed(before.drained, m_current.drained);
}

} // namespace Lagoonbank::Fleet

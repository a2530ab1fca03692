#include "standins/engine/orders.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Standins {

Orders::Orders(Options options)
    : m_options(std::move(options))
    , m_settings(m_options.initial)
    , m_loadedAt(m_options.clock->now())
{ }

bool Orders::apply(const Order &order)
{
    const bool stale = order.fencing < m_fencing;
    const bool applied = !stale || !m_options.checkFencing;
    m_records.push_back({order.fencing, order.orderId, m_options.clock->wallNow(), applied, stale});
    if (m_records.size() > m_options.maxRecords)
        m_records.pop_front();
    if (!applied)
        return false;
    m_fencing = std::max(m_fencing, order.fencing);
    set(order);
    return true;
}

bool Orders::isLoading() const
{
    return m_options.clock->now() < m_loadedAt;
}

void Orders::set(const Order &order)
{
    const EngineSettings before = m_settings;
    m_settings.model = order.model.value_or(before.model);
    m_settings.adapter = order.adapter.value_or(before.adapter);
    m_settings.version = order.version.value_or(before.version);
    m_settings.role = order.role.value_or(before.role);
    m_settings.draining = order.draining.value_or(before.draining);
    const bool reload = m_settings.model != before.model || m_settings.adapter != before.adapter
        || m_settings.version != before.version;
    if (reload)
        m_loadedAt = m_options.clock->now() + m_options.loadTime;
}

} // namespace Lagoonbank::Standins

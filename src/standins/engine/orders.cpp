#include "standins/engine/orders.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Standins {

Orders::Orders(Options options)
    : m_options(std::move(options))
    , m_settings(m_options.initial)
    , m_loadingEndsAt(m_options.clock->now())
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
    return m_options.clock->now() < m_loadingEndsAt;
}

void Orders::set(const Order &order)
{
    const EngineSettings previous = m_settings;
    m_settings.model = order.model.value_or(previous.model);
    m_settings.adapter = order.adapter.value_or(previous.adapter);
    m_settings.version = order.version.value_or(previous.version);
    m_settings.role = order.role.value_or(previous.role);
    m_settings.draining = order.draining.value_or(previous.draining);
    const bool reload = m_settings.model != previous.model || m_settings.adapter != previous.adapter
        || m_settings.version != previous.version;
    if (reload)
        m_loadingEndsAt = m_options.clock->now() + m_options.loadTime;
}

} // namespace Lagoonbank::Standins

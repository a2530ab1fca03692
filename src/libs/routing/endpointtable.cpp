#include "routing/endpointtable.h"

#include "routing/rendezvous.h"

#include <absl/strings/string_view.h>

#include <algorithm>

namespace Lagoonbank::Routing {

namespace {

constexpr double minimumCapacity = 1e-6;

} // namespace

std::string modelPool(const Base::ModelId &model)
{
    return "model/" + model.value();
}

std::string servicePool(const Base::ServiceId &service)
{
    return "service/" + service.value();
}

EndpointIndex EndpointTable::upsert(const EndpointInfo &info)
{
    EndpointIndex index = find(info.id);
    if (index == noEndpoint) {
        if (m_free.empty()) {
            index = static_cast<EndpointIndex>(m_rows.size());
            m_rows.emplace_back();
            m_hot.emplace_back();
        } else {
            index = m_free.back();
            m_free.pop_back();
        }
        m_byId[info.id] = index;
        m_hot[index].hash = stableHash(info.id.value());
        m_byHash[m_hot[index].hash] = index;
    } else {
        leavePool(index);
    }
    Row &row = m_rows[index];
    row.info = info;
    row.pool = poolFor(info.pool);
    m_pools[row.pool].push_back(index);
    setCapacity(index, info.capacity);
    setState(index, info.state);
    return index;
}

bool EndpointTable::remove(const Base::EndpointId &id)
{
    const EndpointIndex index = find(id);
    if (index == noEndpoint)
        return false;
    leavePool(index);
    setState(index, EndpointState::Removed);
    m_byHash.erase(m_hot[index].hash);
    m_byId.erase(id);
    m_free.push_back(index);
    return true;
}

EndpointIndex EndpointTable::find(const Base::EndpointId &id) const
{
    const auto it = m_byId.find(id);
    return it == m_byId.end() ? noEndpoint : it->second;
}

EndpointIndex EndpointTable::findByHash(std::uint64_t hash) const
{
    const auto it = m_byHash.find(hash);
    return it == m_byHash.end() ? noEndpoint : it->second;
}

PoolIndex EndpointTable::findPool(std::string_view pool) const
{
    const auto it = m_poolByName.find(absl::string_view(pool.data(), pool.size()));
    return it == m_poolByName.end() ? noPool : it->second;
}

void EndpointTable::setState(EndpointIndex index, EndpointState state)
{
    m_rows[index].info.state = state;
    m_hot[index].live = state == EndpointState::Live;
}

void EndpointTable::setCapacity(EndpointIndex index, Base::WorkUnits capacity)
{
    const double value = std::max(capacity.value(), minimumCapacity);
    m_rows[index].info.capacity = Base::WorkUnits(value);
    m_hot[index].capacity = value;
}

void EndpointTable::setColdSince(EndpointIndex index, Base::MonoTime coldSince)
{
    m_rows[index].info.coldSince = coldSince;
}

std::span<const EndpointIndex> EndpointTable::members(PoolIndex pool) const
{
    if (pool >= m_pools.size())
        return {};
    return m_pools[pool];
}

PoolIndex EndpointTable::poolFor(const std::string &name)
{
    const auto [it, added] = m_poolByName.try_emplace(name, static_cast<PoolIndex>(m_pools.size()));
    if (added)
        m_pools.emplace_back();
    return it->second;
}

void EndpointTable::leavePool(EndpointIndex index)
{
    std::erase(m_pools[m_rows[index].pool], index);
    m_rows[index].pool = noPool;
}

} // namespace Lagoonbank::Routing

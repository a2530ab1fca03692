#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Chooses the endpoint of each request. Does no I/O and reads no clock; time is an argument.
namespace Lagoonbank::Routing {

/// Dense index of an endpoint within one EndpointTable; reused after a removal.
using EndpointIndex = std::uint32_t;
/// Dense index of a pool: all endpoints that serve one model or one plain service.
using PoolIndex = std::uint32_t;
inline constexpr EndpointIndex noEndpoint = std::numeric_limits<EndpointIndex>::max();
inline constexpr PoolIndex noPool = std::numeric_limits<PoolIndex>::max();

enum class EndpointState : std::uint8_t {
    Live,
    Leaving, ///< Drains: finishes its running requests and gets no new ones.
    Removed
};

/// Static data and state of an endpoint, from configuration, membership and orders.
struct EndpointInfo
{
    Base::EndpointId id;
    std::string address; ///< IP address and port.
    Base::DataCentreId dataCentre;
    std::string pool; ///< Name of its pool; see modelPool() and servicePool().
    Base::WorkUnits capacity{1.0}; ///< Work that it can process at full speed; above zero.
    EndpointState state = EndpointState::Live;
    Base::MonoTime coldSince; ///< Last time at which its cache was known to be empty.
};

std::string modelPool(const Base::ModelId &model);
std::string servicePool(const Base::ServiceId &service);

/// Endpoints of the region under dense indices, grouped into pools. The hash of an endpoint
/// depends on its id alone, so that routers with different lists agree on every endpoint that
/// both lists contain.
class EndpointTable
{
public:
    /// Adds the endpoint or replaces its data. An endpoint that moves to another pool keeps its
    /// index.
    EndpointIndex upsert(const EndpointInfo &info);
    /// Frees the index; returns false for an unknown id.
    bool remove(const Base::EndpointId &id);

    EndpointIndex find(const Base::EndpointId &id) const;
    EndpointIndex findByHash(std::uint64_t hash) const;
    PoolIndex findPool(std::string_view pool) const;

    /// One more than the highest index ever in use; removed endpoints are included.
    std::size_t size() const { return m_rows.size(); }
    bool contains(EndpointIndex index) const
    {
        return index < m_rows.size() && m_rows[index].info.state != EndpointState::Removed;
    }
    const EndpointInfo &info(EndpointIndex index) const { return m_rows[index].info; }
    std::uint64_t hash(EndpointIndex index) const { return m_hot[index].hash; }
    double capacity(EndpointIndex index) const { return m_hot[index].capacity; }
    bool isLive(EndpointIndex index) const { return m_hot[index].live; }
    PoolIndex pool(EndpointIndex index) const { return m_rows[index].pool; }

    void setState(EndpointIndex index, EndpointState state);
    void setCapacity(EndpointIndex index, Base::WorkUnits capacity);
    void setColdSince(EndpointIndex index, Base::MonoTime coldSince);

    /// Members of a pool in unspecified order; empty for noPool.
    std::span<const EndpointIndex> members(PoolIndex pool) const;

private:
    struct Row
    {
        EndpointInfo info;
        PoolIndex pool = noPool;
    };
    /// Fields read by every decision, stored apart from Row for cache locality.
    struct Hot
    {
        std::uint64_t hash = 0;
        double capacity = 1.0;
        bool live = false;
    };

    PoolIndex poolFor(const std::string &name);
    void leavePool(EndpointIndex index);

    std::vector<Row> m_rows;
    std::vector<Hot> m_hot;
    std::vector<EndpointIndex> m_free;
    std::vector<std::vector<EndpointIndex>> m_pools;
    absl::flat_hash_map<std::string, PoolIndex> m_poolByName;
    absl::flat_hash_map<Base::EndpointId, EndpointIndex> m_byId;
    absl::flat_hash_map<std::uint64_t, EndpointIndex> m_byHash;
};

} // namespace Lagoonbank::Routing

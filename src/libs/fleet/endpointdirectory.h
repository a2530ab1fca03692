#pragma once

#include "fleet/endpoint.h"
#include "runtime/timerqueue.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <optional>
#include <vector>

namespace Lagoonbank::Fleet {

/// The endpoints that are there, as their entries in the platform's store tell.
///
/// Entries lapse while the store is away, although their endpoints live. So an entry that goes
/// within `returnTime` of the store's return is believed gone only after that time, unless it was
/// draining.
class EndpointDirectory
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        /// How long endpoints take to write their entries again after the store's return.
        Base::Duration returnTime = std::chrono::milliseconds(2200);
    };

    explicit EndpointDirectory(Options options)
        : m_options(options)
    { }
    ~EndpointDirectory();
    EndpointDirectory(const EndpointDirectory &) = delete;
    EndpointDirectory &operator=(const EndpointDirectory &) = delete;

    /// An entry was written.
    void put(Endpoint endpoint);
    /// An entry has gone.
    void remove(const Base::EndpointId &id);
    /// The store answers again after it was away.
    void storeReturned();

    const absl::flat_hash_map<Base::EndpointId, Endpoint> &endpoints() const { return m_endpoints; }
    const Endpoint *find(const Base::EndpointId &id) const;

    /// An endpoint is new or something of it has changed.
    std::function<void(const Endpoint &endpoint)> changed;
    std::function<void(const Endpoint &endpoint)> removed;

private:
    void removeNow(const Base::EndpointId &id);
    void removeMissing();

    Options m_options;
    absl::flat_hash_map<Base::EndpointId, Endpoint> m_endpoints;
    std::vector<Base::EndpointId> m_missing; ///< Gone from the store, not yet believed.
    std::optional<Runtime::TimerId> m_returnTimer; ///< Runs for returnTime after a return.
};

} // namespace Lagoonbank::Fleet

#pragma once

#include "gateway/endpointregistry.h"
#include "runtime/timerqueue.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <functional>
#include <random>

namespace Lagoonbank::Gateway {

/// Marks endpoints that cannot be reached, and probes them with separate connections until they can
/// be reached again, so that no caller's request has to wait for a connection timeout.
///
/// A network partition makes all endpoints of a data centre unreachable at once. When one endpoint
/// is found to be unreachable, some others of its data centre are therefore probed immediately, and
/// more for each of these that is unreachable too. A partition is detected in a few rounds, while
/// the crash of a single endpoint costs a few connections in a data centre of any size.
class Reachability
{
public:
    struct Options
    {
        EndpointRegistry *registry = nullptr;
        Runtime::TimerQueue *timers = nullptr;
        /// Checks whether a server accepts a connection, which is closed at once. Calls `checked`
        /// exactly once, and not before the function has returned.
        std::function<void(const Runtime::SocketAddress &server, Base::Duration timeout,
                           std::function<void(bool isReachable)> checked)>
            check;
        /// Connection timeout. A live endpoint in the region accepts within 5 ms.
        Base::Duration checkTimeout = std::chrono::milliseconds(100);
        /// Interval between two checks of an unreachable endpoint. Network partitions end after
        /// seconds, and a connection attempt is cheap.
        Base::Duration interval = std::chrono::milliseconds(300);
        /// Number of other endpoints that are checked for each one found to be unreachable. With 8,
        /// 500 endpoints are checked in three rounds of `checkTimeout`.
        std::size_t checksPerFailure = 8;
        std::uint64_t randomSeed = 1;
    };

    explicit Reachability(Options options);
    ~Reachability();
    Reachability(const Reachability &) = delete;
    Reachability &operator=(const Reachability &) = delete;

    /// Reports that a request could not connect to the endpoint.
    void reportUnreachable(const EndpointPtr &endpoint);

    /// Called when an endpoint becomes unreachable or reachable again.
    std::function<void(EndpointRecord &endpoint)> reachabilityChanged;

private:
    void checkOthers(const EndpointRecord &failed);
    void check(const EndpointPtr &endpoint);
    void checkFinished(const EndpointPtr &endpoint, bool isReachable);
    void setUnreachable(EndpointRecord &endpoint, bool isUnreachable);

    Options m_options;
    std::minstd_rand m_random;
    absl::flat_hash_map<Base::EndpointId, Runtime::TimerId> m_timers; ///< For the next checks.
    absl::flat_hash_set<Base::EndpointId> m_checking; ///< Endpoints being checked.
    /// Lets callbacks of checks detect that this object was destroyed.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Lagoonbank::Gateway

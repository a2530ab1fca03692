#pragma once

#include "gateway/endpointregistry.h"
#include "runtime/timerqueue.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <functional>
#include <random>

namespace Lagoonbank::Gateway {

/// Keeps away from endpoints that cannot be reached and finds out when they can be again, by
/// connections of its own, so that no caller's request has to find it out.
///
/// Endpoints become unreachable together: a data centre that is cut off takes all of its own with
/// it. So when one is found unreachable, some others of its data centre are checked at once, and
/// more for each of these that cannot be reached: a data centre that is cut off is found out in a
/// few rounds, and one endpoint that crashed costs a few connections however many there are.
class Reachability
{
public:
    struct Options
    {
        EndpointRegistry *registry = nullptr;
        Runtime::TimerQueue *timers = nullptr;
        /// Opens a connection and closes it; calls back once, later.
        std::function<void(const Runtime::SocketAddress &server, Base::Duration timeout,
                           std::function<void(bool isReachable)> checked)>
            check;
        /// For a connection: a live endpoint of the region accepts within 5 ms.
        Base::Duration checkTimeout = std::chrono::milliseconds(100);
        /// Between two checks of an endpoint that cannot be reached. A cut ends after seconds; a
        /// connection costs next to nothing.
        Base::Duration interval = std::chrono::milliseconds(300);
        /// Others that are checked for each one that is found unreachable: 500 are found out in
        /// three rounds of `checkTimeout`.
        std::size_t checksPerFailure = 8;
        std::uint64_t randomSeed = 1;
    };

    explicit Reachability(Options options);
    ~Reachability();
    Reachability(const Reachability &) = delete;
    Reachability &operator=(const Reachability &) = delete;

    /// A request found no connection to it.
    void reportUnreachable(const EndpointPtr &endpoint);

    /// An endpoint cannot be reached, or can be again.
    std::function<void(EndpointRecord &endpoint)> changed;

private:
    void checkOthers(const EndpointRecord &failed);
    void check(const EndpointPtr &endpoint);
    void checked(const EndpointPtr &endpoint, bool isReachable);
    void setUnreachable(EndpointRecord &endpoint, bool isUnreachable);

    Options m_options;
    std::minstd_rand m_random;
    absl::flat_hash_map<Base::EndpointId, Runtime::TimerId> m_timers; ///< Of the next checks.
    absl::flat_hash_set<Base::EndpointId> m_checking; ///< Checks under way.
    /// Checks that end after this object is gone find it out by this.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Lagoonbank::Gateway

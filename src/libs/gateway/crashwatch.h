#pragma once

#include "gateway/endpointregistry.h"
#include "gateway/requestfingerprint.h"
#include "runtime/timerqueue.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Lagoonbank::Gateway {

/// Finds out whether an endpoint on which a request broke has ended: it takes no connection then,
/// while one that only broke an answer does. A router that is cut off sees many endpoints end at
/// once, and most of them without one and the same request.
class CrashWatch
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        /// Opens a connection and closes it; calls back once, later.
        std::function<void(const Runtime::SocketAddress &server, Base::Duration timeout,
                           std::function<void(bool isReachable)> checked)>
            check;
        /// For a connection: a live endpoint of the region accepts within 5 ms.
        Base::Duration checkTimeout = std::chrono::milliseconds(100);
        /// From the first broken answer to the check: the others of an endpoint that ended break
        /// within a round trip.
        Base::Duration checkDelay = std::chrono::milliseconds(5);
        /// Between two checks of one endpoint. One that breaks many answers and stays costs few
        /// connections, and none that ended is back by then.
        Base::Duration checkInterval = std::chrono::milliseconds(200);
        /// For which ends are gathered: a cut shows at all endpoints within some tens of ms.
        Base::Duration correlationWindow = std::chrono::milliseconds(100);
        /// Part of the endpoints that ended together which a request must have been at for it to
        /// be to blame: it may have been at some of them through other routers.
        double minCrashShare = 0.5;
    };

    explicit CrashWatch(Options options);
    ~CrashWatch();
    CrashWatch(const CrashWatch &) = delete;
    CrashWatch &operator=(const CrashWatch &) = delete;

    /// The request was there, and its answer has broken off.
    void answerBroke(const EndpointPtr &endpoint, RequestFingerprint request);

    /// The endpoint has ended while it had these requests, each named once, any of which may be to
    /// blame.
    std::function<void(const EndpointRecord &endpoint,
                       const std::vector<RequestFingerprint> &requests)>
        crashed;

private:
    struct Crash
    {
        EndpointPtr endpoint;
        std::vector<RequestFingerprint> requests;
    };
    struct BrokenEndpoint
    {
        EndpointPtr endpoint;
        std::vector<RequestFingerprint> requests; ///< That broke since the last check.
        std::optional<Runtime::TimerId> timer; ///< Until the next check; none while one is made.
    };

    void checkAfter(Base::Duration delay, BrokenEndpoint &broken);
    void check(std::uint64_t startHash);
    void checked(std::uint64_t startHash, const std::vector<RequestFingerprint> &requests,
                 bool isReachable);
    void reportCrashes();

    Options m_options;
    absl::flat_hash_map<std::uint64_t, BrokenEndpoint>
        m_brokenEndpoints; ///< By EndpointRecord::startHash.
    std::vector<Crash> m_crashes; ///< That are not judged yet.
    std::optional<Runtime::TimerId> m_reportTimer;
    /// Checks that end after this object is gone find it out by this.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Lagoonbank::Gateway

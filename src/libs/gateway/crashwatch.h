#pragma once

#include "gateway/endpointregistry.h"
#include "gateway/partevidence.h"
#include "gateway/requestfingerprint.h"
#include "runtime/timerqueue.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Lagoonbank::Gateway {

/// Detects endpoints that have crashed while requests were running there. After an answer breaks
/// off, it checks whether the endpoint still accepts connections: a crashed endpoint does not,
/// while one that only broke an answer does.
///
/// A request is blamed only if it ran on a large part of the endpoints that crashed together. A
/// router that is cut off from the network sees many endpoints fail at once, most of which did not
/// have any request in common. A request that its endpoint had begun to answer is not blamed.
class CrashWatch
{
public:
    /// A request whose answer has broken off.
    struct BrokenRequest
    {
        RequestFingerprint request;
        std::vector<PartHash> parts; ///< sharedParts() of its prompt.
        bool hasBegun = false; ///< The endpoint outlived the begin of the answer.
    };
    /// An endpoint that has crashed, and what may have caused it.
    struct Report
    {
        const EndpointRecord &endpoint;
        /// Requests that waited for their answers to begin. Each is listed once.
        std::vector<RequestFingerprint> requests;
        /// The shared parts of their prompts, also of requests that are not blamed.
        std::vector<PartCrash> parts;
        /// No request was running on a large part of the endpoints that crashed together, as in a
        /// cut of the network.
        bool isUnrelated = false;
    };

    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        /// Opens a connection and closes it; calls back once, asynchronously.
        std::function<void(const Runtime::SocketAddress &server, Base::Duration timeout,
                           std::function<void(bool isReachable)> checked)>
            check;
        /// Connect timeout of a check; a live endpoint of the region accepts within 5 ms.
        Base::Duration checkTimeout = std::chrono::milliseconds(100);
        /// Time from the first broken answer to the check. The other answers of a crashed endpoint
        /// break within a round trip.
        Base::Duration checkDelay = std::chrono::milliseconds(5);
        /// Time between two checks of the same endpoint. It limits the connections made to an
        /// endpoint that breaks many answers without crashing. A crashed endpoint does not restart
        /// within this time, so no crash is missed.
        Base::Duration checkInterval = std::chrono::milliseconds(200);
        /// Time for which crashes are collected before requests are blamed. A network cut shows at
        /// all endpoints within some tens of milliseconds.
        Base::Duration correlationWindow = std::chrono::milliseconds(100);
        /// Minimum part of the endpoints that crashed together at which a request must have been
        /// running to be blamed. It is below 1 because the request may have reached some of them
        /// through other routers.
        double minCrashShare = 0.5;
    };

    explicit CrashWatch(Options options);
    ~CrashWatch();
    CrashWatch(const CrashWatch &) = delete;
    CrashWatch &operator=(const CrashWatch &) = delete;

    /// Records that the answer to \a request from \a endpoint has broken off.
    void answerBroke(const EndpointPtr &endpoint, const BrokenRequest &request);

    std::function<void(const Report &report)> crashed;

private:
    struct Crash
    {
        EndpointPtr endpoint;
        Base::MonoTime at;
        std::vector<BrokenRequest> requests;
    };
    struct BrokenEndpoint
    {
        EndpointPtr endpoint;
        Base::MonoTime brokenAt; ///< When the first of these answers broke.
        /// Requests whose answers broke since the last check.
        std::vector<BrokenRequest> requests;
        std::optional<Runtime::TimerId> timer; ///< Set until the next check, unset while it runs.
    };

    void checkAfter(Base::Duration delay, BrokenEndpoint &broken);
    void check(std::uint64_t startHash);
    void checked(std::uint64_t startHash, const Crash &crash, bool isReachable);
    /// Blames requests for the collected crashes and calls crashed().
    void reportCrashes();
    static Report reportOf(const Crash &crash,
                           const std::function<bool(RequestFingerprint)> &isCommon);
    /// Number of the collected crashes in which each request was running.
    static absl::flat_hash_map<RequestFingerprint, std::size_t>
    crashCounts(const std::vector<Crash> &crashes);

    Options m_options;
    /// Keyed by EndpointRecord::startHash.
    absl::flat_hash_map<std::uint64_t, BrokenEndpoint> m_brokenEndpoints;
    std::vector<Crash> m_crashes; ///< Crashes that have not been reported yet.
    std::optional<Runtime::TimerId> m_reportTimer;
    /// Lets checks that complete after the destruction of this object detect that.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Lagoonbank::Gateway

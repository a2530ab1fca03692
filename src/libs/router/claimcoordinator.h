#pragma once

#include "claims/claimer.h"
#include "platformclient/batchappender.h"
#include "platformclient/logclient.h"
#include "platformclient/tailer.h"
#include "router/callerapi.h"
#include "runtime/loop.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>

namespace Lagoonbank::Router {

/// Claims the idempotency keys of this router's calls on the platform's log, so that each call runs
/// at most once across all routers, and records the outcomes there.
class ClaimCoordinator
{
public:
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        PlatformClient::LogClient *log = nullptr;
        Claims::RouterInstance
            run; ///< Identifies this run of the router; changes with each restart.
        Claims::ClaimTable::IsGone isGone; ///< Whether a run of a router is known to have ended.
        PlatformClient::Backoff::Options backoff; ///< For retries while the log does not answer.
    };

    explicit ClaimCoordinator(const Options &options);

    void start();
    void claim(const ClaimRequest &request, std::function<void(ClaimResult)> claimed);
    void answered(const RequestInfo &info, const Exchange::ServiceAnswer &answer);
    void failed(const RequestInfo &info, Errors::Ran ran);
    /// Number of claims that wait for the log.
    std::size_t pending() const { return m_claimer.pending(); }
    /// Number of outcomes that have not been recorded on the log yet.
    std::size_t unrecorded() const { return m_claimer.unrecorded(); }

private:
    Claims::Claim makeClaim(const ClaimRequest &request) const;
    static ClaimResult toClaimResult(const Claims::Decision &decision);
    void finish(const RequestInfo &info, Claims::Outcome outcome);

    Options m_options;
    PlatformClient::BatchAppender m_appender;
    Claims::Claimer m_claimer;
    PlatformClient::Tailer m_tailer;
    /// Granted claims of calls that have not ended.
    absl::flat_hash_map<Base::RequestId, Claims::Claim> m_granted;
};

} // namespace Lagoonbank::Router

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

/// Claims idempotency keys on the platform's log for the calls of this router.
class ClaimCoordinator
{
public:
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        PlatformClient::LogClient *log = nullptr;
        Claims::RouterInstance run; ///< This start of this router.
        Claims::ClaimTable::IsGone isGone;
        PlatformClient::Backoff::Options backoff; ///< While the log does not answer.
    };

    explicit ClaimCoordinator(const Options &options);

    void start();
    void claim(const ClaimRequest &request, std::function<void(ClaimResult)> claimed);
    void answered(const RequestInfo &info, const Exchange::ServiceAnswer &answer);
    void failed(const RequestInfo &info, Errors::Ran ran);
    std::size_t pending() const { return m_claimer.pending(); }
    /// Outcomes that are not yet on the log.
    std::size_t unrecorded() const { return m_claimer.unrecorded(); }

private:
    Claims::Claim makeClaim(const ClaimRequest &request) const;
    static ClaimResult toClaimResult(const Claims::Decision &decision);
    void finish(const RequestInfo &info, Claims::Outcome outcome);

    Options m_options;
    PlatformClient::BatchAppender m_appender;
    Claims::Claimer m_claimer;
    PlatformClient::Tailer m_tailer;
    absl::flat_hash_map<Base::RequestId, Claims::Claim> m_granted;
};

} // namespace Lagoonbank::Router

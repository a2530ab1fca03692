#pragma once

#include "admission/admissioncontrol.h"
#include "base/ids.h"
#include "claims/claim.h"
#include "configuration/objecttable.h"
#include "exchange/exchange.h"
#include "exchange/modelcall.h"
#include "exchange/serviceexchange.h"
#include "http/server.h"
#include "router/placer.h"
#include "router/retrybudgets.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Lagoonbank::Router {

/// Properties of a caller's request that are set when it is read.
struct RequestInfo
{
    Base::RequestId id;
    Base::WorkspaceId workspace; ///< Empty if the bearer key belongs to no workspace.
    Base::ModelId model; ///< Empty for a service call.
    Base::ServiceId service; ///< Empty for a model call.
    std::optional<Base::IdempotencyKey> key; ///< The caller's idempotency key.
    bool idempotent = true;
    Base::MonoTime started;
};

/// Result of claiming an idempotency key.
struct ClaimResult
{
    enum class Kind : std::uint8_t {
        Run, ///< The claim was granted: run the call and record its outcome.
        Recorded, ///< An earlier call with the key has run; `answer` is its recorded answer.
        Refused ///< The call must not run; `refusal` holds the error.
    };
    Kind kind = Kind::Run;
    Exchange::ServiceAnswer answer;
    Exchange::Refusal refusal;
};

/// Request to claim the idempotency key of a call.
struct ClaimRequest
{
    RequestInfo info;
    Claims::CallHash call; ///< A key that was used with a different call is refused.
    Schema::LogOutPolicy whenLogIsOut = Schema::LogOutPolicy::Refuse;
    Base::MonoTime deadline; ///< Deadline of the call.
};

/// API for callers: parses requests, admits them, claims idempotency keys, and starts exchanges.
class CallerApi
{
public:
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        Http::Client *client = nullptr;
        Placer *placer = nullptr;
        Admission::AdmissionControl *admission = nullptr;
        RetryBudgets *retries = nullptr;
        std::function<Base::RequestId()> nextRequestId;
    };

    explicit CallerApi(Options options);

    void setObjects(std::shared_ptr<const Configuration::ObjectTable> objects);
    void setReady(bool ready) { m_ready = ready; }
    /// Reports the router as not ready to load balancers, but keeps serving requests.
    void announceStop() { m_isStopAnnounced = true; }
    void setDraining(bool draining) { m_draining = draining; }
    bool isReady() const { return m_ready && !m_draining && !m_isStopAnnounced; }
    std::size_t inFlight() const { return m_inFlight; }

    void handle(Http::Request request, std::shared_ptr<Http::Responder> responder);
    /// Records that the HTTP server refused a request it could not read; returns the request's id.
    std::string recordServerRefusal(Errors::ErrorKind kind);

    /// Called once a request has been read or refused unread; always before requestEnded().
    std::function<void(const RequestInfo &info)> requestStarted;
    /// Called when a request has been answered or its caller has disconnected.
    std::function<void(const RequestInfo &info, const Exchange::RequestResult &end)> requestEnded;
    std::function<void(const RequestInfo &info, const Exchange::Target &target)> attemptStarted;
    std::function<void(const RequestInfo &info, const Exchange::AttemptResult &result)>
        attemptEnded;
    /// Claims the key of a non-idempotent call. \a claimed is called exactly once, possibly before
    /// this function returns. If unset, keys are not claimed and all calls run without a claim.
    std::function<void(const ClaimRequest &claim, std::function<void(ClaimResult)> claimed)> claim;
    /// Called with the answer of a call whose key was claimed.
    std::function<void(const RequestInfo &info, const Exchange::ServiceAnswer &answer)>
        claimAnswered;
    /// Called when a call whose key was claimed ended without a complete answer.
    std::function<void(const RequestInfo &info, Errors::Ran ran)> claimFailed;

private:
    struct Context;
    using ContextPtr = std::shared_ptr<Context>;

    void answerHealth(const std::string &path, Http::Responder &responder);
    void handleModelCall(const ContextPtr &context);
    void handleServiceCall(const ContextPtr &context);
    void runServiceCall(const ContextPtr &context, Exchange::ServiceCall call, bool claimed);
    void claimed(const ContextPtr &context, Exchange::ServiceCall call, ClaimResult result);
    bool identify(const ContextPtr &context);
    void notifyStarted(const ContextPtr &context);
    bool admit(const ContextPtr &context, const Admission::Call &call);
    Exchange::Exchange::Options exchangeOptions(const ContextPtr &context);
    Exchange::Hooks hooks(const ContextPtr &context);
    Exchange::Timeouts timeouts() const;
    void refuse(const ContextPtr &context, Exchange::Refusal refusal);
    void refuse(const ContextPtr &context, Errors::Error error);
    void finished(const ContextPtr &context, const Exchange::RequestResult &end);

    Options m_options;
    std::shared_ptr<const Configuration::ObjectTable> m_objects =
        std::make_shared<Configuration::ObjectTable>();
    bool m_ready = false;
    bool m_draining = false;
    bool m_isStopAnnounced = false;
    std::size_t m_inFlight = 0;
};

} // namespace Lagoonbank::Router

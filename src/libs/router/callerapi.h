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

/// What is known of a request when it has been read.
struct RequestInfo
{
    Base::RequestId id;
    Base::WorkspaceId workspace; ///< Empty if the key names none.
    Base::ModelId model; ///< Empty for a call of a service.
    Base::ServiceId service; ///< Empty for a call of a model.
    std::optional<Base::IdempotencyKey> key;
    bool idempotent = true;
    Base::MonoTime started;
};

/// What a claim of an idempotency key came to.
struct ClaimResult
{
    enum class Kind : std::uint8_t {
        Run, ///< The key is this request's; the outcome is to be recorded.
        Recorded, ///< An earlier call has run; this is its answer.
        Refused ///< See the error.
    };
    Kind kind = Kind::Run;
    Exchange::ServiceAnswer answer;
    Exchange::Refusal refusal;
};

/// A claim on its way or held.
struct ClaimRequest
{
    RequestInfo info;
    Claims::CallHash call; ///< The same key with another call is refused.
    Schema::LogOutPolicy whenLogIsOut = Schema::LogOutPolicy::Refuse;
    Base::MonoTime deadline;
};

/// The callers' interface: reads, admits, claims, and starts exchanges.
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
    /// The router is going to stop: not ready for a balancer, but requests are still served.
    void announceStop() { m_isStopAnnounced = true; }
    void setDraining(bool draining) { m_draining = draining; }
    bool isReady() const { return m_ready && !m_draining && !m_isStopAnnounced; }
    std::size_t inFlight() const { return m_inFlight; }

    void handle(Http::Request request, std::shared_ptr<Http::Responder> responder);
    /// The server has refused a request that it could not read; returns the request's id.
    std::string recordServerRefusal(Errors::ErrorKind kind);

    /// A request has been read, or refused before it could be; always before requestEnded.
    std::function<void(const RequestInfo &info)> requestStarted;
    /// Its answer has been given or its caller has left.
    std::function<void(const RequestInfo &info, const Exchange::ExchangeEnd &end)> requestEnded;
    std::function<void(const RequestInfo &info, const Exchange::Target &target)> attemptStarted;
    std::function<void(const RequestInfo &info, const Exchange::AttemptResult &result)>
        attemptEnded;
    /// Claims the key of a non-idempotent call; \a claimed is called once, at once or later.
    std::function<void(const ClaimRequest &claim, std::function<void(ClaimResult)> claimed)> claim;
    /// The answer of a call whose key was claimed.
    std::function<void(const RequestInfo &info, const Exchange::ServiceAnswer &answer)>
        claimAnswered;
    /// The claimed call ended without a whole answer.
    std::function<void(const RequestInfo &info, Errors::Ran ran)> claimFailed;

private:
    struct Context;
    using ContextPtr = std::shared_ptr<Context>;

    void answerHealth(const std::string &path, Http::Responder &responder);
    void handleModelCall(const ContextPtr &context);
    void handleServiceCall(const ContextPtr &context);
    void runServiceCall(const ContextPtr &context, Exchange::ServiceCall call, bool claimed);
    void claimed(const ContextPtr &context, Exchange::ServiceCall call, ClaimResult verdict);
    bool identify(const ContextPtr &context);
    void notifyStarted(const ContextPtr &context);
    bool admit(const ContextPtr &context, const Admission::Call &call);
    Exchange::Exchange::Options exchangeOptions(const ContextPtr &context);
    Exchange::Hooks hooks(const ContextPtr &context);
    Exchange::Timeouts timeouts() const;
    void refuse(const ContextPtr &context, Exchange::Refusal refusal);
    void refuse(const ContextPtr &context, Errors::Error error);
    void finished(const ContextPtr &context, const Exchange::ExchangeEnd &end);

    Options m_options;
    std::shared_ptr<const Configuration::ObjectTable> m_objects =
        std::make_shared<Configuration::ObjectTable>();
    bool m_ready = false;
    bool m_draining = false;
    bool m_isStopAnnounced = false;
    std::size_t m_inFlight = 0;
};

} // namespace Lagoonbank::Router

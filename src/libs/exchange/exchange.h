#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "errors/result.h"
#include "exchange/answers.h"
#include "http/client.h"
#include "http/server.h"
#include "retry/retrydecision.h"
#include "runtime/timerqueue.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Lagoonbank::Runtime {
class Loop;
}

namespace Lagoonbank::Exchange {

/// What a placement needs to know of a request.
struct RouteQuery
{
    Base::WorkspaceId workspace;
    Base::ModelId model; ///< Empty for a call of a service.
    Base::ServiceId service; ///< Empty for a call of a model.
    std::uint64_t chatHash =
        0; ///< Of workspace and chat; of the request id where no chat is named.
    bool hasChat = false;
    bool idempotent = true;
    std::string placementToken; ///< As the caller sent it; not yet checked.
    Base::Tokens promptTokens;
    Base::Tokens maxTokens;
    int priority = 0; ///< 0 is most urgent.
    Base::MonoTime deadline;
    std::vector<Base::EndpointId> avoid; ///< Endpoints that have failed this request.
};

/// Where a request goes.
struct Target
{
    Base::EndpointId endpoint;
    Runtime::SocketAddress address;
    Base::WorkUnits work; ///< What the request is expected to cost there.
    Base::Tokens expectedCached;
    std::string placementToken; ///< For the answer; empty if there is none.
    std::uint64_t ticket = 0; ///< The placement's own number for it; goes back with the attempt.
};

using Placement = std::variant<Target, Refusal>;
/// Drops a placement that is still waiting.
using CancelPlacement = std::function<void()>;

/// How one attempt at an endpoint ended.
struct AttemptResult
{
    Base::EndpointId endpoint;
    std::uint64_t ticket = 0; ///< Of the Target.
    Base::MonoTime started;
    Base::MonoTime ended;
    Base::WorkUnits work;
    bool succeeded = false;
    Errors::Error error; ///< Meaningful if not whole.
    std::string load; ///< The endpoint's X-Load header; empty if none came.
    Base::Tokens cachedTokens;
    Base::Tokens answerTokens; ///< Tokens that came in this attempt.
    bool resumed = false; ///< The attempt resumed the stream of the one before.
};

/// How a request ended, for the outcome ring and the accounts of admission.
struct ExchangeEnd
{
    bool succeeded = false;
    std::optional<Refusal> refusal; ///< Set if not whole.
    bool cutOff = false; ///< The caller got a part and then a clear end.
    int status = 0; ///< Of the answer to the caller; 0 if the caller had left.
    Base::EndpointId endpoint; ///< Of the last attempt; empty if there was none.
    std::vector<AttemptResult> attempts;
    Base::Tokens promptTokens;
    Base::Tokens cachedTokens;
    Base::Tokens answerTokens;
    std::optional<Base::MonoTime> firstToken;
};

/// What an exchange asks of the router. All are called on the loop.
struct Hooks
{
    /// Finds an endpoint; \a placed is called once, at once or later, unless abandoned.
    std::function<CancelPlacement(const RouteQuery &query, std::function<void(Placement)> placed)>
        place;
    std::function<void(const Target &target)> attemptStarted;
    /// Tokens of the answer have come; \a isFirst with the first ones of an attempt.
    std::function<void(const Target &target, Base::Tokens tokens, bool isFirst)> progressed;
    std::function<void(const AttemptResult &result)> attemptEnded;
    /// Decides about a further attempt and charges it to its budgets.
    std::function<Retry::RetryDecision(
        const Base::WorkspaceId &workspace, const Base::EndpointId &endpoint,
        const Retry::AttemptFailure &failure, const Retry::RequestTraits &traits)>
        decide;
    std::function<void(const Base::EndpointId &endpoint, std::string_view load)> loadReported;
    std::function<void(ExchangeEnd end)> finished; ///< Called once, last.
};

struct Timeouts
{
    Base::Duration connect = std::chrono::milliseconds(500);
    Base::Duration firstToken = std::chrono::seconds(5); ///< Besides the time for the prompt.
    Base::Duration perPromptToken = std::chrono::microseconds(500); ///< Added to firstToken.
    Base::Duration betweenTokens = std::chrono::seconds(2);
};

/// One caller's request on its way: attempts at endpoints, then one answer. One attempt runs at a
/// time.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        Http::Client *client = nullptr;
        Hooks hooks;
        Timeouts timeouts;
        Base::RequestId request;
        RouteQuery route;
        std::shared_ptr<Http::Responder> responder;
        bool resumable = false;
    };

    explicit Exchange(Options options);
    virtual ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    void start();
    const Base::RequestId &request() const { return m_options.request; }

protected:
    /// Prepares the call of an attempt at \a target.
    virtual Http::Call makeCall(const Target &target, bool resume) = 0;
    virtual void onHead(int status, const Http::Headers &headers) = 0;
    virtual void onPiece(std::string_view piece) = 0;
    /// The answer's head was 200 or the kind of call passes any status on; the call has ended.
    virtual void onCallCompleted(Http::CallResult result) = 0;
    /// Whether a part of the answer has gone to the caller, so that a status can no longer be sent.
    virtual bool hasBegun() const { return false; }
    /// Tokens of the answer that are kept or sent, so that a further attempt can go on behind them.
    virtual Base::Tokens keptTokens() const { return {}; }
    virtual void endBroken(const Refusal &refusal);
    /// Tells the endpoint that nobody waits for the running attempt any more.
    virtual void cancelUpstream(const Target & /*target*/) { }

    /// Ends the running attempt with \a error and decides what comes next.
    void failAttempt(const Errors::Error &error);
    void finishSuccess(int status);
    void noteProgress();
    void setFirstToken();
    void countAnswerTokens(std::int64_t count);
    void setCachedTokens(Base::Tokens tokens);
    const Options &options() const { return m_options; }
    const Target &target() const { return *m_target; }
    Base::MonoTime now() const;
    Http::Headers answerHeaders() const;

private:
    void place();
    void placed(Placement placement);
    void startAttempt(bool resume);
    void callFinished(Http::CallResult result);
    void endAttempt(bool succeeded, Errors::Error error);
    void stopCall();
    void watchProgress();
    Base::Duration stallTimeout() const;
    void applyDecision(const Retry::RetryDecision &decision, const Errors::Error &error);
    Retry::AttemptFailure failureOf(const Errors::Error &error) const;
    Retry::RequestTraits traits() const;
    void failRequest(Refusal refusal);
    void callerLeft();
    void deadlinePassed();
    Errors::Error lastRunError() const;
    Errors::Ran ranSoFar() const;
    void finish(ExchangeEnd end);

    Options m_options;
    bool m_finished = false;
    CancelPlacement m_cancelPlacement;
    std::optional<Target> m_target;
    std::optional<Http::CallId> m_call;
    bool m_mayHaveSent = false; ///< A byte of the running attempt may have left.
    bool m_mayHaveRun = false; ///< An attempt before may have run.
    int m_status = 0;
    std::string m_load;
    Base::MonoTime m_attemptStarted;
    Base::MonoTime m_lastProgress;
    bool m_resumed = false; ///< The running attempt resumes the stream of the one before.
    int m_runs = 0;
    int m_resumes = 0;
    std::int64_t m_attemptTokens = 0;
    std::optional<Runtime::TimerId> m_progressTimer;
    std::optional<Runtime::TimerId> m_deadlineTimer;
    std::optional<Runtime::TimerId> m_retryTimer;
    ExchangeEnd m_end;
};

} // namespace Lagoonbank::Exchange

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

/// The properties of a request that its placement depends on.
struct RouteQuery
{
    Base::WorkspaceId workspace;
    Base::ModelId model; ///< Empty for a service call.
    Base::ServiceId service; ///< Empty for a model call.
    /// Hash of workspace and chat, or of the request id if the request names no chat.
    std::uint64_t chatHash = 0;
    bool hasChat = false;
    bool idempotent = true;
    std::string placementToken; ///< As the caller sent it, not validated yet.
    Base::Tokens promptTokens;
    Base::Tokens maxTokens;
    int priority = 0; ///< 0 is the highest priority.
    Base::MonoTime deadline;
    std::vector<Base::EndpointId> avoid; ///< Endpoints at which an attempt of this request failed.
};

/// The endpoint that was chosen for a request.
struct Target
{
    Base::EndpointId endpoint;
    Runtime::SocketAddress address;
    Base::WorkUnits work; ///< Expected cost of the request at this endpoint.
    Base::Tokens expectedCached; ///< Prompt tokens expected to be in the endpoint's cache.
    std::string placementToken; ///< Returned to the caller with the answer; empty if there is none.
    std::uint64_t ticket = 0; ///< Number assigned by the placement; returned in AttemptResult.
};

using Placement = std::variant<Target, Refusal>;
/// Cancels a placement that is still pending.
using CancelPlacement = std::function<void()>;

/// The result of one attempt at an endpoint.
struct AttemptResult
{
    Base::EndpointId endpoint;
    std::uint64_t ticket = 0; ///< Target::ticket of the attempt.
    Base::MonoTime started;
    Base::MonoTime ended;
    Base::WorkUnits work;
    bool succeeded = false;
    Errors::Error error; ///< Only valid if the attempt failed.
    std::string load; ///< The endpoint's X-Load header; empty if none was received.
    Base::Tokens cachedTokens;
    Base::Tokens answerTokens; ///< Answer tokens received in this attempt.
    bool resumed = false; ///< The attempt resumed the stream of the previous attempt.
};

/// The result of a request, for the outcome ring and for admission accounting.
struct RequestResult
{
    bool succeeded = false;
    std::optional<Refusal> refusal; ///< Set if the request failed.
    bool cutOff = false; ///< Part of the answer was sent before the request failed.
    int status = 0; ///< HTTP status of the answer; 0 if the caller disconnected before it.
    Base::EndpointId endpoint; ///< Endpoint of the last attempt; empty if there was none.
    std::vector<AttemptResult> attempts;
    Base::Tokens promptTokens;
    Base::Tokens cachedTokens;
    Base::Tokens answerTokens;
    std::optional<Base::MonoTime> firstTokenAt; ///< Time of the first token, if there was one.
};

/// Callbacks from an exchange to the router. All are called on the event loop.
struct Hooks
{
    /// Chooses an endpoint. \a placed is called exactly once, possibly before this returns, unless
    /// the placement is cancelled.
    std::function<CancelPlacement(const RouteQuery &query, std::function<void(Placement)> placed)>
        place;
    std::function<void(const Target &target)> attemptStarted;
    /// Called when tokens of the answer were received. \a isFirst is set for the first tokens of an
    /// attempt.
    std::function<void(const Target &target, Base::Tokens tokens, bool isFirst)> progressed;
    std::function<void(const AttemptResult &result)> attemptEnded;
    /// Decides whether to make a further attempt and charges it to the retry budgets.
    std::function<Retry::RetryDecision(
        const Base::WorkspaceId &workspace, const Base::EndpointId &endpoint,
        const Retry::AttemptFailure &failure, const Retry::RequestTraits &traits)>
        decide;
    std::function<void(const Base::EndpointId &endpoint, std::string_view load)> loadReported;
    std::function<void(RequestResult end)> finished; ///< Called exactly once, as the last callback.
};

/// Timeouts of one attempt.
struct Timeouts
{
    Base::Duration connect = std::chrono::milliseconds(500);
    Base::Duration firstToken = std::chrono::seconds(5); ///< Without prompt processing.
    /// Added to firstToken for each prompt token that is not expected to be cached.
    Base::Duration perPromptToken = std::chrono::microseconds(500);
    Base::Duration betweenTokens = std::chrono::seconds(2);
};

/// Processes one caller's request: makes attempts at endpoints, one at a time, and then sends one
/// answer.
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
    /// Creates the HTTP call for an attempt at \a target. If \a resume is set, the call resumes the
    /// stream of the previous attempt.
    virtual Http::Call makeCall(const Target &target, bool resume) = 0;
    virtual void onHead(int status, const Http::Headers &headers) = 0;
    virtual void onPiece(std::string_view piece) = 0;
    /// Called when the call ended with a complete answer of any status, unless the endpoint marked
    /// the request as not run.
    virtual void onCallCompleted(Http::CallResult result) = 0;
    /// Whether part of the answer was sent to the caller, so that a status can no longer be sent.
    virtual bool hasBegun() const { return false; }
    /// Number of answer tokens already buffered or sent; a further attempt continues after them.
    virtual Base::Tokens keptTokens() const { return {}; }
    virtual void endBroken(const Refusal &refusal);
    /// Notifies the endpoint that the result of the running attempt is no longer needed.
    virtual void cancelUpstream(const Target & /*target*/) { }

    /// Ends the running attempt with \a error, then retries, resumes or fails the request.
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
    Errors::Ran anyAttemptRan() const;
    void finish(RequestResult end);

    Options m_options;
    bool m_finished = false;
    CancelPlacement m_cancelPlacement;
    std::optional<Target> m_target;
    std::optional<Http::CallId> m_call;
    bool m_mayHaveSent = false; ///< Bytes of the running attempt may have been sent.
    bool m_mayHaveRun = false; ///< An earlier attempt may have been executed.
    int m_status = 0;
    std::string m_loadHeader;
    Base::MonoTime m_attemptStarted;
    Base::MonoTime m_lastProgress;
    bool m_resumed = false; ///< The running attempt resumes the stream of the previous one.
    int m_runCount = 0; ///< Attempts that were not resumes.
    int m_resumeCount = 0;
    std::int64_t m_attemptTokens = 0;
    std::optional<Runtime::TimerId> m_progressTimer;
    std::optional<Runtime::TimerId> m_deadlineTimer;
    std::optional<Runtime::TimerId> m_retryTimer;
    RequestResult m_result;
};

} // namespace Lagoonbank::Exchange

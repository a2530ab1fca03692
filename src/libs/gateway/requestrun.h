#pragma once

#include "gateway/eventsplitter.h"
#include "gateway/gateway.h"
#include "gateway/requestfingerprint.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Gateway {

/// One request of a caller, from its arrival to the end of its answer.
class RequestRun : public std::enable_shared_from_this<RequestRun>
{
public:
    RequestRun(Gateway &gateway, CallerRequest request, std::shared_ptr<Http::Responder> responder);
    ~RequestRun();
    RequestRun(const RequestRun &) = delete;
    RequestRun &operator=(const RequestRun &) = delete;

    void start();
    /// What it asks for ends endpoints: leaves its own unless that has begun to answer, so that it
    /// does not begin to run there.
    void quarantined(RequestFingerprint request);
    /// Ends without a word to the caller.
    void drop();

private:
    /// The send that is under way.
    struct Attempt
    {
        EndpointPtr endpoint;
        Http::CallId call;
        Base::MonoTime startedAt;
        bool mayHaveBeenSent = false; ///< A byte may have left, so that the request may run.
        bool isPromptNew = false; ///< Its endpoint did not hold the prompt before.
        int status = 0;
        Http::Headers headers;
        HeadFacts facts;
        bool isStreaming = false; ///< Its events are passed on as they come.
        std::optional<Base::MonoTime> lastEventAt;
        std::string body; ///< Of an answer that is passed on as a whole.
    };
    /// How a send ended other than by a good answer.
    struct Failure
    {
        Errors::ErrorKind kind = Errors::ErrorKind::Internal;
        bool mayHaveReached = true; ///< The endpoint may have got it: a repeat counts as one.
        bool mayHaveRun = true; ///< It may have run.
        bool isOwnLack = false; ///< The router's own, which says nothing of the endpoint.
        /// The endpoint has closed the connection within the answer: it may have ended.
        bool isConnectionBroken = false;
        std::optional<Base::Duration> retryAfter; ///< When the caller may; else the usual time.
    };

    bool isAdmitted();
    /// Whether the caller has left, also if its close lies unread; the run has ended then.
    bool endIfCallerLeft();
    /// Whether the router can take it beside its own work; refused if not.
    bool passesBacklogControl();
    Base::Duration timeLeft() const;
    RequestFingerprint fingerprint();
    /// Whether the request is known to end the endpoints that run it; given up if so.
    bool isQuarantined();
    /// The endpoint of the send under way may have ended under the request.
    void noteBrokenConnection();
    /// The parts that the request shares with others, from the first one to all of them; empty
    /// where endpoints cache nothing.
    std::vector<PromptPrefix> sharedPrefixes() const;
    std::optional<std::uint64_t> affinity() const;
    Base::Tokens sharedTokens() const;
    /// The endpoint is reading the prompt for another request; waits until it holds it.
    bool waitForPrefill(const PlacementResult &place);
    std::optional<std::uint64_t> resumeAfter() const;
    /// Sends the request to another endpoint; one that was reached before makes it a repeat.
    void retry(const Failure &failure);
    AdmissionRequest admissionRequest() const;
    double usableShare() const;
    PlacementRequest placementRequest() const;
    /// Endpoints that are not to get it again.
    std::vector<EndpointPtr> endpointsToAvoid() const;
    /// It may not run at one more endpoint.
    bool isEndpointLimitReached() const;
    void place();
    void sendTo(const PlacementResult &place);
    /// A stream that has begun waits for an endpoint that can be reached; false if it may not.
    bool waitForReachableEndpoint();
    AdmissionQueue::QueueId queueId() const;
    QueuePriority queuePriority() const;
    /// Chooses an endpoint and sends the request there, or waits or gives up for another reason
    /// than room; false if none has room.
    bool tryPlace();
    /// No endpoint has room; waits in line a moment for it, then refuses.
    void waitInQueue(const QueuePriority &priority);
    void leaveQueue();
    void queueWaitFailed();
    Base::Duration maxQueueWait() const;
    void schedulePlacement(Base::Duration delay);
    /// Where parts of the prompt are copied from.
    struct CacheSource
    {
        EndpointPtr endpoint; ///< Null if all is read.
        bool isConfirmed = false; ///< It holds the prompt, as far as is known.
    };
    CacheSource cacheSource(const PlacementResult &place) const;
    bool exceedsConcurrencyLimit() const;
    /// At an endpoint of the service; nothing if it is not known.
    std::optional<double> usualLoad() const;
    double coldMilliseconds(const EndpointRecord &endpoint) const;
    void logSend(const PlacementResult &place, const CacheSource &source) const;
    void send(const EndpointPtr &endpoint, const CacheSource &cacheSource);
    Http::Hooks hooks();
    void headReceived(int status, const Http::Headers &headers);
    void bodyReceived(std::string_view piece);
    bool forwardEvent(const EventSplitter::Event &event);
    void callFinished(const Http::CallResult &result);
    void answerCompleted();
    void forwardAnswer();
    void attemptFailed(const Failure &failure);
    /// Of a stream that has begun: its caller has got nothing for longer than callers wait.
    bool hasCallerTimedOut() const;
    Base::MonoTime callerTimeoutAt() const;
    /// Whether the request may be sent to another endpoint now.
    bool mayRetry();
    void noteFailure(const Failure &failure);
    void fail(const Failure &failure);
    void refuse(Errors::ErrorKind kind, Errors::Ran ran,
                std::optional<Base::Duration> retryAfter = std::nullopt);
    void callerLeft();
    void deadlinePassed();
    bool monitorsSilence() const;
    Base::Duration silenceLimit(bool isBusy) const;
    void armSilenceTimer(Base::Duration limit);
    void silenceTimerExpired();
    /// Why a request whose endpoint is silent stays there; empty if it may go on elsewhere.
    std::string_view reasonToStay();
    void keepWaiting(std::string_view reason);
    void moveIfPossible();
    /// Goes on at another endpoint once that has taken a connection.
    void probeOtherEndpoint();
    void otherEndpointProbed(const PlacementResult &other, bool isReachable);
    void cancelAttempt();
    void releaseEndpoint();
    void end(std::string_view outcome, int status);
    void logEnd(std::string_view outcome, int status, Base::MonoTime now) const;

    Gateway &m_gateway;
    Runtime::TimerQueue &m_timers;
    CallerRequest m_request;
    std::shared_ptr<Http::Responder> m_responder;
    std::shared_ptr<const Fleet::Configuration> m_configuration;
    const Fleet::Route *m_route = nullptr;
    const Fleet::Workspace *m_workspace = nullptr;
    Base::ServiceId m_service;
    int m_priority = 0;
    std::vector<PromptPrefix> m_prefixes; ///< See sharedPrefixes().
    bool m_hasAwaitedPrefill = false;
    Base::MonoTime m_arrivedAt;
    Base::MonoTime m_deadline;
    std::optional<Attempt> m_attempt;
    std::optional<RequestFingerprint> m_fingerprint; ///< Once it was asked for.
    /// One endpoint more may have ended than a request may end; whether it has shows later.
    bool m_mayBeLastEnd = false;
    std::vector<EndpointPtr> m_tried;
    bool m_isBudgetedRetry = false; ///< The send under way has taken a repeat out of the budget.
    std::vector<EndpointPtr> m_mayHaveRunAt; ///< Where it may have run.
    int m_sends = 0; ///< That reached an endpoint.
    /// Requests that the last endpoint had when its answer began; -1 if it did not say so.
    int m_reportedLoad = -1;
    bool m_hasStreamBegun = false; ///< The head of a stream has been passed on.
    std::optional<std::uint64_t> m_lastEvent;
    std::int64_t m_events = 0;
    EventSplitter m_eventSplitter;
    std::optional<Runtime::TimerId> m_deadlineTimer;
    std::optional<Runtime::TimerId> m_silenceTimer;
    std::optional<Runtime::TimerId> m_placementTimer; ///< Until it looks for a place again.
    std::optional<Base::MonoTime> m_queuedAt; ///< Since its last send.
    std::optional<AdmissionQueue::Ticket> m_queueTicket; ///< While it waits in line for room.
    PlacementResult m_lastFullPlace; ///< When it looked for room last and found none.
    std::optional<PlacementResult>
        m_nextPlace; ///< Where it goes on; chosen when it is sent if there is none.
    Base::MonoTime m_lastForwardedAt; ///< When its caller got something last.
    Base::MonoTime m_silenceTimerDue;
    Base::MonoTime m_silenceDeadline;
    Base::MonoTime m_lastActivityAt; ///< Of the last send: its start or its last event.
    std::string_view m_stayReason; ///< Why it has stayed at an endpoint that fell silent.
    bool m_isEnded = false;
};

} // namespace Lagoonbank::Gateway

#pragma once

#include "gateway/answerbuffer.h"
#include "gateway/answerend.h"
#include "gateway/eventsplitter.h"
#include "gateway/gateway.h"
#include "gateway/promptparts.h"
#include "gateway/requestfingerprint.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Gateway {

/// Processes one request of a caller, from its arrival to the end of its answer.
class RequestRun : public std::enable_shared_from_this<RequestRun>
{
public:
    RequestRun(Gateway &gateway, CallerRequest request, std::shared_ptr<Http::Responder> responder);
    ~RequestRun();
    RequestRun(const RequestRun &) = delete;
    RequestRun &operator=(const RequestRun &) = delete;

    void start();
    /// Called when a request fingerprint was quarantined. If it is that of this request, the
    /// request fails before it starts to run, unless its endpoint has begun to answer.
    void quarantined(RequestFingerprint request);
    /// The same for a prompt part.
    void partQuarantined(PartHash part);
    /// Memory of the buffered answer or event.
    std::size_t answerBytes() const { return m_answerBody.bytes() + m_eventMemory.bytes(); }
    /// Fails the current attempt, whose answer takes too much memory.
    void failLargeAnswer();
    /// Ends the run without an answer to the caller.
    void drop();
    const Base::ServiceId &service() const { return m_service; }
    /// The stream that the request has begun or resumed; unset if callers cannot resume it.
    std::optional<StreamOrigin> streamOrigin() const;
    /// The version at which these streams began is certain now.
    void softwareConfirmed(SoftwareHash software, const std::vector<StreamHash> &streams);

private:
    /// Number of events with which an endpoint has outlived the begin of its answer. With the first
    /// one it may crash just after it was sent.
    static constexpr int eventsOfBegunAnswer = 2;
    /// Minimum remaining time for an attempt. No endpoint answers faster.
    static constexpr Base::Duration minAttemptTime = std::chrono::milliseconds(10);

    /// The current attempt to send the request to an endpoint.
    struct Attempt
    {
        EndpointPtr endpoint;
        Http::CallId call;
        Base::MonoTime startedAt;
        /// Version of the endpoint when the request was sent there; zero if it was not certain.
        SoftwareHash software;
        bool isRelayed = false; ///< The endpoint is a peer router.
        bool mayHaveBeenSent = false; ///< A byte may have been sent: the request may run.
        /// Size with which the request counts at the endpoint; unset if it does not count.
        std::optional<Capacity::RequestSize> size;
        bool isPromptNew = false; ///< The endpoint did not hold the prompt before.
        int status = 0;
        Http::Headers headers;
        HeadFacts facts;
        bool isStreaming = false; ///< Events are forwarded as they arrive.
        std::optional<Base::MonoTime> lastEventAt;
        int eventCount = 0; ///< Events from this endpoint.
        bool hasEventId = false; ///< An event with an id was forwarded.
        /// The last event with an id precedes the last forwarded one, so that events without an id
        /// that follow it were forwarded before.
        bool isRepeating = false;
        std::optional<Http::Framing> framing; ///< Set once the call has ended.
        bool isPaused = false; ///< The answer is not read, as the caller does not read it.
        bool isRequestWritten = false; ///< Set once the call has ended.
        bool isConnectionReused = false; ///< Set once the call has ended.
    };
    /// Describes how an attempt failed.
    struct Failure
    {
        Errors::ErrorKind kind = Errors::ErrorKind::Internal;
        bool mayHaveReached = true; ///< The endpoint may have received the request.
        bool mayHaveRun = true; ///< The request may have run.
        bool isLocalResourceShortage = false; ///< The router, not the endpoint, lacked resources.
        /// The endpoint closed the connection before the end of the answer; it may have crashed.
        bool isConnectionBroken = false;
        /// Time after which the caller may retry. If unset, the router's default is used.
        std::optional<Base::Duration> retryAfter;
    };

    bool isAdmitted();
    /// Checks whether the caller has closed its connection and the close was not read yet. If so,
    /// ends the run and returns true.
    bool endIfCallerLeft();
    /// Whether the router's own backlog admits the request. Refuses it otherwise.
    bool passesBacklogControl();
    Base::Duration timeLeft() const;
    RequestFingerprint fingerprint();
    /// Whether the request or a part of its prompt is quarantined for crashing endpoints. Fails it
    /// in that case.
    bool isQuarantined();
    std::optional<Base::Duration> quarantineTimeLeft();
    /// Whether the request waits at an endpoint for its answer to begin.
    bool isWaitingForAnswer() const;
    void failAsQuarantined();
    /// Records that the endpoint of the current attempt has outlived the begin of its answer.
    void answerBegan();
    /// Records that the endpoint of the current attempt may have crashed on the request.
    void noteBrokenConnection();
    /// The prompt prefixes that the request may share with others, shortest first. Empty if the
    /// endpoints of its route don't cache prompts.
    std::vector<PromptPrefix> sharedPrefixes() const;
    std::optional<std::uint64_t> affinity() const;
    Base::Tokens sharedTokens() const;
    /// Tokens of the prompt beyond the shared ones, and the maximum output; unset if the request
    /// does not declare its length.
    std::optional<Base::Tokens> declaredOwnTokens() const;
    /// Size of the request in KV cache memory; unset if memory does not limit requests of the
    /// service.
    std::optional<Capacity::RequestSize> memorySize() const;
    /// Identifies requests of similar length.
    std::uint64_t sizeKind() const;
    /// Whether the request needs more memory than an endpoint has. Refuses it in that case.
    bool exceedsMemory();
    std::optional<MemoryNeed> memoryNeed() const;
    /// Counts the request at the endpoint of the current attempt.
    void noteMemoryUse();
    /// Called if no endpoint takes the request. Lets it wait for memory, if that is what lacks, and
    /// reserves some if it has waited long enough. True if it was queued.
    bool awaitMemory(const PlacementResult &placement);
    /// The parts of the prompt that the request may share with others; empty without a prompt.
    std::vector<PartHash> parts() const;
    /// Waits if the endpoint is processing the same prompt for another request. False if there is
    /// nothing to wait for.
    bool waitForPrefill(const PlacementResult &placement);
    std::optional<std::uint64_t> resumeAfter() const;
    /// Retries at another endpoint. If the request was sent to an endpoint before, the retry is
    /// taken from the retry budget.
    void retry(const Failure &failure);
    bool isPromptCached() const;
    AdmissionRequest admissionRequest() const;
    double usableShare() const;
    PlacementRequest placementRequest() const;
    /// Endpoints that must not get the request again.
    std::vector<EndpointPtr> endpointsToAvoid() const;
    /// Whether the request has been at as many endpoints as its route allows.
    bool isEndpointLimitReached() const;
    void place();
    void sendTo(const PlacementResult &placement);
    /// Lets a started stream wait for a reachable endpoint. False if it must not wait.
    bool waitForReachableEndpoint();
    AdmissionQueue::QueueId queueId() const;
    QueuePriority queuePriority() const;
    /// Chooses an endpoint and sends the request there. False if the request has to wait for a free
    /// slot; true also if it failed or waits for another reason.
    bool tryPlace();
    /// Queues the request for a free slot. It fails if it gets none in time.
    void waitInQueue(const QueuePriority &priority);
    void leaveQueue();
    void queueWaitFailed();
    Base::Duration maxQueueWait() const;
    void schedulePlacement(Base::Duration delay);
    /// The endpoint from which parts of the prompt are copied.
    struct CacheSource
    {
        EndpointPtr endpoint; ///< Null if nothing is copied.
        bool isConfirmed = false; ///< Known to hold the whole shared prompt.
    };
    CacheSource cacheSource(const PlacementResult &placement) const;
    bool exceedsConcurrencyLimit() const;
    /// Average load of the endpoints of the service; unset if unknown.
    std::optional<double> averageLoad() const;
    double coldMilliseconds(const EndpointRecord &endpoint) const;
    void logSend(const PlacementResult &placement, const CacheSource &source) const;
    void send(const EndpointPtr &endpoint, const CacheSource &cacheSource);
    /// Sends the request to a peer router. False if there is no peer, or if the request must not be
    /// relayed.
    bool relayToPeer();
    /// Relays the request if the endpoints that this router reaches are full, but most are out of
    /// its reach.
    bool relayOverflow();
    void beginAttempt(const EndpointPtr &endpoint, bool isRelayed);
    void startCall(Http::Call call);
    /// The registry, health and reachability of what the current attempt is sent to.
    EndpointRegistry &registry() const;
    EndpointHealth &health() const;
    Reachability &reachability() const;
    Http::Hooks hooks();
    void headReceived(int status, const Http::Headers &headers);
    void readAnswerHead();
    /// Records whether the peer reaches the endpoints of the service.
    void readPeerReach();
    /// The version that all endpoints of the service run; zero if there are several.
    SoftwareHash onlySoftware() const;
    bool isCallerResuming() const;
    /// Identifies the stream that the request begins or resumes.
    StreamHash stream() const;
    /// Version of the process that answers the current attempt; zero if it is not certain.
    SoftwareHash answeringSoftware() const;
    void streamBegan();
    void findSoftware();
    void softwareFound(const StreamVersion &version);
    void refuseUnknownStream(bool mayBeKnownLater);
    void requestSent();
    /// Records that the current attempt did not run.
    void attemptNotRun();
    void bodyReceived(std::string_view piece);
    bool forwardEvent(const EventSplitter::Event &event);
    /// Stops reading the answer until the caller has read what is queued for it.
    void pauseAnswer();
    void callerHasRead();
    void callFinished(const Http::CallResult &result);
    /// What the answer tells about its end, after all of it was received.
    AnswerEnd receivedEnd() const;
    /// Lets the end of the answer wait until it is known whether the endpoint's process goes on.
    void verifyEnd();
    void endVerified(const ProcessState &state);
    void answerCompleted();
    void forwardAnswer();
    void attemptFailed(const Failure &failure);
    /// Whether the caller of a started stream must be assumed to have left, as it has received
    /// nothing for too long.
    bool hasCallerTimedOut() const;
    Base::MonoTime callerTimeoutAt() const;
    bool isConnectionRefused(const Failure &failure) const;
    bool areAttemptsUsed() const;
    /// Whether the request may be sent to another endpoint now.
    bool mayRetry();
    void noteFailure(const Failure &failure);
    void fail(const Failure &failure);
    void refuse(Errors::ErrorKind kind, Errors::Ran ran,
                std::optional<Base::Duration> retryAfter = std::nullopt);
    /// What a refusal tells the peer that relayed the request; unset if none did.
    std::optional<RelayRefusal> relayRefusal(Errors::ErrorKind kind) const;
    void callerLeft();
    void deadlinePassed();
    bool monitorsSilence() const;
    Base::Duration silenceLimit(bool isBusy) const;
    void armSilenceTimer(Base::Duration limit);
    void silenceTimerExpired();
    /// Why a request stays at its silent endpoint; empty if it can be moved to another one.
    std::string_view reasonToStay();
    void keepWaiting(std::string_view reason);
    void moveIfPossible();
    /// Moves the request to another endpoint once that one has accepted a connection.
    void probeOtherEndpoint();
    void otherEndpointProbed(const PlacementResult &other, bool isReachable);
    void cancelAttempt();
    /// Frees what is buffered of an answer.
    void discardAnswer();
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
    const std::uint64_t m_requestHash; ///< Hash of the request's id.
    std::vector<PromptPrefix> m_prefixes; ///< See sharedPrefixes().
    bool m_hasAwaitedPrefill = false;
    std::optional<Capacity::RequestSize> m_size; ///< See memorySize().
    bool m_awaitsMemory = false; ///< The last placement found a free slot, but no memory.
    Base::MonoTime m_arrivedAt;
    Base::MonoTime m_deadline;
    std::optional<Attempt> m_attempt;
    std::optional<RequestFingerprint> m_fingerprint; ///< Computed on first use.
    /// Whether the request will be quarantined if the endpoint whose connection broke has crashed.
    /// As that is known only later, the request is not retried.
    bool m_mayCauseQuarantine = false;
    std::optional<PartHash> m_quarantinedPart; ///< The part that the request failed for.
    std::vector<EndpointPtr> m_triedEndpoints; ///< One entry per attempt.
    bool m_isBudgetedRetry = false; ///< The current attempt was taken from the retry budget.
    std::vector<EndpointPtr> m_mayHaveRunAt; ///< Endpoints where the request may have run.
    std::size_t m_refusedConnectionCount = 0; ///< Endpoints that refused a connection at once.
    std::size_t m_cutOffPeerCount = 0; ///< Peers that refused it as they reach no endpoint.
    /// A peer may have run the request, at as many endpoints as the route allows.
    bool m_mayHaveRunAtPeer = false;
    int m_sendCount = 0; ///< Attempts in which the request was sent.
    /// Number of requests that the last endpoint reported with its answer; -1 if it reported none.
    int m_reportedLoad = -1;
    bool m_hasStreamBegun = false; ///< The head of a stream was forwarded.
    /// The version that began the stream, at which alone it may go on; zero if it is not certain.
    /// Unset before its first event.
    std::optional<SoftwareHash> m_software;
    std::optional<std::uint64_t> m_lastEventId; ///< Id of the last forwarded event.
    /// The last forwarded event, other than a comment, had no id. Another endpoint can't be told to
    /// go on after it.
    bool m_isLastEventWithoutId = false;
    bool m_hasIdGaps = false; ///< Ids of forwarded events are not consecutive.
    std::int64_t m_eventCount = 0; ///< Number of forwarded events.
    AnswerBuffer m_answerBody; ///< Of an answer that is not a stream.
    AnswerMemoryShare m_eventMemory; ///< Of m_eventSplitter.
    std::size_t m_incompleteEventBytes = 0; ///< Left of an event when the last attempt failed.
    EventSplitter m_eventSplitter;
    std::optional<Runtime::TimerId> m_deadlineTimer;
    std::optional<Runtime::TimerId> m_silenceTimer;
    std::optional<Runtime::TimerId> m_placementTimer; ///< Starts a scheduled placement.
    /// When the request was first queued since the last attempt; unset if it was not.
    std::optional<Base::MonoTime> m_queuedAt;
    std::optional<AdmissionQueue::Ticket> m_queueTicket; ///< Set while the request is queued.
    PlacementResult m_lastFullPlacement; ///< Result of the last placement without a free slot.
    std::optional<PlacementResult> m_nextPlacement; ///< Placement of the next retry, if chosen.
    Base::MonoTime m_lastForwardedAt; ///< When the caller was last sent something.
    Base::MonoTime m_silenceTimerDue; ///< When the silence timer expires.
    Base::MonoTime m_silenceDeadline; ///< Silence limit; may be later than the timer.
    Base::MonoTime m_lastActivityAt; ///< Start or last event of the last attempt.
    std::string_view m_stayReason; ///< Why the request stayed at a silent endpoint; for the log.
    bool m_isEnded = false;
};

} // namespace Lagoonbank::Gateway

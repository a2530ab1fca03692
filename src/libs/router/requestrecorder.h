#pragma once

#include "platformclient/batchappender.h"
#include "router/callerapi.h"
#include "router/routermetrics.h"
#include "runtime/clock.h"
#include "timeline/eventlog.h"
#include "timeline/outcomering.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <string>

namespace Lagoonbank::Router {

/// Name of the platform log's stream with the outcomes of non-idempotent calls.
inline constexpr const char *outcomesStream = "outcomes";

/// Records the outcome of each request in the ring buffer of outcomes, the event log and the
/// metrics; outcomes of non-idempotent calls are also appended to the platform's log.
class RequestRecorder
{
public:
    struct Options
    {
        const Runtime::Clock *clock = nullptr;
        RouterMetrics *metrics = nullptr;
        Timeline::EventLog *events = nullptr;
        PlatformClient::BatchAppender *outcomes = nullptr; ///< Null without a platform.
        std::size_t ringSize = 65536;
    };

    explicit RequestRecorder(const Options &options);

    void started(const RequestInfo &info);
    void attemptStarted(const RequestInfo &info, const Exchange::Target &target);
    void attemptEnded(const RequestInfo &info, const Exchange::AttemptResult &result);
    void ended(const RequestInfo &info, const Exchange::RequestResult &end);

    const Timeline::OutcomeRing &ring() const { return m_ring; }

private:
    void record(Timeline::EventType type, const RequestInfo &info, const Base::EndpointId &endpoint,
                std::string detail);
    void countRefusal(Errors::ErrorKind kind);
    void countOutcome(Timeline::OutcomeKind kind);
    void appendOutcome(const RequestInfo &info);
    static Timeline::OutcomeEnd toOutcomeEnd(const Exchange::RequestResult &end);

    Options m_options;
    Timeline::OutcomeRing m_ring;
    std::map<Errors::ErrorKind, Metrics::Counter> m_refusals;
    std::map<Timeline::OutcomeKind, Metrics::Counter> m_outcomes;
};

} // namespace Lagoonbank::Router

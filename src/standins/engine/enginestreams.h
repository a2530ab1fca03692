#pragma once

#include "runtime/timerqueue.h"
#include "standins/engine/enginemodel.h"
#include "standins/support/answers.h"
#include "standins/support/faults.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Lagoonbank::Standins {

/// Streams the tokens of runs to the requests that wait for them, with the faults of each request.
class EngineStreams
{
public:
    struct Options
    {
        EngineModel *model = nullptr;
        Runtime::TimerQueue *timers = nullptr;
        std::function<LoadFigures()> load;
    };
    struct Stream
    {
        RunNumber run;
        ResponderPtr responder;
        Base::RequestId reportedId; ///< Request id in the answer.
        Base::RequestId contentId; ///< Request whose tokens are sent.
        std::int64_t from = 0; ///< Index of the first token to send.
        RequestFaults faults;
    };

    explicit EngineStreams(Options options);

    void open(const Stream &stream);
    /// Sends the tokens that the run has produced since the last call.
    void progress(RunNumber run);
    void holdUnanswered(ResponderPtr responder) { m_unanswered.add(std::move(responder)); }
    void abortUnanswered() { m_unanswered.abortAll(); }
    bool isEmpty() const { return m_streams.empty() && m_delayedAnswers == 0; }

private:
    struct OpenStream : Stream
    {
        std::string tokenHash;
        std::int64_t nextToken = 0;
    };
    using OpenStreamPtr = std::shared_ptr<OpenStream>;

    void begin(const OpenStreamPtr &stream);
    /// Sends the tokens that are available; returns whether the stream stays open.
    bool pump(OpenStream &stream);
    /// Breaks the connection once the run has ended; returns whether the stream stays open.
    bool abortAfterRun(OpenStream &stream, const RunProgress &run);
    void writeTokens(OpenStream &stream, std::int64_t end);
    void stopAtFault(OpenStream &stream, const Fault &fault);
    void finish(OpenStream &stream, const RunProgress &run);
    void crashUnlessKept(const OpenStream &stream, const Fault &fault);
    std::string lastEvent(const OpenStream &stream, const RunProgress &run) const;

    Options m_options;
    absl::flat_hash_map<RunNumber, std::vector<OpenStreamPtr>> m_streams;
    UnansweredRequests m_unanswered;
    std::size_t m_delayedAnswers = 0;
};

} // namespace Lagoonbank::Standins

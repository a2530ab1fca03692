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

/// Sends the tokens of runs to the exchanges that wait for them, with the faults of each.
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
        Base::RequestId shownId; ///< Whose id the answer carries.
        Base::RequestId contentId; ///< Whose tokens the answer carries.
        std::int64_t from = 0;
        RequestFaults faults;
    };

    explicit EngineStreams(Options options);

    void open(const Stream &stream);
    /// Sends what the run has produced since the last time.
    void progress(RunNumber run);
    void holdSilent(ResponderPtr responder) { m_silent.add(std::move(responder)); }
    void abortSilent() { m_silent.abortAll(); }
    bool isEmpty() const { return m_streams.empty() && m_heldBack == 0; }

private:
    struct Open : Stream
    {
        std::string tokenHash;
        std::int64_t next = 0;
    };
    using OpenPtr = std::shared_ptr<Open>;

    void begin(const OpenPtr &stream);
    /// Whether the stream goes on.
    bool pump(Open &stream);
    bool finishUnanswered(Open &stream, const RunView &run);
    void writeTokens(Open &stream, std::int64_t end);
    void stopAtLimit(Open &stream, const Fault &fault);
    void finish(Open &stream, const RunView &run);
    void leaveRun(const Open &stream, const Fault &fault);
    std::string lastEvent(const Open &stream, const RunView &run) const;

    Options m_options;
    absl::flat_hash_map<RunNumber, std::vector<OpenPtr>> m_streams;
    SilentExchanges m_silent;
    std::size_t m_heldBack = 0;
};

} // namespace Lagoonbank::Standins

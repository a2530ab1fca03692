#pragma once

#include "base/units.h"
#include "runtime/clock.h"

#include <cstddef>
#include <functional>

namespace Lagoonbank::Runtime {

/// Measures the lag of an event loop, the duration of its iterations and the processor time that
/// its thread gets. Fed by the loop around each poll; costs three clock readings per iteration and
/// one system call per second.
class LoopLag
{
public:
    struct Options
    {
        const Clock *clock = nullptr;
        /// Processor time used by this thread; read from the system if null.
        std::function<Base::Duration()> processorTime;
        /// How long the current poll waited before events were ready.
        std::function<Base::Duration()> pollWait;
        /// The loop counts as lagging from this lag on. A VM with a CPU quota may pause for most of
        /// 100 ms, which is no backlog; callers with urgent requests wait for 300 ms.
        Base::Duration startThreshold = std::chrono::milliseconds(200);
        /// The loop has caught up once its lag has stayed below this threshold for endDelay. The
        /// delay limits the log to one line of each kind per second.
        Base::Duration endThreshold = std::chrono::milliseconds(50);
        Base::Duration endDelay = std::chrono::seconds(1);
    };
    /// Totals over a period.
    struct Statistics
    {
        Base::Duration elapsed{};
        Base::Duration busyTime{}; ///< Time in which the loop had work to do.
        Base::Duration processorTime{}; ///< Processor time used by the thread.
        Base::Duration longestIteration{};
        Base::Duration maxLag{};
        std::size_t iterations = 0;

        /// Processor time as a share of the busy time; 1 if the loop was idle.
        double processorShare() const;
    };

    explicit LoopLag(Options options);

    /// Upper bound of the age of the oldest event or deferred work that the loop is handling.
    Base::Duration current() const;
    /// Upper bound of the age of the events of the current or last poll. They arrived after the
    /// previous poll returned; if this poll had to wait, they arrived at the end of its wait.
    Base::Duration maxPolledEventAge() const;
    bool isLagging() const { return m_isLagging; }

    /// Called at the end of each iteration with its duration, without the wait of the poll.
    std::function<void(Base::Duration duration)> iterationFinished;
    /// Called about once a second with the statistics since the previous call.
    std::function<void(const Statistics &statistics)> sampled;
    /// Called when the loop starts lagging, with the statistics of at most the last second.
    std::function<void(const Statistics &statistics)> lagStarted;
    /// Called when the loop has caught up, with the statistics since it started lagging.
    std::function<void(const Statistics &statistics)> lagEnded;

    /// Records that work deferred by an earlier iteration starts now, \a age after it arrived.
    void noteDeferredWork(Base::Duration age);

    // Called by the loop only.
    void beginPoll(bool mayWait);
    void endPoll(Base::Duration waited);
    void endIteration();

private:
    Base::MonoTime earliestEventTime(Base::MonoTime waitEnd, bool hasWaited) const;
    void sample(Base::MonoTime now);
    void updateLagState(Base::MonoTime now, Base::Duration lag);

    Options m_options;
    Base::MonoTime m_pollStart; ///< Start of the current or last poll.
    Base::MonoTime m_waitEnd; ///< When the last finished poll ended its wait.
    Base::MonoTime m_previousWaitEnd; ///< The same for the poll before that.
    bool m_isPolling = false;
    bool m_mayWait = false;
    bool m_hasWaited = false;
    Base::Duration m_busyTime{}; ///< Time of the current iteration without its waits.
    Base::Duration m_maxEventAge{}; ///< Maximum over the polls of the current iteration.
    Base::Duration m_maxDeferredAge{}; ///< Deferred work of the current iteration.
    Base::Duration m_previousMaxDeferredAge{}; ///< Deferred work of the previous iteration.
    Statistics m_sample; ///< Since the last sample.
    Statistics m_sinceLagStart;
    Base::MonoTime m_lastSampleTime;
    Base::Duration m_processorTimeAtLastSample{};
    bool m_isLagging = false;
    Base::MonoTime m_lastOverEndThreshold; ///< Last time at which the lag reached endThreshold.
};

} // namespace Lagoonbank::Runtime

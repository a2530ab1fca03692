#pragma once

#include "base/units.h"
#include "runtime/timerqueue.h"

#include <functional>

namespace Lagoonbank::Runtime {

/// The planned stop of a server process, in three steps. It announces the stop but still serves new
/// requests, so that balancers that have not noticed yet lose none; then it stops accepting
/// requests; then it waits for those in flight.
class GracefulStop
{
public:
    struct Options
    {
        TimerQueue *timers = nullptr;
        /// For how long new requests are still served after the announcement.
        Base::Duration noticeTime{};
        /// Longest time from the announcement to the end of the process.
        Base::Duration timeout{};
        std::function<void()>
            announce; ///< Makes the process not ready; connections close after an answer.
        std::function<void()> stopAccepting;
        std::function<bool()> isIdle; ///< Whether no request is in flight.
        std::function<void()> stopped;
    };

    explicit GracefulStop(Options options)
        : m_options(std::move(options))
    { }
    ~GracefulStop();
    GracefulStop(const GracefulStop &) = delete;
    GracefulStop &operator=(const GracefulStop &) = delete;

    /// Does nothing if the stop has already begun.
    void begin();
    bool hasBegun() const { return m_hasBegun; }

private:
    void noticeEnded();
    void check();

    Options m_options;
    bool m_hasBegun = false;
    Base::MonoTime m_deadline;
    TimerId m_timer;
};

} // namespace Lagoonbank::Runtime

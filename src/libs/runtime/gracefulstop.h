#pragma once

#include "base/units.h"
#include "runtime/timerqueue.h"

#include <functional>

namespace Lagoonbank::Runtime {

/// The planned stop of a server process: first it only says that it leaves and goes on serving, so
/// that a balancer that does not know yet loses nothing; then it takes nothing new; then it waits
/// for what is in flight.
class GracefulStop
{
public:
    struct Options
    {
        TimerQueue *timers = nullptr;
        /// How long new requests are still served after the stop was announced.
        Base::Duration noticeTime{};
        /// When the process ends at the latest, counted from the announcement.
        Base::Duration longest{};
        std::function<void()> announce; ///< Not ready any more; connections end with an answer.
        std::function<void()> takeNothingNew;
        std::function<bool()> isIdle; ///< Nothing is in flight.
        std::function<void()> stopped;
    };

    explicit GracefulStop(Options options)
        : m_options(std::move(options))
    { }
    ~GracefulStop();
    GracefulStop(const GracefulStop &) = delete;
    GracefulStop &operator=(const GracefulStop &) = delete;

    /// Begins the stop; does nothing when it has begun.
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

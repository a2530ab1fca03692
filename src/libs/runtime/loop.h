#pragma once

#include "base/units.h"
#include "runtime/clock.h"
#include "runtime/looplag.h"
#include "runtime/timerqueue.h"

#include <functional>
#include <memory>

struct st_h2o_evloop_t;

namespace Lagoonbank::Runtime {

/// The event loop of a process, on one thread: sockets (through h2o's event loop), timers and
/// signals.
class Loop
{
public:
    struct Options
    {
        /// Clock of the timers; the system clock if null. With a ManualClock timers only fire when
        /// it is advanced.
        const Clock *clock = nullptr;
    };

    Loop();
    explicit Loop(const Options &options);
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    const Clock &clock() const;
    TimerQueue &timers();
    LoopLag &lag();

    /// Runs until stop().
    void run();
    void stop();
    /// Runs one iteration: waits for sockets, for \a maxWait at most or until a timer is due, then
    /// runs the timers that were due when the sockets were last polled.
    void runOnce(Base::Duration maxWait);
    /// Calls \a callback from the loop after the current callback has returned.
    void post(std::function<void()> callback);
    /// Calls \a callback on the loop when the process receives \a signal (SIGTERM, SIGINT, SIGHUP).
    void onSignal(int signal, std::function<void()> callback);
    /// Calls \a callback whenever \a fd is readable, until unwatch(). The caller keeps ownership of
    /// \a fd.
    void watchReadable(int fd, std::function<void()> callback);
    void unwatch(int fd);

    /// h2o's event loop; only for the libraries runtime and http.
    st_h2o_evloop_t *native();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Lagoonbank::Runtime

#pragma once

#include "base/units.h"
#include "runtime/clock.h"
#include "runtime/looplag.h"
#include "runtime/timerqueue.h"

#include <functional>
#include <memory>

struct st_h2o_evloop_t;

namespace Lagoonbank::Runtime {

/// The one loop of a process, on one thread: sockets (h2o's event loop), timers and signals.
class Loop
{
public:
    struct Options
    {
        /// Clock of the timers; the machine's if null. With a ManualClock timers fire only when it
        /// is advanced.
        const Clock *clock = nullptr;
    };

    Loop();
    explicit Loop(const Options &options);
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    const Clock &clock() const;
    TimerQueue &timers();
    /// How far behind its work this loop is.
    LoopLag &lag();

    /// Runs until stop().
    void run();
    void stop();
    /// One turn: waits for sockets at most \a maxWait, less if a timer is due, then runs the timers
    /// that were due when it looked at the sockets last.
    void runOnce(Base::Duration maxWait);
    /// Calls \a callback in a later turn of the loop.
    void post(std::function<void()> callback);
    /// Calls \a callback on the loop when the process gets \a signal (SIGTERM, SIGINT, SIGHUP).
    void onSignal(int signal, std::function<void()> callback);
    /// Calls \a callback whenever \a fd is readable, until unwatch. The loop owns neither.
    void watchReadable(int fd, std::function<void()> callback);
    void unwatch(int fd);

    /// For the libraries runtime and http alone.
    st_h2o_evloop_t *native();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Lagoonbank::Runtime

#include "runtime/loop.h"

#include <absl/container/flat_hash_map.h>
#include <h2o.h>

#include <sys/signalfd.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <optional>
#include <utility>
#include <vector>

namespace Lagoonbank::Runtime {

namespace {

constexpr Base::Duration maxPollWait = std::chrono::minutes(1);
/// Smaller than any jump with an effect, larger than the error of reading two clocks in a row.
constexpr Base::Duration wallJumpTolerance = std::chrono::milliseconds(20);
/// Iterations of the destructor that let sockets finish closing.
constexpr int closingIterations = 32;

struct Watch
{
    h2o_socket_t *socket = nullptr;
    std::function<void()> callback;
};

std::int32_t waitMilliseconds(Base::Duration wait)
{
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    return static_cast<std::int32_t>(std::max<std::int64_t>(rounded, 0));
}

/// Difference between the wall clock and the monotonic clock.
Base::Duration wallClockOffset()
{
    timeval wall{};
    gettimeofday(&wall, nullptr);
    const Base::Duration sinceEpoch =
        std::chrono::seconds(wall.tv_sec) + std::chrono::microseconds(wall.tv_usec);
    return sinceEpoch - std::chrono::steady_clock::now().time_since_epoch();
}

} // namespace

class Loop::Private
{
public:
    explicit Private(const Clock *customClock)
        : clock(customClock ? *customClock : systemClock)
        , timers(clock)
        , lag({.clock = &clock, .pollWait = [this] { return currentPollWait(); }})
        , native(h2o_evloop_create())
        , lastWallClockOffset(wallClockOffset())
    {
        h2o_timeout_init(native, &callbackTimeouts, 0);
        callbackTimeout.entry.cb = [](h2o_timeout_entry_t *entry) {
            H2O_STRUCT_FROM_MEMBER(CallbackTimeout, entry, entry)->loop->runCallbacks();
        };
        callbackTimeout.loop = this;
    }

    /// A timeout of the native event loop that runs posted callbacks and timers.
    struct CallbackTimeout
    {
        h2o_timeout_entry_t entry{};
        Private *loop = nullptr;
    };

    void compensateWallClockJump();
    void poll(std::int32_t maxWaitMs);
    Base::Duration currentPollWait() const;
    void readSignals();
    void runPosted();
    void runCallbacks();
    void runCallbacksInPoll();

    SystemClock systemClock;
    const Clock &clock;
    TimerQueue timers;
    LoopLag lag;
    h2o_evloop_t *native;
    h2o_timeout_t callbackTimeouts{};
    CallbackTimeout callbackTimeout;
    Base::Duration lastWallClockOffset;
    Base::MonoTime lastPollTime; ///< Start of the last poll of an iteration.
    std::chrono::steady_clock::time_point pollStart; ///< System time even with a ManualClock.
    bool stopped = false;
    std::vector<std::function<void()>> posted;
    absl::flat_hash_map<int, std::shared_ptr<Watch>> watches;
    absl::flat_hash_map<int, std::function<void()>> signals;
    sigset_t signalSet{};
    int signalFd = -1;
};

/// The short timeouts of h2o's event loop use the wall clock. When that clock jumps, they are
/// shifted by as much, so that none fires early or late.
void Loop::Private::compensateWallClockJump()
{
    const Base::Duration offset = wallClockOffset();
    const Base::Duration jump = offset - lastWallClockOffset;
    lastWallClockOffset = offset;
    if (std::chrono::abs(jump) < wallJumpTolerance)
        return;
    const auto shift = static_cast<std::uint64_t>(Base::toMilliseconds(jump));
    native->_now += shift;
    for (h2o_linklist_t *node = native->_timeouts.next; node != &native->_timeouts;
         node = node->next) {
        auto *timeout = H2O_STRUCT_FROM_MEMBER(h2o_timeout_t, _link, node);
        for (h2o_linklist_t *link = timeout->_entries.next; link != &timeout->_entries;
             link = link->next) {
            auto *entry = H2O_STRUCT_FROM_MEMBER(h2o_timeout_entry_t, _link, link);
            entry->registered_at += shift;
        }
    }
}

/// Polls the sockets once and runs their callbacks. The wait is the total time without the time of
/// the callbacks, which h2o measures: it fills one slot of its counter per poll that had events.
void Loop::Private::poll(std::int32_t maxWaitMs)
{
    lag.beginPoll(maxWaitMs > 0);
    pollStart = std::chrono::steady_clock::now();
    const h2o_sliding_counter_t &counter = native->exec_time_counter;
    const std::size_t slot = counter.prev.index;
    h2o_evloop_run(native, maxWaitMs);
    if (maxWaitMs <= 0) {
        lag.endPoll({});
        return;
    }
    const Base::Duration took = std::chrono::steady_clock::now() - pollStart;
    const bool hadEvents = counter.prev.index != slot;
    const Base::Duration callbackTime =
        std::chrono::milliseconds(hadEvents ? counter.prev.slots[slot] : 0);
    lag.endPoll(std::max(took - callbackTime, Base::Duration::zero()));
}

/// Time from the start of the current poll until its wait ended, when h2o's event loop updated its
/// own time.
Base::Duration Loop::Private::currentPollWait() const
{
    timeval wall{};
    gettimeofday(&wall, nullptr);
    const Base::Duration sinceEpoch =
        std::chrono::seconds(wall.tv_sec) + std::chrono::microseconds(wall.tv_usec);
    const Base::Duration sinceReturn =
        sinceEpoch - std::chrono::milliseconds(static_cast<std::int64_t>(native->_now));
    const Base::Duration took = std::chrono::steady_clock::now() - pollStart;
    return std::clamp(took - sinceReturn, Base::Duration::zero(), took);
}

void Loop::Private::readSignals()
{
    signalfd_siginfo info{};
    while (read(signalFd, &info, sizeof info) == static_cast<ssize_t>(sizeof info)) {
        const auto found = signals.find(static_cast<int>(info.ssi_signo));
        if (found == signals.end())
            continue;
        const auto callback = found->second;
        callback();
    }
}

void Loop::Private::runPosted()
{
    std::vector<std::function<void()>> callbacks;
    callbacks.swap(posted);
    for (const auto &callback : callbacks)
        callback();
}

void Loop::Private::runCallbacks()
{
    runPosted();
    // Only runs timers that were due when the last poll began, so that data which arrived before a
    // timer was due is read first. A slow callback, such as reading a large configuration (0.1 to
    // 0.4 s on a small VM), then causes no timeouts for answers that are waiting to be read. This
    // holds for the 256 sockets of one poll.
    timers.runDue(lastPollTime);
}

/// Runs posted callbacks and due timers from a callback of h2o's event loop, which reports
/// completed writes before it returns. A socket written to from outside would still count as
/// writing at the next wait, and h2o aborts if its event is not among the 256 events of that wait.
void Loop::Private::runCallbacksInPoll()
{
    const std::optional<Base::MonoTime> due = timers.nextDue();
    lastPollTime = clock.now();
    if (posted.empty() && (!due || *due > lastPollTime))
        return;
    h2o_timeout_link(native, &callbackTimeouts, &callbackTimeout.entry);
    poll(0);
    if (!h2o_timeout_is_linked(&callbackTimeout.entry))
        return;
    // The timeout did not fire because the wall clock, which h2o uses, was just set back.
    h2o_timeout_unlink(&callbackTimeout.entry);
    runCallbacks();
}

Loop::Loop()
    : Loop(Options{})
{ }

Loop::Loop(const Options &options)
    : d(std::make_unique<Private>(options.clock))
{
    std::signal(SIGPIPE, SIG_IGN);
}

Loop::~Loop()
{
    if (d->signalFd >= 0) {
        unwatch(d->signalFd);
        close(d->signalFd);
        sigprocmask(SIG_UNBLOCK, &d->signalSet, nullptr);
    }
    while (!d->watches.empty())
        unwatch(d->watches.begin()->first);
    for (int i = 0; i < closingIterations; ++i) {
        d->runPosted();
        h2o_evloop_run(d->native, 0);
    }
    h2o_timeout_dispose(d->native, &d->callbackTimeouts);
    // The native loop must outlive timeouts that others still own.
    if (h2o_linklist_is_empty(&d->native->_timeouts))
        h2o_evloop_destroy(d->native);
}

const Clock &Loop::clock() const
{
    return d->clock;
}

TimerQueue &Loop::timers()
{
    return d->timers;
}

LoopLag &Loop::lag()
{
    return d->lag;
}

void Loop::run()
{
    d->stopped = false;
    while (!d->stopped)
        runOnce(maxPollWait);
}

void Loop::stop()
{
    d->stopped = true;
}

void Loop::runOnce(Base::Duration maxWait)
{
    Base::Duration wait = std::min(maxWait, maxPollWait);
    if (!d->posted.empty())
        wait = Base::Duration::zero();
    if (const auto due = d->timers.nextDue())
        wait = std::min(wait, *due - d->clock.now());
    d->compensateWallClockJump();
    d->poll(waitMilliseconds(wait));
    d->runCallbacksInPoll();
    d->lag.endIteration();
}

void Loop::post(std::function<void()> callback)
{
    d->posted.push_back(std::move(callback));
}

void Loop::onSignal(int signal, std::function<void()> callback)
{
    if (d->signalFd < 0)
        sigemptyset(&d->signalSet);
    sigaddset(&d->signalSet, signal);
    sigprocmask(SIG_BLOCK, &d->signalSet, nullptr);
    const bool isFirst = d->signalFd < 0;
    d->signalFd = signalfd(d->signalFd, &d->signalSet, SFD_NONBLOCK | SFD_CLOEXEC);
    d->signals[signal] = std::move(callback);
    if (isFirst)
        watchReadable(d->signalFd, [this] { d->readSignals(); });
}

void Loop::watchReadable(int fd, std::function<void()> callback)
{
    unwatch(fd);
    auto watch = std::make_shared<Watch>();
    watch->callback = std::move(callback);
    watch->socket = h2o_evloop_socket_create(d->native, fd, H2O_SOCKET_FLAG_DONT_READ);
    watch->socket->data = watch.get();
    d->watches[fd] = watch;
    h2o_socket_read_start(watch->socket, [](h2o_socket_t *socket, const char *) {
        const auto function = static_cast<Watch *>(socket->data)->callback;
        function();
    });
}

void Loop::unwatch(int fd)
{
    const auto found = d->watches.find(fd);
    if (found == d->watches.end())
        return;
    h2o_socket_t *socket = found->second->socket;
    d->watches.erase(found);
    h2o_socket_read_stop(socket);
    // Exporting frees the socket but keeps the descriptor open.
    h2o_socket_export_t exported{};
    if (h2o_socket_export(socket, &exported) == 0)
        h2o_buffer_dispose(&exported.input);
}

st_h2o_evloop_t *Loop::native()
{
    return d->native;
}

} // namespace Lagoonbank::Runtime

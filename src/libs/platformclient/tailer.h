#pragma once

#include "platformclient/backoff.h"
#include "platformclient/logclient.h"
#include "platformclient/recentids.h"
#include "runtime/timerqueue.h"

#include <functional>
#include <optional>
#include <string>

namespace Lagoonbank::PlatformClient {

/// Whether the log answers, and when that last changed.
struct LogHealth
{
    bool isUp = false;
    Base::MonoTime since;
};

/// Follows one stream: delivers each record once and in order, reconnects after failures and
/// reports records that were removed by retention before they were read.
class Tailer
{
public:
    struct Options
    {
        LogClient *log = nullptr;
        Runtime::TimerQueue *timers = nullptr;
        std::string stream;
        Base::LogOffset from;
        std::size_t pageRecords = 500;
        Base::Duration wait = std::chrono::seconds(2); ///< Duration of a long poll.
        std::size_t recentIdCapacity = 8192; ///< Window for detecting repeated ids.
        Backoff::Options backoff;
    };

    explicit Tailer(const Options &options);
    ~Tailer();
    Tailer(const Tailer &) = delete;
    Tailer &operator=(const Tailer &) = delete;

    // The callbacks may call stop() but must not destroy the tailer.
    void setRecordReceived(std::function<void(const StoredRecord &)> callback);
    /// Called when the records from \a from up to, but not including, \a first are gone.
    void setGapFound(std::function<void(Base::LogOffset from, Base::LogOffset first)> callback);
    void setHealthChanged(std::function<void(const LogHealth &)> callback);
    /// Called when the end of the stream is reached for the first time or again after falling
    /// behind.
    void setCaughtUp(std::function<void()> callback);

    void start();
    void stop();

    Base::LogOffset position() const { return m_position; }
    const LogHealth &health() const { return m_health; }
    bool isCaughtUp() const { return m_isCaughtUp; }
    /// Time since a read last reached the end of the stream; nullopt before the first time.
    std::optional<Base::Duration> lag() const;

private:
    void poll();
    void pollLater(Base::Duration delay);
    void pageRead(const Errors::Result<ReadPage> &page);
    void deliver(const ReadPage &page);
    void updateHealth(bool isUp);
    void updateCaughtUp(bool isAtEnd);

    Options m_options;
    Backoff m_backoff;
    RecentIds m_ids;
    Base::LogOffset m_position;
    LogHealth m_health;
    bool m_isRunning = false;
    bool m_isCaughtUp = false;
    bool m_hasHealth = false;
    std::optional<Base::MonoTime> m_lastEndReached;
    LogClient::ReadId m_read;
    Runtime::TimerId m_timer;
    std::function<void(const StoredRecord &)> m_recordReceived;
    std::function<void(Base::LogOffset, Base::LogOffset)> m_gapFound;
    std::function<void(const LogHealth &)> m_healthChanged;
    std::function<void()> m_caughtUp;
};

} // namespace Lagoonbank::PlatformClient

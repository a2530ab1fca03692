#pragma once

#include "platformclient/backoff.h"
#include "platformclient/logclient.h"
#include "platformclient/recentids.h"
#include "runtime/timerqueue.h"

#include <functional>
#include <optional>
#include <string>

namespace Lagoonbank::PlatformClient {

/// Whether the log answers, and since when it has been so.
struct LogHealth
{
    bool isUp = false;
    Base::MonoTime since;
};

/// Follows one stream: gives each record once and in order, reconnects after failures and tells
/// of records that were lost by retention.
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
        Base::Duration wait = std::chrono::seconds(2); ///< Of one long poll.
        std::size_t recentIdCapacity = 8192; ///< Within which a repeated id is found out.
        Backoff::Options backoff;
    };

    explicit Tailer(const Options &options);
    ~Tailer();
    Tailer(const Tailer &) = delete;
    Tailer &operator=(const Tailer &) = delete;

    // The hooks may call stop() but not destroy the tailer.
    void setRecordReceived(std::function<void(const StoredRecord &)> hook);
    /// Records from \a from to before \a first are gone.
    void setGapFound(std::function<void(Base::LogOffset from, Base::LogOffset first)> hook);
    void setHealthChanged(std::function<void(const LogHealth &)> hook);
    /// The end of the stream was reached for the first time or after falling behind.
    void setCaughtUp(std::function<void()> hook);

    void start();
    void stop();

    Base::LogOffset position() const { return m_position; }
    const LogHealth &health() const { return m_health; }
    bool isCaughtUp() const { return m_isCaughtUp; }
    /// How old the last look at the end of the stream is; nothing before the first.
    std::optional<Base::Duration> lag() const;

private:
    void poll();
    void pollLater(Base::Duration delay);
    void pageRead(const Errors::Result<ReadPage> &page);
    void deliver(const ReadPage &page);
    void setUp(bool isUp);
    void updateCaughtUp(bool isAtEnd);

    Options m_options;
    Backoff m_backoff;
    RecentIds m_ids;
    Base::LogOffset m_position;
    LogHealth m_health;
    bool m_isRunning = false;
    bool m_isCaughtUp = false;
    bool m_hasHealth = false;
    std::optional<Base::MonoTime> m_lastAtEnd;
    LogClient::ReadId m_read;
    Runtime::TimerId m_timer;
    std::function<void(const StoredRecord &)> m_recordReceived;
    std::function<void(Base::LogOffset, Base::LogOffset)> m_gapFound;
    std::function<void(const LogHealth &)> m_healthChanged;
    std::function<void()> m_caughtUp;
};

} // namespace Lagoonbank::PlatformClient

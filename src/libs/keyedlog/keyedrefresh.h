#pragma once

#include "base/logoffset.h"
#include "keyedlog/keyedsource.h"
#include "runtime/timerqueue.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::KeyedLog {

/// Reads on demand what a log holds, for decisions that an earlier read cannot support: between two
/// reads, and while the log does not answer, other readers may know more. Lists the newest record
/// of each key at first, and only reads what was appended since as long as that is recent.
///
/// Records that drop their key are not reported.
class KeyedRefresh
{
public:
    /// \a isCurrent tells whether all records have been reported that the log held at the time of
    /// the call of refresh().
    using Refreshed = std::function<void(bool isCurrent)>;

    struct Options
    {
        KeyedSource source;
        Runtime::TimerQueue *timers = nullptr;
        /// Minimum time between the starts of two reads; calls in between share one read. Some
        /// hundred streams are resumed at the same moment when a router ends.
        Base::Duration minInterval = std::chrono::milliseconds(50);
        /// Maximum age of the last read after which the tail is read in place of a listing; zero
        /// to list always. The tail is longer than a listing if keys are written often.
        Base::Duration maxTailAge = std::chrono::seconds(10);
    };

    explicit KeyedRefresh(Options options);
    ~KeyedRefresh();
    KeyedRefresh(const KeyedRefresh &) = delete;
    KeyedRefresh &operator=(const KeyedRefresh &) = delete;

    std::function<void(const KeyedRecord &record)> recordRead;

    /// Reads the log with a call that begins after this one. \a refreshed is called once, later
    /// than this function returns, unless this object is destroyed first. A failed read is not
    /// repeated.
    void refresh(Refreshed refreshed);
    /// Whether the last read has failed.
    bool isFailing() const { return m_isFailing; }

private:
    Base::MonoTime now() const { return m_options.timers->clock().now(); }
    /// Starts the next read as soon as the interval allows.
    void scheduleRead();
    void startRead();
    void startListing();
    void readNewest();
    void readTail();
    void newestRead(const Errors::Result<NewestPage> &page);
    void tailRead(const Errors::Result<TailPage> &page);
    void report(const std::vector<KeyedRecord> &records);
    void readEnded(bool isCurrent);

    Options m_options;
    std::vector<Refreshed> m_waiting; ///< Calls that the next read answers.
    std::vector<Refreshed> m_current; ///< Calls that the read in progress answers.
    bool m_isReading = false;
    bool m_isFailing = false;
    std::optional<Base::MonoTime> m_startedAt; ///< Start of the last read.
    std::optional<Base::MonoTime> m_readAt; ///< Start of the last successful read.
    Base::LogOffset m_position; ///< Offset of the next record to read.
    std::string m_lastKey; ///< Last key of the previous page of a listing.
    std::optional<Base::LogOffset> m_listingEnd; ///< End of the log at the first page.
    std::optional<Runtime::TimerId> m_timer;
    std::shared_ptr<bool> m_isAlive; ///< Lets callbacks detect that this object was destroyed.
};

} // namespace Lagoonbank::KeyedLog

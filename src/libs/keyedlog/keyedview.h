#pragma once

#include "keyedlog/keyedsource.h"
#include "platformclient/backoff.h"
#include "runtime/timerqueue.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::KeyedLog {

/// Keeps up with the newest value of each key of a log: fills itself from the newest records, then
/// follows the tail, and fills itself again when records were lost. A key never goes back to an
/// older record, however late or stale an answer is.
class KeyedView
{
public:
    struct Options
    {
        KeyedSource source;
        Runtime::TimerQueue *timers = nullptr;
        /// Time from one read of the tail to the next; zero to read again at once.
        Base::Duration interval{};
        /// How long a read of the tail waits for news.
        Base::Duration wait{};
        /// Of several records of one key that one read brings only the newest is told. For values
        /// that take long to read: a small VM takes 0.2 s for a configuration of 4,200 routes. Not
        /// where what came between tells something, as that an endpoint leaves before it is gone.
        bool reportsNewestOnly = false;
        PlatformClient::Backoff::Options backoff; ///< While the log does not answer.
        /// An answer that comes so long after the one before is told as the log's return, as nobody
        /// knows whether it was there meanwhile: a process that stood still has seen no read fail.
        /// The keys are then listed anew.
        Base::Duration maxAnswerGap = std::chrono::seconds(2);
    };

    using Keys = absl::flat_hash_set<std::string>;

    explicit KeyedView(Options options);
    ~KeyedView();
    KeyedView(const KeyedView &) = delete;
    KeyedView &operator=(const KeyedView &) = delete;

    void start();
    void stop();
    /// Gives up a read under way, whose connection may have gone silent, and reads again.
    void restart();
    /// Like start(), where all up to the record \a known has been learnt by other means, with
    /// \a keys among it: follows the tail, and fills itself only if that has lost records.
    void startAfter(Base::LogOffset known, const Keys &keys = {});

    /// Whether every key has been read once.
    bool isFilled() const { return m_isFilled; }
    /// Whether keys are being listed; what is told meanwhile is a part of them.
    bool isFilling() const { return m_isFilling; }
    /// Whether the last read was answered.
    bool isUp() const { return m_isUp; }
    /// How old the newest answer is; nothing before the first.
    std::optional<Base::Duration> age() const;
    Base::LogOffset position() const { return m_position; }

    /// A key has this value now.
    std::function<void(const KeyedRecord &record)> valueChanged;
    std::function<void(const std::string &key, Base::LogOffset offset)> keyDropped;
    /// All keys have been read, for the first time or again: these are there. Keys of records
    /// before \a end that are not among them have been dropped.
    std::function<void(const Keys &keys, Base::LogOffset end)> filled;
    /// All that the log held when a read was answered has been told. Of a log of several pages that
    /// is after the last one.
    std::function<void()> caughtUp;
    /// Also told when it was up before, if that is long ago.
    std::function<void(bool isUp)> healthChanged;

private:
    void fill();
    void pageRead(const Errors::Result<NewestPage> &page);
    void fillEnded();
    void follow();
    void tailRead(const Errors::Result<TailPage> &page);
    void applyTail(const std::vector<KeyedRecord> &records);
    void apply(const KeyedRecord &record);
    bool isAnswerOverdue() const;
    void readSucceeded();
    void readFailed(void (KeyedView::*again)());
    void schedule(Base::Duration delay, void (KeyedView::*step)());

    Options m_options;
    PlatformClient::Backoff m_backoff;
    bool m_isRunning = false;
    bool m_isFilled = false;
    bool m_isFilling = true;
    bool m_isUp = false;
    bool m_hasHealth = false;
    std::optional<Base::MonoTime> m_answeredAt;
    Base::LogOffset m_position; ///< Of the next record to read from the tail.
    absl::flat_hash_map<std::string, Base::LogOffset> m_offsets; ///< Of the value of each key.
    // While it fills itself.
    std::string m_after;
    std::optional<Base::LogOffset> m_fillEnd; ///< End of the log at the first page.
    Keys m_seen;
    std::optional<ReadId> m_read;
    Runtime::TimerId m_timer;
};

} // namespace Lagoonbank::KeyedLog

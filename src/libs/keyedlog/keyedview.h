#pragma once

#include "keyedlog/keyedsource.h"
#include "platformclient/backoff.h"
#include "runtime/timerqueue.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::KeyedLog {

/// Why the keys of a log are listed.
enum class ListingCause : std::uint8_t {
    Started,
    RecordsMissing, ///< The next record is no longer retained.
    AnswerOverdue, ///< The log may have been unavailable unnoticed.
    LogRestored ///< The log has been restored from an older copy.
};
std::string_view toString(ListingCause cause);

/// Tracks the newest value of each key of a log. A view is first filled from a listing of the
/// newest records, then follows the tail, and is filled again if it has missed records or the log
/// has been restored from an older copy. A key is never reverted to a record with a lower offset,
/// however late or stale an answer is. The records of a restored log have higher offsets although
/// their values may be older, which the owner of the view has to detect from the values.
class KeyedView
{
public:
    struct Options
    {
        KeyedSource source;
        Runtime::TimerQueue *timers = nullptr;
        /// Delay between two reads of the tail; zero to read again at once.
        Base::Duration interval{};
        /// Maximum time for which a read of the tail waits for new records.
        Base::Duration wait{};
        /// Whether only the newest record is reported if one read returns several records of a key.
        /// To be set for values that are expensive to decode: a small VM takes 0.2 s for a
        /// configuration of 4,200 routes. Not to be set if intermediate values matter, as for
        /// endpoints, whose entries say that they are draining just before they are dropped.
        bool reportsNewestOnly = false;
        PlatformClient::Backoff::Options backoff; ///< Delay between reads after a failed read.
        /// Maximum time between two answers. After a longer gap the next answer is reported as a
        /// recovery of the log and the keys are listed again: a process that was suspended has seen
        /// no read fail, so it cannot know whether the log was available in the meantime.
        Base::Duration maxAnswerGap = std::chrono::seconds(2);
    };

    using Keys = absl::flat_hash_set<std::string>;

    explicit KeyedView(Options options);
    ~KeyedView();
    KeyedView(const KeyedView &) = delete;
    KeyedView &operator=(const KeyedView &) = delete;

    void start();
    void stop();
    /// Cancels the current read, whose connection may no longer respond, and reads again.
    void restart();
    /// Notifies the view that the log is in this era. A pending read of the tail in an earlier era
    /// is repeated, as it may wait for a record at a position that the log reaches much later.
    void setEra(Base::LogEra era);
    /// Like start(), for a caller that has obtained all records up to \a known by other means;
    /// \a keys are the keys present in them. Follows the tail at once, and lists the keys only if
    /// records after \a known are no longer retained.
    void startAfter(Base::LogOffset known, const Keys &keys = {});

    /// Whether all keys have been read at least once.
    bool isFilled() const { return m_isFilled; }
    /// Whether the keys are being listed. Values reported meanwhile are an incomplete set.
    bool isListing() const { return m_isListing; }
    /// Whether the last read succeeded.
    bool isUp() const { return m_isLogAvailable; }
    /// The time since the last answer; not set before the first one.
    std::optional<Base::Duration> age() const;
    Base::LogOffset position() const { return m_position; }

    /// Called when the keys are listed from the beginning, unless that repeats a failed read.
    std::function<void(ListingCause cause)> listingStarted;
    /// Called for a record that is older than the known one of its key.
    std::function<void(const KeyedRecord &record, Base::LogOffset known)> outdatedRecordIgnored;
    /// Called when a key has a new value.
    std::function<void(const KeyedRecord &record)> valueChanged;
    std::function<void(const std::string &key, Base::LogOffset offset)> keyDropped;
    /// Called when a listing is complete, also for repeated ones. \a keys are all keys present;
    /// keys with records before \a end that are not among them have been dropped.
    std::function<void(const Keys &keys, Base::LogOffset end)> listingCompleted;
    /// Called when everything that the log held at the time of an answer has been reported; for a
    /// listing, after its last page.
    std::function<void()> caughtUp;
    /// Called when the log becomes available or unavailable, and also when it is available after a
    /// gap longer than `maxAnswerGap`.
    std::function<void(bool isUp)> healthChanged;

private:
    void startListing(ListingCause cause);
    void readListing();
    void pageRead(const Errors::Result<NewestPage> &page);
    void listingEnded();
    void follow();
    void tailRead(const Errors::Result<TailPage> &page);
    std::optional<ListingCause> causeToList(const TailPage &page) const;
    void applyTail(const std::vector<KeyedRecord> &records);
    void apply(const KeyedRecord &record);
    bool isAnswerOverdue() const;
    void readSucceeded();
    void readFailed(void (KeyedView::*retry)());
    void schedule(Base::Duration delay, void (KeyedView::*step)());

    Options m_options;
    PlatformClient::Backoff m_backoff;
    bool m_isRunning = false;
    bool m_isFilled = false;
    bool m_isListing = true;
    bool m_isLogAvailable = false;
    bool m_hasReportedHealth = false; ///< Whether healthChanged() was called since start().
    std::optional<Base::MonoTime> m_answeredAt;
    Base::LogOffset m_position; ///< Offset of the next record to read from the tail.
    absl::flat_hash_map<std::string, Base::LogOffset> m_offsets; ///< Newest record of each key.
    // State of the current listing.
    std::string m_lastListedKey; ///< Last key of the previous page.
    std::optional<Base::LogOffset> m_listingEnd; ///< End of the log at the first page.
    Keys m_listedKeys; ///< Keys in the pages of the listing so far.
    std::optional<ReadId> m_read;
    Runtime::TimerId m_timer;
};

} // namespace Lagoonbank::KeyedLog

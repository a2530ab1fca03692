#pragma once

#include "keyedlog/keyedlisting.h"
#include "keyedlog/pendingwrites.h"
#include "schema/generated/fleetsync.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lagoonbank::FleetSync {

/// Stores in a keyed log which software versions serve or have served within the last minute, so
/// that they are known after all routers have ended at the same time. Without it, a stream would go
/// on at another version than the one that began it, if the endpoints of the latter have left
/// meanwhile. Each key names a service and a version. A version that is found in the log but has no
/// endpoints counts as removed when it is read.
class SoftwareLog
{
public:
    /// Time within which endpoints and routers write again what is missing in the log after it has
    /// been restored from an older copy.
    static constexpr Base::Duration rewriteTime = std::chrono::milliseconds(2500);

    struct Options
    {
        KeyedLog::KeyedSource source;
        KeyedLog::KeyedWrite write;
        Runtime::TimerQueue *timers = nullptr;
        /// Whether this router writes. In large fleets a few routers write for all.
        std::function<bool()> isWriter;
        PlatformClient::Backoff::Options backoff; ///< Delay between two attempts.
    };

    explicit SoftwareLog(Options options);
    ~SoftwareLog();
    SoftwareLog(const SoftwareLog &) = delete;
    SoftwareLog &operator=(const SoftwareLog &) = delete;

    /// Called for each version that is read from the log.
    std::function<void(const Schema::SharedSoftware &use)> received;
    /// Called for each record that cannot be read.
    KeyedLog::UnreadableRecord unreadable;
    /// Called when the log has been read for the first time.
    std::function<void()> readCompleted;
    /// Called after readCompleted() when all versions that the log should hold are known.
    std::function<void()> historyRead;

    void read();
    /// The log may have been restored from an older copy. What is missing there is written again.
    void logRestored();
    /// Updates the log to the versions that serve or have served within the last minute. To be
    /// called again and again, as some writes wait for others.
    void update(const std::vector<Schema::SharedSoftware> &uses);
    /// Decodes a record of the log; empty if it does not name a version. Calls \a unreadable, which
    /// may be null, if the record names neither a version nor the era.
    static std::optional<Schema::SharedSoftware>
    readRecord(const KeyedLog::KeyedRecord &record, const KeyedLog::UnreadableRecord &unreadable);
    bool isRead() const { return m_isRead; }
    bool isFailing() const { return m_listing.isFailing(); }

private:
    void recordListed(const KeyedLog::KeyedRecord &record);
    void listingCompleted(Base::LogOffset end);

    Options m_options;
    KeyedLog::KeyedListing m_listing;
    KeyedLog::PendingWrites m_writes;
    std::set<std::string> m_storedKeys; ///< Keys that the log has or is about to have.
    std::set<std::string> m_listedKeys; ///< Keys in the listing in progress.
    /// Era of the log in which its keys were written; unset if it has none.
    std::optional<std::uint64_t> m_storedEra;
    std::uint64_t m_era = 0; ///< Era of the last listing.
    /// Time from which all versions are known to some router and have been written in m_era.
    Base::MonoTime m_eraDueAt{};
    bool m_isRead = false;
    bool m_isListing = false;
    Runtime::TimerId m_historyTimer;
};

} // namespace Lagoonbank::FleetSync

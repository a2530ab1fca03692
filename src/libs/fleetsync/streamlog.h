#pragma once

#include "keyedlog/keyedlisting.h"
#include "keyedlog/keyedrefresh.h"
#include "keyedlog/pendingwrites.h"
#include "schema/generated/fleetsync.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lagoonbank::FleetSync {

/// Stores in a keyed log which software version began each stream, so that callers can resume
/// streams after all routers have ended at the same time. Streams are written in batches. The key
/// of a batch is its writer and one of a fixed number of slots, so that the log keeps the streams
/// of the last seconds and does not grow. A batch is written again whenever streams are added to
/// it, so that short intervals between writes need no further keys.
class StreamLog
{
public:
    struct Options
    {
        KeyedLog::KeyedSource source;
        KeyedLog::KeyedWrite write;
        Runtime::TimerQueue *timers = nullptr;
        std::string writer; ///< Id of this router.
        /// Number of groups into which streams are divided.
        std::function<std::uint32_t()> shardCount;
        /// Whether this router reads the streams of all shards.
        std::function<bool()> readsAll;
        /// Whether this router writes the streams of a shard.
        std::function<bool(std::uint32_t shard)> isWriter;
        /// Whether this router is the one that writes the streams of a shard at short intervals.
        std::function<bool(std::uint32_t shard)> isFirstWriter;
        /// Returns the shard of a stream if this router is one of its writers.
        std::function<std::optional<std::uint32_t>(std::uint64_t stream)> shardToWrite;
        /// Minimum time between two writes of a shard by its first writer. Streams that begin
        /// within this time before all routers end may be lost.
        Base::Duration firstWriterInterval = std::chrono::milliseconds(40);
        /// The same by the other writers, whose writes count only if the first writer fails.
        Base::Duration writeInterval = std::chrono::milliseconds(200);
        /// Time for which streams are added to the same batch.
        Base::Duration batchDuration = std::chrono::milliseconds(200);
        /// Number of batches that the log keeps for each writer: streams of 19 s.
        std::uint32_t slots = 96;
        /// Number of keys for all writers. Two writers may share one, and then lose batches.
        std::uint32_t writerKeys = 64;
        PlatformClient::Backoff::Options backoff; ///< Delay between two attempts.
    };

    explicit StreamLog(Options options);
    ~StreamLog();
    StreamLog(const StreamLog &) = delete;
    StreamLog &operator=(const StreamLog &) = delete;

    /// Called for each stream that is read from the log.
    std::function<void(const Schema::SharedStream &stream)> received;
    /// Called for each record that cannot be read.
    KeyedLog::UnreadableRecord unreadable;

    /// Called when the streams have been read.
    std::function<void()> readCompleted;

    /// Reads the streams of all shards, or of those that this router writes; peers are asked for
    /// the others then.
    void read();
    bool isRead() const { return m_isReadStarted && m_unread.empty(); }
    bool isFailing() const { return m_listing.isFailing(); }
    /// Writes a stream if this router is one of its writers.
    void add(const Schema::SharedStream &stream);
    /// Whether refresh() can read all of the log, which is too large in a large fleet.
    bool readsAll() const { return m_options.readsAll(); }
    /// Reads what was written to the log. To be called only if readsAll().
    /// \a refreshed is called as by KeyedLog::KeyedRefresh::refresh().
    void refresh(const KeyedLog::KeyedRefresh::Refreshed &refreshed)
    {
        m_refresh.refresh(refreshed);
    }
    bool isRefreshFailing() const { return m_refresh.isFailing(); }

private:
    struct Batch
    {
        std::vector<Schema::SharedStream> streams;
        std::optional<Base::MonoTime> begunAt; ///< Time of the first write of this batch.
        std::optional<Base::MonoTime> writtenAt; ///< Time of the latest write of the shard.
        std::optional<Runtime::TimerId> timer;
        std::uint32_t slot = 0; ///< Slot of this batch.
        Base::LogOffset listedOffset; ///< Highest offset of this router's batches in the listing.
    };

    void readNextShard();
    void recordListed(const KeyedLog::KeyedRecord &record);
    void batchRead(const KeyedLog::KeyedRecord &record);
    /// Continues after the slot that this router wrote last, if \a record is one of its batches.
    void continueAfter(const KeyedLog::KeyedRecord &record);
    void beginNext(Batch &batch) const;
    Base::Duration writeInterval(std::uint32_t shard) const;
    void write(std::uint32_t shard);
    std::string ownPrefix(std::uint32_t shard) const;

    Options m_options;
    KeyedLog::KeyedListing m_listing;
    KeyedLog::KeyedRefresh m_refresh;
    KeyedLog::PendingWrites m_writes;
    std::map<std::uint32_t, Batch> m_batches; ///< By shard.
    std::set<std::uint32_t> m_unread; ///< Shards that are to be read.
    bool m_isReadStarted = false;
};

} // namespace Lagoonbank::FleetSync

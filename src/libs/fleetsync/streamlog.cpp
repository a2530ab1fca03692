#include "fleetsync/streamlog.h"

#include "routing/rendezvous.h"
#include "schema/messagecodec.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace Lagoonbank::FleetSync {

namespace {

/// Maximum number of streams in a batch; the limit of the message. A full batch is written at once.
constexpr std::size_t maxBatchStreams = 4096;

std::string shardPrefix(std::uint32_t shard)
{
    return absl::StrCat(absl::Hex(shard, absl::kZeroPad4), "-");
}

} // namespace

StreamLog::StreamLog(Options options)
    : m_options(std::move(options))
    , m_listing(
          {.source = m_options.source, .timers = m_options.timers, .backoff = m_options.backoff})
    , m_refresh({.source = m_options.source, .timers = m_options.timers})
    , m_writes({.write = m_options.write, .timers = m_options.timers, .backoff = m_options.backoff})
{
    m_listing.listed = [this](const KeyedLog::KeyedRecord &record) { recordListed(record); };
    m_listing.completed = [this](Base::LogOffset) {
        m_unread.erase(m_unread.begin());
        readNextShard();
    };
    m_refresh.recordRead = [this](const KeyedLog::KeyedRecord &record) { batchRead(record); };
}

StreamLog::~StreamLog()
{
    for (const auto &[shard, batch] : m_batches) {
        if (batch.timer)
            m_options.timers->cancel(*batch.timer);
    }
}

void StreamLog::read()
{
    m_isReadStarted = true;
    m_unread.clear();
    const std::uint32_t shards = m_options.shardCount();
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
        if (m_options.readsAll() || m_options.isWriter(shard))
            m_unread.insert(shard);
    }
    readNextShard();
}

void StreamLog::readNextShard()
{
    if (!m_unread.empty())
        m_listing.start(shardPrefix(*m_unread.begin()));
    else if (readCompleted)
        readCompleted();
}

void StreamLog::recordListed(const KeyedLog::KeyedRecord &record)
{
    continueAfter(record);
    batchRead(record);
}

void StreamLog::batchRead(const KeyedLog::KeyedRecord &record)
{
    const auto batch =
        Schema::decodeMessage<Schema::StreamBatch>(record.value.value_or(std::string()));
    if (!batch) {
        // A batch of another version of the message is as good as missing.
        if (unreadable)
            unreadable(record, batch.error().detail);
        return;
    }
    if (!received)
        return;
    for (const Schema::SharedStream &stream : batch.value().streams)
        received(stream);
}

void StreamLog::add(const Schema::SharedStream &stream)
{
    const std::optional<std::uint32_t> shard = m_options.shardToWrite(stream.stream);
    if (!shard)
        return;
    Batch &batch = m_batches[*shard];
    const Base::MonoTime now = m_options.timers->clock().now();
    const bool isOver = batch.begunAt && now - *batch.begunAt >= m_options.batchDuration;
    const bool isFull = batch.streams.size() >= maxBatchStreams;
    if (isFull && batch.timer) {
        m_options.timers->cancel(*batch.timer);
        write(*shard);
    }
    if (!batch.timer && (isFull || isOver))
        beginNext(batch);
    batch.streams.push_back(stream);
    if (batch.timer)
        return;
    // The first batch is written at the end of the current iteration of the event loop.
    const Base::Duration delay = batch.writtenAt
        ? std::max(Base::Duration::zero(), *batch.writtenAt + writeInterval(*shard) - now)
        : Base::Duration::zero();
    batch.timer = m_options.timers->start(delay, [this, shard = *shard] { write(shard); });
}

void StreamLog::beginNext(Batch &batch) const
{
    batch.streams.clear();
    batch.begunAt.reset();
    batch.slot = (batch.slot + 1) % m_options.slots;
}

Base::Duration StreamLog::writeInterval(std::uint32_t shard) const
{
    return m_options.isFirstWriter(shard) ? m_options.firstWriterInterval : m_options.writeInterval;
}

void StreamLog::write(std::uint32_t shard)
{
    Batch &batch = m_batches[shard];
    const Base::MonoTime now = m_options.timers->clock().now();
    batch.timer.reset();
    batch.writtenAt = now;
    if (!batch.begunAt)
        batch.begunAt = now;
    const auto body = Schema::encodeMessage(Schema::StreamBatch{.streams = batch.streams});
    if (body)
        m_writes.write(absl::StrCat(ownPrefix(shard), batch.slot), body.value());
}

void StreamLog::continueAfter(const KeyedLog::KeyedRecord &record)
{
    const std::uint32_t shard = *m_unread.begin();
    const std::string prefix = ownPrefix(shard);
    Batch &batch = m_batches[shard];
    std::uint32_t slot = 0;
    const bool isLatest = record.key.starts_with(prefix) && record.offset >= batch.listedOffset
        && absl::SimpleAtoi(record.key.substr(prefix.size()), &slot);
    if (!isLatest)
        return;
    batch.listedOffset = record.offset;
    batch.slot = (slot + 1) % m_options.slots;
}

std::string StreamLog::ownPrefix(std::uint32_t shard) const
{
    const std::uint64_t writer = Routing::stableHash(m_options.writer) % m_options.writerKeys;
    return absl::StrCat(shardPrefix(shard), absl::Hex(writer, absl::kZeroPad2), "-");
}

} // namespace Lagoonbank::FleetSync

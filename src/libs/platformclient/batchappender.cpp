#include "platformclient/batchappender.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Lagoonbank::PlatformClient {

namespace {

/// Factor by which the interval shrinks with each batch that is not refused.
constexpr double intervalDecay = 0.9;

std::size_t sizeOf(const Record &record)
{
    return record.id.size() + record.data.size();
}

} // namespace

BatchAppender::BatchAppender(const Options &options)
    : m_options(options)
    , m_backoff(options.backoff)
    , m_interval(options.interval)
{ }

BatchAppender::~BatchAppender()
{
    m_options.timers->cancel(m_batchTimer);
    m_options.timers->cancel(m_deadlineTimer);
}

bool BatchAppender::add(Record record, Appended appended)
{
    const std::size_t size = sizeOf(record);
    if (m_queue.size() >= m_options.maxQueuedRecords
        || m_queuedBytes + size > m_options.maxQueuedBytes)
        return false;
    m_queuedBytes += size;
    m_queue.push_back({.record = std::move(record),
                       .deadline = m_options.timers->clock().now() + m_options.deadline,
                       .appended = std::move(appended)});
    if (m_queue.size() == 1)
        restartDeadlineTimer();
    schedule(untilNextBatch());
    return true;
}

void BatchAppender::schedule(Base::Duration delay)
{
    if (m_isSending || m_isScheduled || m_queue.empty())
        return;
    m_isScheduled = true;
    m_batchTimer = m_options.timers->start(delay, [this] {
        m_isScheduled = false;
        sendBatch();
    });
}

Base::Duration BatchAppender::untilNextBatch() const
{
    return std::max(m_nextBatchTime - m_options.timers->clock().now(), Base::Duration::zero());
}

void BatchAppender::sendBatch()
{
    expireRecords();
    // The callback of an expired record may have added a record and so have scheduled a batch.
    if (m_queue.empty() || m_isSending)
        return;
    m_isSending = true;
    m_nextBatchTime = m_options.timers->clock().now() + m_interval;
    std::vector<Entry> batch = takeBatch();
    std::vector<Record> records;
    records.reserve(batch.size());
    for (const Entry &entry : batch)
        records.push_back(entry.record);
    m_options.log->append(m_options.stream, records,
                          [this, alive = std::weak_ptr(m_alive),
                           batch = std::move(batch)](const AppendResult &result) mutable {
                              if (!alive.expired())
                                  batchEnded(std::move(batch), result);
                          });
}

std::vector<BatchAppender::Entry> BatchAppender::takeBatch()
{
    std::vector<Entry> batch;
    std::size_t bytes = 0;
    while (!m_queue.empty() && batch.size() < m_options.maxBatchRecords) {
        const std::size_t size = sizeOf(m_queue.front().record);
        if (!batch.empty() && bytes + size > m_options.maxBatchBytes)
            break;
        bytes += size;
        batch.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    m_queuedBytes -= bytes;
    restartDeadlineTimer();
    return batch;
}

void BatchAppender::batchEnded(std::vector<Entry> batch, const AppendResult &result)
{
    m_isSending = false;
    // The log refuses either all records of an append or none.
    const bool refused = result.outcomes.front().state == AppendState::NotAppended;
    adjustInterval(result, refused);
    if (refused) {
        requeue(std::move(batch));
        expireRecords();
        return schedule(untilNextBatch());
    }
    schedule(untilNextBatch());
    for (std::size_t i = 0; i < batch.size(); ++i)
        batch[i].appended(result.outcomes[i]);
}

void BatchAppender::requeue(std::vector<Entry> entries)
{
    for (const Entry &entry : entries)
        m_queuedBytes += sizeOf(entry.record);
    m_queue.insert(m_queue.begin(), std::make_move_iterator(entries.begin()),
                   std::make_move_iterator(entries.end()));
    restartDeadlineTimer();
}

void BatchAppender::adjustInterval(const AppendResult &result, bool refused)
{
    const Base::MonoTime now = m_options.timers->clock().now();
    if (!refused) {
        m_backoff.reset();
        const auto shrunk = std::chrono::duration_cast<Base::Duration>(m_interval * intervalDecay);
        m_interval = std::max(shrunk, m_options.interval);
        return;
    }
    const Base::Duration delay = m_backoff.next();
    if (result.wasRateLimited)
        m_interval = std::min(m_interval * 2, m_options.maxInterval);
    m_nextBatchTime = std::max(m_nextBatchTime, now + std::max(delay, m_interval / 2));
}

void BatchAppender::expireRecords()
{
    const Base::MonoTime now = m_options.timers->clock().now();
    std::vector<Appended> expired;
    while (!m_queue.empty() && m_queue.front().deadline <= now) {
        m_queuedBytes -= sizeOf(m_queue.front().record);
        expired.push_back(std::move(m_queue.front().appended));
        m_queue.pop_front();
    }
    restartDeadlineTimer();
    for (const Appended &appended : expired)
        appended({.state = AppendState::NotAppended});
}

void BatchAppender::restartDeadlineTimer()
{
    m_options.timers->cancel(m_deadlineTimer);
    if (m_queue.empty())
        return;
    const Base::Duration left = m_queue.front().deadline - m_options.timers->clock().now();
    m_deadlineTimer = m_options.timers->start(left, [this] { expireRecords(); });
}

} // namespace Lagoonbank::PlatformClient

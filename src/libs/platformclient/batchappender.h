#pragma once

#include "platformclient/backoff.h"
#include "platformclient/logclient.h"
#include "runtime/timerqueue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Lagoonbank::PlatformClient {

/// Queues the records of one stream and appends them in order, in batches, one at a time. Increases
/// the interval between batches while the log refuses them because of its rate limit.
class BatchAppender
{
public:
    struct Options
    {
        LogClient *log = nullptr;
        Runtime::TimerQueue *timers = nullptr;
        std::string stream;
        Base::Duration interval = std::chrono::milliseconds(20); ///< Shortest time between batches.
        Base::Duration maxInterval = std::chrono::seconds(2); ///< Maximum when rate limited.
        Base::Duration deadline = std::chrono::seconds(3); ///< For sending a record.
        std::size_t maxBatchRecords = 500;
        std::size_t maxBatchBytes = 256 * 1024;
        std::size_t maxQueuedRecords = 20'000;
        std::size_t maxQueuedBytes = 8 * 1024 * 1024;
        Backoff::Options backoff; ///< Delays while the log refuses batches or cannot be reached.
    };
    using Appended = std::function<void(AppendOutcome)>;

    explicit BatchAppender(const Options &options);
    ~BatchAppender();
    BatchAppender(const BatchAppender &) = delete;
    BatchAppender &operator=(const BatchAppender &) = delete;

    /// Queues \a record. Returns false, without calling \a appended, if the queue is full.
    /// Otherwise \a appended is called once, later, with NotAppended if no attempt succeeded by the
    /// deadline.
    bool add(Record record, Appended appended);

    std::size_t queued() const { return m_queue.size(); }
    /// Current minimum time between batches.
    Base::Duration interval() const { return m_interval; }

private:
    struct Entry
    {
        Record record;
        Base::MonoTime deadline;
        Appended appended;
    };

    void schedule(Base::Duration delay);
    void sendBatch();
    std::vector<Entry> takeBatch();
    void batchEnded(std::vector<Entry> batch, const AppendResult &result);
    void requeue(std::vector<Entry> entries);
    void adjustInterval(const AppendResult &result, bool refused);
    void expireRecords();
    void restartDeadlineTimer();
    Base::Duration untilNextBatch() const;

    Options m_options;
    Backoff m_backoff;
    Base::Duration m_interval;
    std::deque<Entry> m_queue;
    std::size_t m_queuedBytes = 0;
    bool m_isSending = false;
    bool m_isScheduled = false;
    Base::MonoTime m_nextBatchTime;
    Runtime::TimerId m_batchTimer;
    Runtime::TimerId m_deadlineTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< For pending callbacks.
};

} // namespace Lagoonbank::PlatformClient

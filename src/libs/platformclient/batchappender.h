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

/// Collects the records of one stream and appends them in batches, one batch at a time and in
/// order. Slows down where the log says that its rate is spent.
class BatchAppender
{
public:
    struct Options
    {
        LogClient *log = nullptr;
        Runtime::TimerQueue *timers = nullptr;
        std::string stream;
        Base::Duration interval = std::chrono::milliseconds(20); ///< Between batches at least.
        Base::Duration maxInterval = std::chrono::seconds(2); ///< While the rate is spent.
        Base::Duration deadline = std::chrono::seconds(3); ///< For a record to be sent.
        std::size_t batchRecords = 500;
        std::size_t batchBytes = 256 * 1024;
        std::size_t queuedRecords = 20'000;
        std::size_t queuedBytes = 8 * 1024 * 1024;
        Backoff::Options backoff; ///< While the log cannot be reached.
    };
    using Appended = std::function<void(AppendOutcome)>;

    explicit BatchAppender(const Options &options);
    ~BatchAppender();
    BatchAppender(const BatchAppender &) = delete;
    BatchAppender &operator=(const BatchAppender &) = delete;

    /// Queues \a record; false if the queue is full, and then \a appended is not called. Else it
    /// is called once, later. NotAppended if the log took it not once before the deadline.
    bool add(Record record, Appended appended);

    std::size_t queued() const { return m_queue.size(); }
    /// Between batches at present.
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
    void putBack(std::vector<Entry> entries);
    void adjustInterval(const AppendResult &result, bool refused);
    void expire();
    void watchDeadline();
    Base::Duration untilNextBatch() const;

    Options m_options;
    Backoff m_outage;
    Base::Duration m_interval;
    std::deque<Entry> m_queue;
    std::size_t m_queuedBytes = 0;
    bool m_isSending = false;
    bool m_isScheduled = false;
    Base::MonoTime m_nextBatch;
    Runtime::TimerId m_batchTimer;
    Runtime::TimerId m_deadlineTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< For calls that outlive it.
};

} // namespace Lagoonbank::PlatformClient

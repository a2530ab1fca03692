#pragma once

#include "http/server.h"
#include "runtime/timerqueue.h"
#include "standins/platform/faultlist.h"
#include "standins/platform/logstore.h"
#include "standins/platform/vmlist.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

namespace Lagoonbank::Standins::Platform {

/// In-memory log, VM list and weight store of the platform, with injectable faults.
class Platform
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        Retention retention;
        double appendsPerSecond = 500; ///< Append calls, regardless of their number of records.
        Base::Duration vmListLag = std::chrono::seconds(3);
        double weightsPerSecond = 2;
        Base::Bytes weightBytes{1'000'000'000};
    };

    explicit Platform(const Options &options);
    Platform(const Platform &) = delete;
    Platform &operator=(const Platform &) = delete;
    ~Platform();

    /// Answers a request, possibly after this call returns.
    void handle(const Http::Request &request, const std::shared_ptr<Http::Responder> &responder);

private:
    using ResponderPtr = std::shared_ptr<Http::Responder>;
    /// A read that waits for the next append to a stream.
    struct LongPoll
    {
        std::uint64_t id = 0;
        std::string stream;
        Base::LogOffset from;
        std::size_t limit = 0;
        ResponderPtr responder;
        Runtime::TimerId timer;
    };
    struct Counters
    {
        std::uint64_t appends = 0;
        std::uint64_t appendsLimited = 0;
        std::uint64_t records = 0;
        std::uint64_t reads = 0;
    };

    Base::MonoTime now() const;
    void runAfter(Base::Duration delay, std::function<void()> callback);
    void handleLog(const Http::Request &request, const Caller &caller,
                   const ResponderPtr &responder);
    void handleAppend(const std::string &body, const Caller &caller, const ResponderPtr &responder);
    void append(const std::string &body, const Caller &caller, const ResponderPtr &responder);
    void handleRead(std::string_view query, const Caller &caller, const ResponderPtr &responder);
    void handleVms(const Http::Request &request, const Caller &caller,
                   const ResponderPtr &responder);
    void handleWeights(const Caller &caller, const ResponderPtr &responder);
    void handleFaults(const Http::Request &request, const ResponderPtr &responder);
    void sendLedger(const ResponderPtr &responder);
    void addLongPoll(LongPoll poll, Base::Duration timeout);
    void answerLongPolls(const std::string &stream);
    void dropLongPoll(std::uint64_t id);
    void answerRead(const LongPoll &poll);
    void holdUnanswered(const ResponderPtr &responder);
    void dropDisconnected();

    Options m_options;
    LogStore m_log;
    RateLimit m_appendRate;
    RateLimit m_weightRate;
    VmList m_vms;
    FaultList m_faults;
    Counters m_counters;
    std::list<LongPoll> m_longPolls;
    std::list<ResponderPtr> m_unanswered; ///< Of requests that are never answered.
    std::uint64_t m_lastLongPollId = 0;
    /// Shared with callbacks; false once this object is destroyed.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Lagoonbank::Standins::Platform

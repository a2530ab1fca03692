#pragma once

#include "http/server.h"
#include "runtime/timerqueue.h"
#include "standins/support/answers.h"
#include "standins/support/faults.h"
#include "standins/support/ledger.h"
#include "standins/support/loadhistory.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace Lagoonbank::Standins {

/// The HTTP interface of the stand-in for a plain service. Each request on a path of its own runs
/// for a fixed time, some together; the answer names the run and a receipt.
class ServiceApi
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        std::string name;
        Base::Duration workTime = std::chrono::milliseconds(5);
        std::size_t concurrency = 16; ///< Requests that run together.
        std::size_t maxQueue = 1024; ///< Requests that wait; more are refused.
        Base::Duration loadLag{};
        std::size_t maxLedger = 200000;
    };

    explicit ServiceApi(const Options &options);

    void handle(const Http::Request &request, const ResponderPtr &responder);
    /// Takes no new work from now on and gives up the exchanges that would never end.
    void leave();
    bool isIdle() const { return m_running == 0 && m_queue.empty() && m_heldBack == 0; }

private:
    struct Run
    {
        Ledger::Number ledger = 0;
        std::uint64_t number = 0;
        Base::RequestId requestId;
        Base::IdempotencyKey key;
        std::string receipt;
        RequestFaults faults;
        ResponderPtr responder; ///< Null if nobody waits for the answer.
    };
    using RunPtr = std::shared_ptr<Run>;

    void call(const Http::Request &request, const ResponderPtr &responder);
    bool stopBeforeRun(const RequestFaults &faults, const ResponderPtr &responder);
    void enqueue(const RunPtr &run);
    void startNext();
    void finish(const RunPtr &run);
    void answerInTime(const RunPtr &run);
    void answer(const Run &run);
    void refuse(Http::Responder &responder, int status, std::string_view why);
    void sendLedger(const Http::Request &request, Http::Responder &responder);
    void orderFaults(const Http::Request &request, Http::Responder &responder);
    void recordLoad();
    LoadFigures load() const;

    Options m_options;
    const Runtime::Clock &m_clock;
    Base::Incarnation m_incarnation;
    FaultSet m_faults;
    Ledger m_ledger;
    LoadHistory m_loadHistory;
    SilentExchanges m_silent;
    std::deque<RunPtr> m_queue;
    std::size_t m_running = 0;
    std::size_t m_heldBack = 0;
    std::uint64_t m_lastRun = 0;
    Base::RequestId m_otherId; ///< Of the request before, for answers that are mixed up.
    std::string m_otherReceipt;
    bool m_leaving = false;
};

/// The receipt for a request with that body: hexadecimal digits, the same for the same body.
std::string serviceReceipt(std::string_view body);

} // namespace Lagoonbank::Standins

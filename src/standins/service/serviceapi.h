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

/// HTTP interface of the service stand-in. A request whose path is not one of the stand-in's own
/// runs for a fixed time; its answer contains the run number and a receipt of the request body.
class ServiceApi
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        std::string name;
        Base::Duration workTime = std::chrono::milliseconds(5);
        std::size_t concurrency = 16; ///< Maximum number of requests that run at once.
        std::size_t maxQueuedRequests = 1024; ///< More are refused.
        Base::Duration loadLag{};
        std::size_t maxLedgerEntries = 200000;
    };

    explicit ServiceApi(const Options &options);

    void handle(const Http::Request &request, const ResponderPtr &responder);
    /// Refuses new requests from now on and aborts those that would never be answered.
    void startDraining();
    bool isIdle() const { return m_running == 0 && m_queue.empty() && m_delayedAnswers == 0; }

private:
    struct Run
    {
        Ledger::Number ledgerNumber = 0;
        std::uint64_t runNumber = 0;
        Base::RequestId requestId;
        Base::IdempotencyKey key;
        std::string receipt;
        RequestFaults faults;
        ResponderPtr responder; ///< Null if the run sends no answer.
    };
    using RunPtr = std::shared_ptr<Run>;

    void call(const Http::Request &request, const ResponderPtr &responder);
    bool applyPreRunFault(const RequestFaults &faults, const ResponderPtr &responder);
    void enqueue(const RunPtr &run);
    void startNext();
    void finish(const RunPtr &run);
    void answerAfterDelay(const RunPtr &run);
    void answer(const Run &run);
    void refuse(Http::Responder &responder, int status, std::string_view reason);
    void sendLedger(const Http::Request &request, Http::Responder &responder);
    void injectFault(const Http::Request &request, Http::Responder &responder);
    void recordLoad();
    LoadFigures load() const;

    Options m_options;
    const Runtime::Clock &m_clock;
    Base::Incarnation m_incarnation;
    FaultSet m_faults;
    Ledger m_ledger;
    LoadHistory m_loadHistory;
    UnansweredRequests m_unanswered;
    std::deque<RunPtr> m_queue;
    std::size_t m_running = 0;
    std::size_t m_delayedAnswers = 0;
    std::uint64_t m_lastRunNumber = 0;
    Base::RequestId m_previousRequestId; ///< Source of the content of crossed answers.
    std::string m_previousReceipt;
    bool m_isDraining = false;
};

/// Receipt of a request with \a body: hexadecimal digits that depend on the body only.
std::string serviceReceipt(std::string_view body);

} // namespace Lagoonbank::Standins

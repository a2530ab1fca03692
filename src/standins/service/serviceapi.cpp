#include "standins/service/serviceapi.h"

#include "standins/support/hexhash.h"
#include "standins/support/requestfields.h"

#include <utility>

namespace Lagoonbank::Standins {

namespace {

constexpr std::size_t receiptDigits = 16;

std::string headerText(const Http::Request &request, std::string_view name)
{
    return std::string(request.headers.find(name).value_or(std::string_view()));
}

} // namespace

std::string serviceReceipt(std::string_view body)
{
    return hexHash(body, receiptDigits);
}

ServiceApi::ServiceApi(const Options &options)
    : m_options(options)
    , m_clock(options.timers->clock())
    , m_incarnation(static_cast<std::uint64_t>(wallMilliseconds(m_clock.wallNow())))
    , m_faults(m_clock)
    , m_ledger(options.maxLedgerEntries)
    , m_loadHistory(options.loadLag, m_clock.now())
{ }

void ServiceApi::handle(const Http::Request &request, const ResponderPtr &responder)
{
    const std::string route = request.method + ' ' + request.path;
    if (route == "POST /faults")
        return injectFault(request, *responder);
    if (route == "GET /ledger")
        return sendLedger(request, *responder);
    if (m_faults.isDown())
        return responder->abort();
    if (route == "GET /v1/load")
        return sendJson(*responder, httpOk, loadBody(load(), m_incarnation, m_isDraining));
    call(request, responder);
}

void ServiceApi::startDraining()
{
    m_isDraining = true;
    m_unanswered.abortAll();
}

void ServiceApi::call(const Http::Request &request, const ResponderPtr &responder)
{
    const RequestFaults faults = m_faults.takeForRequest();
    if (applyPreRunFault(faults, responder))
        return;
    if (m_isDraining && !faults.has(FaultKind::AcceptWhileDraining))
        return refuse(*responder, httpUnavailable, "draining");
    if (m_queue.size() >= m_options.maxQueuedRequests)
        return refuse(*responder, httpTooManyRequests, "the queue is full");
    auto run = std::make_shared<Run>();
    run->requestId = Base::RequestId(headerText(request, "x-request-id"));
    run->key = Base::IdempotencyKey(headerText(request, "idempotency-key"));
    run->receipt = serviceReceipt(request.body);
    run->faults = faults;
    if (faults.has(FaultKind::RunTwice))
        enqueue(std::make_shared<Run>(*run));
    if (faults.has(FaultKind::RanButRefused))
        refuse(*responder, httpUnavailable, "refused");
    else
        run->responder = responder;
    enqueue(run);
}

bool ServiceApi::applyPreRunFault(const RequestFaults &faults, const ResponderPtr &responder)
{
    if (faults.has(FaultKind::CrashBefore)) {
        responder->abort();
        return true;
    }
    if (faults.has(FaultKind::Refuse)) {
        refuse(*responder, httpUnavailable, "refused");
        return true;
    }
    if (faults.has(FaultKind::Silent)) {
        m_unanswered.add(responder);
        return true;
    }
    return false;
}

void ServiceApi::enqueue(const RunPtr &run)
{
    run->runNumber = ++m_lastRunNumber;
    run->ledgerNumber = m_ledger.begin({.requestId = run->requestId,
                                        .key = run->key,
                                        .started = m_clock.wallNow(),
                                        .afterDrain = m_isDraining});
    m_queue.push_back(run);
    startNext();
    recordLoad();
}

void ServiceApi::startNext()
{
    while (m_running < m_options.concurrency && !m_queue.empty()) {
        const RunPtr run = std::move(m_queue.front());
        m_queue.pop_front();
        ++m_running;
        const auto time =
            std::chrono::duration_cast<Base::Duration>(m_options.workTime * m_faults.slowFactor());
        m_options.timers->start(time, [this, run] { finish(run); });
    }
}

void ServiceApi::finish(const RunPtr &run)
{
    --m_running;
    m_ledger.end(run->ledgerNumber, RunState::Whole, m_clock.wallNow());
    startNext();
    recordLoad();
    if (run->responder)
        answerAfterDelay(run);
}

void ServiceApi::answerAfterDelay(const RunPtr &run)
{
    const Fault *late = run->faults.find(FaultKind::Late);
    if (!late)
        return answer(*run);
    ++m_delayedAnswers;
    m_options.timers->start(late->delay, [this, run] {
        --m_delayedAnswers;
        answer(*run);
    });
}

void ServiceApi::answer(const Run &run)
{
    if (run.faults.has(FaultKind::CrashAfterRequest))
        return run.responder->abort();
    Base::RequestId reportedId = run.requestId;
    std::string receipt = run.receipt;
    if (const Fault *crossed = run.faults.find(FaultKind::Crossed)) {
        const bool hasPrevious = !m_previousRequestId.empty() && m_previousReceipt != run.receipt;
        receipt = hasPrevious ? m_previousReceipt : serviceReceipt(run.receipt);
        if (!crossed->keepId)
            reportedId = hasPrevious ? m_previousRequestId
                                     : Base::RequestId(run.requestId.value() + "-other");
    }
    m_previousRequestId = run.requestId;
    m_previousReceipt = run.receipt;
    Http::Headers headers{{"x-load", loadHeader(load())}};
    if (!reportedId.empty())
        headers.add("x-request-id", reportedId.value());
    sendJson(*run.responder, httpOk,
             {{"request_id", reportedId.value()},
              {"key", run.key.value()},
              {"run", run.runNumber},
              {"receipt", receipt}},
             std::move(headers));
}

void ServiceApi::refuse(Http::Responder &responder, int status, std::string_view reason)
{
    m_ledger.countRefusal(m_clock.wallNow(), m_isDraining);
    sendRefusal(responder, status, reason);
}

void ServiceApi::sendLedger(const Http::Request &request, Http::Responder &responder)
{
    nlohmann::json body = m_ledger.toJson();
    body["name"] = m_options.name;
    if (queryValue(request.query, "clear") == "true")
        m_ledger.clear();
    sendJson(responder, httpOk, body);
}

void ServiceApi::injectFault(const Http::Request &request, Http::Responder &responder)
{
    if (const auto injected = m_faults.inject(request.body); !injected)
        return sendRefusal(responder, httpBadRequest, injected.error().detail);
    sendJson(responder, httpOk, m_faults.describe());
}

void ServiceApi::recordLoad()
{
    const auto work = static_cast<double>(m_running + m_queue.size());
    m_loadHistory.record(m_clock.now(), {m_running, m_queue.size(), Base::WorkUnits(work)});
}

LoadFigures ServiceApi::load() const
{
    const LoadReport report = m_loadHistory.report(m_clock.now());
    return {.running = report.load.running,
            .queued = report.load.queued,
            .work = report.load.work.value(),
            .capacity = static_cast<double>(m_options.concurrency),
            .age = report.age};
}

} // namespace Lagoonbank::Standins

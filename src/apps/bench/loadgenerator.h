#pragma once

#include "balancer.h"
#include "chathistory.h"
#include "experiment/answercheck.h"
#include "experiment/records.h"
#include "experiment/statistics.h"
#include "experiment/workload.h"
#include "http/client.h"
#include "runtime/loop.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Bench {

/// Latencies measured by the callers.
struct LoadFigures
{
    Experiment::Samples firstTokenMs;
    Experiment::Samples betweenTokensMs;
    std::map<std::string, Experiment::Samples> wholeAnswerMs; ///< Unstreamed calls, by kind.
    Experiment::Samples sendDelayMs; ///< Delay between the planned and the actual sending.
};

/// Sends the calls of a workload at their planned times, independently of the answers (open loop).
class LoadGenerator
{
public:
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        Http::Client *client = nullptr;
        Balancer *balancer = nullptr;
        const Experiment::Definition *definition = nullptr;
        std::string runTag;
    };

    explicit LoadGenerator(const Options &options);

    /// Called once, after the last call of the workload has ended.
    std::function<void()> finished;

    void start();
    std::size_t inFlight() const { return m_inFlight; }
    const std::vector<Experiment::CallerRecord> &records() const { return m_records; }
    std::vector<Experiment::CallerRecord> takeRecords() { return std::move(m_records); }
    const LoadFigures &figures() const { return m_figures; }

private:
    struct Exchange
    {
        Experiment::PlannedCall call;
        const Experiment::CallKind *kind = nullptr;
        std::string body;
        int attempt = 0; ///< Number of retries after refusals with Retry-After.
        std::size_t reconnects = 0; ///< Number of routers that did not accept a connection.
        Base::MonoTime sentAt;
        std::optional<Base::MonoTime> lastTokenAt;
        int status = 0; ///< HTTP status of a streamed answer.
        Experiment::StreamReader stream;
        std::string errorBody; ///< Body of an error response received instead of a stream.
        Experiment::CallerRecord record;
    };
    using ExchangePtr = std::shared_ptr<Exchange>;

    void sendDueCalls();
    void startCall(const Experiment::PlannedCall &call);
    void send(const ExchangePtr &exchange);
    Http::Call httpCall(const Exchange &exchange) const;
    void redirectToService(Http::Call &call, const Exchange &exchange) const;
    void receiveChunk(Exchange &exchange, std::string_view chunk);
    void finish(const ExchangePtr &exchange, const Http::CallResult &result);
    void readHead(Exchange &exchange, const Http::CallResult &result);
    void readResult(Exchange &exchange, const Http::CallResult &result);
    void readAnswer(Exchange &exchange, const Http::CallResult &result);
    void readError(Exchange &exchange, const Http::CallResult &result);
    void recordAnswerTime(const Exchange &exchange);
    bool scheduleRetry(const ExchangePtr &exchange, const Http::CallResult &result);
    void finishIfDone();

    Options m_options;
    const Experiment::Definition &m_definition;
    Experiment::Workload m_workload;
    ChatHistory m_chats;
    std::vector<Runtime::SocketAddress> m_services; ///< For calls that bypass the routers.
    std::optional<Experiment::PlannedCall> m_nextCall;
    Base::MonoTime m_startedAt;
    std::size_t m_inFlight = 0;
    std::vector<Experiment::CallerRecord> m_records;
    LoadFigures m_figures;
};

} // namespace Lagoonbank::Bench

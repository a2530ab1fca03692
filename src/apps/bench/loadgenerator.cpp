#include "loadgenerator.h"

#include "experiment/recordreader.h"

#include <algorithm>
#include <charconv>

namespace Lagoonbank::Bench {

namespace {

using Experiment::CallerOutcome;
using Experiment::ChatCall;
using Experiment::ServiceCall;

constexpr int httpOk = 200;
constexpr int httpMultipleChoices = 300;

double milliseconds(Base::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

bool isStreamed(const Experiment::CallKind &kind)
{
    const auto *chat = std::get_if<ChatCall>(&kind.call);
    return chat && chat->stream;
}

std::string headerOf(const Http::CallResult &result, std::string_view name)
{
    return std::string(result.headers.find(name).value_or(""));
}

CallerOutcome outcomeOf(Errors::Ran ran)
{
    switch (ran) {
    case Errors::Ran::No:
        return CallerOutcome::Refused;
    case Errors::Ran::Yes:
        return CallerOutcome::Failed;
    case Errors::Ran::Unknown:
        break;
    }
    return CallerOutcome::Unknown;
}

std::string nameOf(Http::CallEnd end)
{
    switch (end) {
    case Http::CallEnd::Whole:
        return "no_error_body";
    case Http::CallEnd::NotConnected:
    case Http::CallEnd::TurnedAway:
        return "not_connected";
    case Http::CallEnd::TimedOut:
        return "no_answer_in_time";
    case Http::CallEnd::Broken:
        return "connection_broken";
    case Http::CallEnd::TooLarge:
        break;
    }
    return "answer_too_large";
}

} // namespace

LoadGenerator::LoadGenerator(const Options &options)
    : m_options(options)
    , m_definition(*options.definition)
    , m_workload(m_definition)
    , m_chats(m_definition, options.runTag)
{
    for (const Experiment::DeployedEndpoint &endpoint : m_definition.endpoints) {
        if (!endpoint.isEngine)
            m_services.push_back(Runtime::parseSocketAddress(endpoint.address).value());
    }
}

void LoadGenerator::start()
{
    m_startedAt = m_options.loop->clock().now();
    m_nextCall = m_workload.next();
    sendDueCalls();
}

void LoadGenerator::sendDueCalls()
{
    const Base::Duration now = m_options.loop->clock().now() - m_startedAt;
    while (m_nextCall && m_nextCall->timeInRun <= now) {
        m_figures.sendDelayMs.add(milliseconds(now - m_nextCall->timeInRun));
        startCall(*m_nextCall);
        m_nextCall = m_workload.next();
    }
    if (m_nextCall)
        m_options.loop->timers().start(m_nextCall->timeInRun - now, [this] { sendDueCalls(); });
    else
        finishIfDone();
}

void LoadGenerator::startCall(const Experiment::PlannedCall &call)
{
    const Experiment::WorkspaceLoad &load = m_definition.workspaces[call.workspace];
    auto exchange = std::make_shared<Exchange>();
    exchange->call = call;
    exchange->kind = &load.kinds[call.kind];
    Experiment::CallerRecord &record = exchange->record;
    record.number = call.number;
    record.workspace = load.workspace.value();
    record.isMeasured = call.timeInRun >= m_definition.warmUp;
    if (const auto *service = std::get_if<ServiceCall>(&exchange->kind->call)) {
        record.isModelCall = false;
        record.isIdempotent = service->idempotent;
        if (service->withKey)
            record.key = "key-" + m_options.runTag + "-" + std::to_string(call.number);
        exchange->body = serviceBody(*service, call, m_options.runTag);
    } else {
        record.chat = m_chats.chatId(call);
        record.turn = call.turn;
        exchange->body = m_chats.nextBody(call);
    }
    ++m_inFlight;
    send(exchange);
}

void LoadGenerator::send(const ExchangePtr &exchange)
{
    exchange->sentAt = m_options.loop->clock().now();
    exchange->lastTokenAt.reset();
    exchange->status = 0;
    exchange->stream = {};
    exchange->errorBody.clear();
    Http::Hooks hooks;
    if (isStreamed(*exchange->kind)) {
        hooks.headReceived = [exchange](int status, const Http::Headers &) {
            exchange->status = status;
        };
        hooks.bodyReceived = [this, exchange](std::string_view chunk) {
            receiveChunk(*exchange, chunk);
        };
    }
    hooks.finished = [this, exchange](const Http::CallResult &result) { finish(exchange, result); };
    m_options.client->start(httpCall(*exchange), std::move(hooks));
}

Http::Call LoadGenerator::httpCall(const Exchange &exchange) const
{
    const Experiment::WorkspaceLoad &load = m_definition.workspaces[exchange.call.workspace];
    const std::size_t attempt = static_cast<std::size_t>(exchange.attempt) + exchange.reconnects;
    Http::Call call{
        .server = m_options.balancer->address(m_options.balancer->choose(exchange.call, attempt)),
        .method = "POST",
        .target = "/v1/chat/completions",
        .headers = {{"authorization", "Bearer " + load.bearerKey},
                    {"content-type", "application/json"}},
        .body = exchange.body,
        .headTimeout = m_definition.callDeadline,
        .progressTimeout = m_definition.callDeadline,
        .totalTimeout = m_definition.callDeadline,
    };
    if (const auto *service = std::get_if<ServiceCall>(&exchange.kind->call)) {
        call.method = service->method;
        call.target = "/services/" + service->service.value() + "/" + service->path;
        if (service->direct && !m_services.empty())
            redirectToService(call, exchange);
    } else if (const std::string token = m_chats.placementToken(exchange.call); !token.empty()) {
        call.headers.add("x-placement", token);
    }
    if (!exchange.record.key.empty())
        call.headers.add("idempotency-key", exchange.record.key);
    return call;
}

void LoadGenerator::redirectToService(Http::Call &call, const Exchange &exchange) const
{
    const auto &service = std::get<ServiceCall>(exchange.kind->call);
    call.server = m_services[exchange.call.balancerDraw % m_services.size()];
    call.target = "/" + service.path;
    call.headers = {
        {"x-request-id", "direct." + m_options.runTag + "." + std::to_string(exchange.call.number)},
        {"content-type", "application/json"}};
}

void LoadGenerator::receiveChunk(Exchange &exchange, std::string_view chunk)
{
    if (exchange.status != httpOk) {
        exchange.errorBody += chunk;
        return;
    }
    const std::int64_t before = exchange.stream.deltaCount();
    exchange.stream.add(chunk);
    const std::int64_t newDeltas = exchange.stream.deltaCount() - before;
    if (newDeltas == 0)
        return;
    const Base::MonoTime now = m_options.loop->clock().now();
    if (exchange.record.isMeasured && !exchange.lastTokenAt) {
        m_figures.firstTokenMs.add(milliseconds(now - exchange.sentAt));
    } else if (exchange.record.isMeasured) {
        // Tokens received in one read share the time since the previous read.
        const double gap =
            milliseconds(now - *exchange.lastTokenAt) / static_cast<double>(newDeltas);
        for (std::int64_t i = 0; i < newDeltas; ++i)
            m_figures.betweenTokensMs.add(gap);
    }
    exchange.lastTokenAt = now;
}

void LoadGenerator::finish(const ExchangePtr &exchange, const Http::CallResult &result)
{
    // Like the platform's balancer, try another router if one does not accept a connection.
    const bool canReconnect = exchange->reconnects + 1 < m_definition.routers.size();
    if (result.end == Http::CallEnd::NotConnected && canReconnect) {
        ++exchange->reconnects;
        return send(exchange);
    }
    readHead(*exchange, result);
    readResult(*exchange, result);
    recordAnswerTime(*exchange);
    m_records.push_back(exchange->record);
    if (scheduleRetry(exchange, result))
        return;
    if (exchange->call.chat != 0 && exchange->call.isLastTurn)
        m_chats.close(exchange->call);
    --m_inFlight;
    finishIfDone();
}

void LoadGenerator::readHead(Exchange &exchange, const Http::CallResult &result)
{
    exchange.record.requestId = headerOf(result, "x-request-id");
    exchange.record.endpoint = headerOf(result, "x-endpoint");
    std::string token = headerOf(result, "x-placement");
    if (!token.empty())
        m_chats.setPlacementToken(exchange.call, std::move(token));
}

void LoadGenerator::readResult(Exchange &exchange, const Http::CallResult &result)
{
    const bool isSuccess = result.status >= httpOk && result.status < httpMultipleChoices;
    if (isSuccess)
        readAnswer(exchange, result);
    else
        readError(exchange, result);
}

void LoadGenerator::readAnswer(Exchange &exchange, const Http::CallResult &result)
{
    Experiment::CallerRecord &record = exchange.record;
    const bool isWhole = result.end == Http::CallEnd::Whole;
    if (!record.isModelCall) {
        record.outcome = isWhole ? CallerOutcome::Whole : CallerOutcome::Unknown;
        if (isWhole)
            record.check = Experiment::checkServiceAnswer(exchange.body, result.body);
        else
            record.errorKind = nameOf(result.end);
        return;
    }
    const bool isStream = isStreamed(*exchange.kind);
    const auto answer =
        isStream ? exchange.stream.text() : Experiment::readChatAnswer(result.body).value_or("");
    const bool isDone = isStream ? exchange.stream.isDone() : isWhole;
    const auto verdict =
        Experiment::checkModelAnswer(record.requestId, answer, exchange.call.answerTokens);
    record.check = verdict.check;
    record.tokens = verdict.tokens;
    if (isDone && isWhole && exchange.stream.error().empty()) {
        record.outcome = CallerOutcome::Whole;
        m_chats.addAnswer(exchange.call, answer);
        return;
    }
    readError(exchange, result);
}

void LoadGenerator::readError(Exchange &exchange, const Http::CallResult &result)
{
    const std::string *text = &result.body;
    if (!exchange.errorBody.empty())
        text = &exchange.errorBody;
    if (!exchange.stream.error().empty())
        text = &exchange.stream.error();
    const auto error = Experiment::readErrorBody(*text);
    if (!error) {
        const bool notConnected = result.end == Http::CallEnd::NotConnected;
        exchange.record.outcome = notConnected ? CallerOutcome::Failed : CallerOutcome::Unknown;
        exchange.record.errorKind = nameOf(result.end);
        return;
    }
    exchange.record.outcome = outcomeOf(error->ran);
    exchange.record.ran = error->ran;
    exchange.record.errorKind = error->kind;
    exchange.record.limit = error->limit;
    if (exchange.record.requestId.empty())
        exchange.record.requestId = error->requestId;
}

void LoadGenerator::recordAnswerTime(const Exchange &exchange)
{
    const bool isWhole = exchange.record.outcome == CallerOutcome::Whole;
    if (isWhole && exchange.record.isMeasured && !isStreamed(*exchange.kind))
        m_figures.wholeAnswerMs[exchange.kind->name].add(
            milliseconds(m_options.loop->clock().now() - exchange.sentAt));
}

bool LoadGenerator::scheduleRetry(const ExchangePtr &exchange, const Http::CallResult &result)
{
    const bool isRefused = exchange->record.outcome == CallerOutcome::Refused;
    if (!isRefused || exchange->attempt >= m_definition.retriesOnRetryAfter)
        return false;
    const std::string retryAfter = headerOf(result, "retry-after");
    int seconds = 0;
    const auto read =
        std::from_chars(retryAfter.data(), retryAfter.data() + retryAfter.size(), seconds);
    if (retryAfter.empty() || read.ec != std::errc() || seconds < 0)
        return false;
    ++exchange->attempt;
    m_options.loop->timers().start(std::chrono::seconds(seconds), [this, exchange] {
        Experiment::CallerRecord record;
        record.number = exchange->record.number;
        record.workspace = exchange->record.workspace;
        record.key = exchange->record.key;
        record.chat = exchange->record.chat;
        record.turn = exchange->record.turn;
        record.isModelCall = exchange->record.isModelCall;
        record.isIdempotent = exchange->record.isIdempotent;
        record.isMeasured = exchange->record.isMeasured;
        exchange->record = std::move(record);
        send(exchange);
    });
    return true;
}

void LoadGenerator::finishIfDone()
{
    if (m_nextCall || m_inFlight > 0 || !finished)
        return;
    const auto hook = std::exchange(finished, nullptr);
    hook();
}

} // namespace Lagoonbank::Bench

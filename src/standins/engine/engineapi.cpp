#include "standins/engine/engineapi.h"

#include "standins/support/requestfields.h"

#include <limits>
#include <optional>
#include <utility>

namespace Lagoonbank::Standins {

namespace {

constexpr std::int64_t maxTokensPerRequest = 100'000;
constexpr std::int64_t lowestPriority = 1000;

std::string_view toString(CacheOp op)
{
    return op == CacheOp::Stored ? "stored" : "evicted";
}

template<typename T>
std::optional<std::string> optionalText(RequestFields &fields, const T &key)
{
    if (!fields.has(key))
        return std::nullopt;
    return fields.text(key);
}

Errors::Result<Order> readOrder(std::string_view body)
{
    RequestFields fields = RequestFields::parse(body);
    Order order;
    order.fencing = Base::FencingNumber(static_cast<std::uint64_t>(
        fields.number("fencing", std::nullopt, 0, std::numeric_limits<std::int64_t>::max())));
    order.orderId = fields.text("order_id");
    RequestFields set(fields.object("set"));
    if (const auto model = optionalText(set, "model"))
        order.model = Base::ModelId(*model);
    order.adapter = optionalText(set, "adapter");
    order.version = optionalText(set, "version");
    order.role = optionalText(set, "role");
    if (set.has("draining"))
        order.draining = set.flag("draining", false);
    if (const auto read = fields.finish(); !read)
        return read.error();
    if (const auto read = set.finish(); !read)
        return read.error();
    return order;
}

nlohmann::json orderRecords(const Orders &orders)
{
    nlohmann::json records = nlohmann::json::array();
    for (const Orders::Record &record : orders.records()) {
        records.push_back({{"fencing", record.fencing.value()},
                           {"order_id", record.orderId},
                           {"at_ms", wallMilliseconds(record.receivedAt)},
                           {"applied", record.applied},
                           {"stale", record.stale}});
    }
    return records;
}

} // namespace

EngineApi::EngineApi(const Options &options)
    : m_options(options)
    , m_clock(options.timers->clock())
    , m_incarnation(static_cast<std::uint64_t>(wallMilliseconds(m_clock.wallNow())))
    , m_faults(m_clock)
    , m_orders(options.orders)
    , m_model(options.model)
    , m_streams({.model = &m_model, .timers = options.timers, .load = [this] { return load(); }})
{
    m_model.progressed = [this](RunNumber run) { m_streams.progress(run); };
}

void EngineApi::handle(const Http::Request &request, const ResponderPtr &responder)
{
    const std::string route = request.method + ' ' + request.path;
    if (route == "POST /faults")
        return injectFault(request, *responder);
    if (route == "GET /ledger")
        return sendLedger(request, *responder);
    if (m_faults.isDown())
        return responder->abort();
    if (route == "POST /v1/generate")
        return generate(request, responder);
    if (route == "POST /v1/resume")
        return resume(request, responder);
    if (route == "POST /v1/cancel")
        return cancel(request, *responder);
    if (route == "POST /v1/order")
        return order(request, *responder);
    if (route == "GET /v1/load")
        return sendLoad(*responder);
    if (route == "GET /v1/state")
        return sendState(*responder);
    if (route == "GET /v1/cache/events")
        return sendCacheEvents(request, *responder);
    if (route == "GET /v1/cache/export")
        return exportChat(request, *responder);
    if (route == "POST /v1/cache/import")
        return importChat(request, *responder);
    sendRefusal(*responder, httpNotFound, "no such path");
}

void EngineApi::startDraining()
{
    m_isStopping = true;
    m_streams.abortUnanswered();
}

void EngineApi::generate(const Http::Request &request, const ResponderPtr &responder)
{
    RequestFields fields = RequestFields::parse(request.body);
    Generation generation;
    generation.requestId = Base::RequestId(fields.text("request_id"));
    fields.text("workspace", std::string());
    generation.chat = Base::ChatId(fields.text("chat", std::string()));
    const std::string model = fields.text("model", std::string());
    generation.prompt = fields.text("prompt");
    generation.maxTokens =
        Base::Tokens(fields.number("max_tokens", std::nullopt, 1, maxTokensPerRequest));
    generation.priority = static_cast<int>(fields.number("priority", 0, 0, lowestPriority));
    const std::int64_t from = fields.number("from", 0, 0, maxTokensPerRequest);
    if (const auto read = fields.finish(); !read)
        return sendRefusal(*responder, httpBadRequest, read.error().detail);
    const RequestFaults faults = m_faults.takeForRequest();
    if (applyPreRunFault(faults, responder))
        return;
    if (const std::string reason = refusalReason(model, faults); !reason.empty())
        return refuse(*responder, httpUnavailable, reason);
    generation.afterDrain = isDraining();
    runGeneration(generation, faults, from, responder);
}

void EngineApi::runGeneration(const Generation &generation, const RequestFaults &faults,
                              std::int64_t from, const ResponderPtr &responder)
{
    if (faults.has(FaultKind::RunTwice))
        m_model.submit(generation);
    const std::optional<RunNumber> run = m_model.submit(generation);
    scheduleStep();
    if (!run)
        return refuse(*responder, httpTooManyRequests, "the queue is full");
    if (faults.has(FaultKind::RanButRefused))
        return refuse(*responder, httpUnavailable, "refused");
    m_streams.open(makeStream(*run, generation.requestId, from, faults, responder));
    m_previousRequestId = generation.requestId;
}

void EngineApi::resume(const Http::Request &request, const ResponderPtr &responder)
{
    RequestFields fields = RequestFields::parse(request.body);
    const Base::RequestId requestId(fields.text("request_id"));
    const std::int64_t from = fields.number("from", std::nullopt, 0, maxTokensPerRequest);
    if (const auto read = fields.finish(); !read)
        return sendRefusal(*responder, httpBadRequest, read.error().detail);
    const RequestFaults faults = m_faults.takeForRequest();
    if (applyPreRunFault(faults, responder))
        return;
    const std::optional<RunNumber> run = m_model.find(requestId);
    if (!run)
        return sendRefusal(*responder, httpNotFound, "no such request");
    m_streams.open(makeStream(*run, requestId, from, faults, responder));
}

void EngineApi::cancel(const Http::Request &request, Http::Responder &responder)
{
    RequestFields fields = RequestFields::parse(request.body);
    const Base::RequestId requestId(fields.text("request_id"));
    if (const auto read = fields.finish(); !read)
        return sendRefusal(responder, httpBadRequest, read.error().detail);
    sendJson(responder, httpOk, {{"cancelled", m_model.cancel(requestId)}});
}

void EngineApi::order(const Http::Request &request, Http::Responder &responder)
{
    const auto order = readOrder(request.body);
    if (!order)
        return sendRefusal(responder, httpBadRequest, order.error().detail);
    if (!m_orders.apply(order.value())) {
        return sendJson(
            responder, httpConflict,
            {{"error", "older fencing number"}, {"fencing", m_orders.fencing().value()}});
    }
    sendState(responder);
}

void EngineApi::injectFault(const Http::Request &request, Http::Responder &responder)
{
    if (const auto injected = m_faults.inject(request.body); !injected)
        return sendRefusal(responder, httpBadRequest, injected.error().detail);
    m_model.setSlowFactor(m_faults.slowFactor());
    sendJson(responder, httpOk, m_faults.describe());
}

void EngineApi::sendLoad(Http::Responder &responder)
{
    sendJson(responder, httpOk, loadBody(load(), m_incarnation, isDraining()));
}

void EngineApi::sendState(Http::Responder &responder)
{
    const EngineSettings &settings = m_orders.settings();
    sendJson(responder, httpOk,
             {{"model", settings.model.value()},
              {"adapter", settings.adapter},
              {"version", settings.version},
              {"role", settings.role},
              {"draining", settings.draining},
              {"loading", m_orders.isLoading()},
              {"fencing", m_orders.fencing().value()}});
}

void EngineApi::sendLedger(const Http::Request &request, Http::Responder &responder)
{
    nlohmann::json body = m_model.ledger().toJson();
    body["name"] = m_options.name;
    body["orders"] = orderRecords(m_orders);
    if (queryValue(request.query, "clear") == "true")
        m_model.ledger().clear();
    sendJson(responder, httpOk, body);
}

void EngineApi::sendCacheEvents(const Http::Request &request, Http::Responder &responder)
{
    const auto from = parseNumber(queryValue(request.query, "from").value_or("0"));
    if (!from)
        return sendRefusal(responder, httpBadRequest, "\"from\" must be an offset");
    const CacheEventLog::Page page = m_model.cacheEvents(*from);
    nlohmann::json events = nlohmann::json::array();
    for (const CacheEvent &event : page.events) {
        events.push_back({{"offset", event.offset},
                          {"op", toString(event.op)},
                          {"chat", event.chat.value()},
                          {"tokens", event.tokens.value()}});
    }
    sendJson(responder, httpOk,
             {{"first", page.first}, {"next", page.next}, {"events", std::move(events)}});
}

void EngineApi::exportChat(const Http::Request &request, Http::Responder &responder)
{
    const Base::ChatId chat(queryValue(request.query, "chat").value_or(std::string()));
    const auto blocks = m_model.exportChat(chat);
    if (!blocks)
        return sendRefusal(responder, httpNotFound, "nothing of this chat is cached");
    sendJson(responder, httpOk, {{"chat", chat.value()}, {"blocks", *blocks}});
}

void EngineApi::importChat(const Http::Request &request, Http::Responder &responder)
{
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    const bool hasFields = body.is_object() && body.contains("chat") && body.contains("blocks");
    const bool isExport = hasFields && body["chat"].is_string() && body["blocks"].is_array();
    if (!isExport)
        return sendRefusal(responder, httpBadRequest, "the body must be what an export gave");
    std::vector<BlockHash> blocks;
    for (const nlohmann::json &block : body["blocks"]) {
        if (!block.is_number_unsigned())
            return sendRefusal(responder, httpBadRequest, "a block must be a number");
        blocks.push_back(block.get<BlockHash>());
    }
    m_model.importChat(Base::ChatId(body["chat"].get<std::string>()), blocks);
    sendJson(responder, httpOk, {{"tokens", blocks.size() * tokensPerBlock}});
}

bool EngineApi::applyPreRunFault(const RequestFaults &faults, const ResponderPtr &responder)
{
    if (faults.has(FaultKind::CrashBefore)) {
        responder->abort();
        return true;
    }
    if (faults.has(FaultKind::Refuse)) {
        refuse(*responder, httpUnavailable, "refused");
        return true;
    }
    const Fault *silent = faults.find(FaultKind::Silent);
    if (!silent || silent->afterTokens)
        return false;
    m_streams.holdUnanswered(responder);
    return true;
}

std::string EngineApi::refusalReason(const std::string &model, const RequestFaults &faults) const
{
    if (isDraining() && !faults.has(FaultKind::AcceptWhileDraining))
        return "draining";
    if (m_orders.isLoading())
        return "loading weights";
    const Base::ModelId &loaded = m_orders.settings().model;
    if (!loaded.empty() && !model.empty() && loaded.value() != model)
        return "another model is loaded";
    return {};
}

void EngineApi::refuse(Http::Responder &responder, int status, std::string_view reason)
{
    m_model.ledger().countRefusal(m_clock.wallNow(), isDraining());
    sendRefusal(responder, status, reason);
}

EngineStreams::Stream EngineApi::makeStream(RunNumber run, const Base::RequestId &requestId,
                                            std::int64_t from, const RequestFaults &faults,
                                            const ResponderPtr &responder)
{
    EngineStreams::Stream stream{.run = run,
                                 .responder = responder,
                                 .reportedId = requestId,
                                 .contentId = requestId,
                                 .from = from,
                                 .faults = faults};
    const Fault *crossed = faults.find(FaultKind::Crossed);
    if (!crossed)
        return stream;
    const bool hasPrevious = !m_previousRequestId.empty() && m_previousRequestId != requestId;
    stream.contentId =
        hasPrevious ? m_previousRequestId : Base::RequestId(requestId.value() + "-other");
    if (!crossed->keepId)
        stream.reportedId = stream.contentId;
    return stream;
}

LoadFigures EngineApi::load() const
{
    const LoadReport report = m_model.load();
    return {.running = report.load.running,
            .queued = report.load.queued,
            .work = report.load.work.value(),
            .largest = report.load.largest.value(),
            .capacity = m_model.capacity().value(),
            .age = report.age};
}

void EngineApi::scheduleStep()
{
    const std::optional<Base::MonoTime> nextStep = m_model.nextStepTime();
    if (m_isStepScheduled || !nextStep)
        return;
    m_isStepScheduled = true;
    m_options.timers->start(*nextStep - m_clock.now(), [this] {
        m_isStepScheduled = false;
        m_model.advance();
        scheduleStep();
    });
}

} // namespace Lagoonbank::Standins

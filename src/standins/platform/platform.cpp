#include "standins/platform/platform.h"

#include "base/parsenumber.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Lagoonbank::Standins::Platform {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxLongPolls = 10'000;
constexpr std::size_t maxUnanswered = 10'000;
constexpr std::size_t maxRecordsPerAppend = 10'000;
constexpr std::uint64_t maxReadLimit = 10'000;
constexpr std::uint64_t maxWaitMs = 60'000;
constexpr std::uint64_t defaultReadLimit = 1000;

void sendJson(const std::shared_ptr<Http::Responder> &responder, int status, const Json &json,
              Http::Headers headers = {})
{
    headers.add("content-type", "application/json");
    responder->send(status, headers, json.dump(-1, ' ', false, Json::error_handler_t::replace));
}

void sendError(const std::shared_ptr<Http::Responder> &responder, int status, std::string_view text,
               const Http::Headers &headers = {})
{
    sendJson(responder, status, {{"error", text}}, headers);
}

constexpr std::string_view logPath = "/log/";

std::string streamOf(std::string_view path)
{
    path.remove_prefix(logPath.size());
    return std::string(path.substr(0, path.find('/')));
}

std::string headerOf(const Http::Request &request, std::string_view name)
{
    return std::string(request.headers.find(name).value_or(""));
}

/// The records in the body of an append; empty if the body is malformed.
std::vector<NewRecord> readRecords(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || json.size() != 1 || !json.contains("records"))
        return {};
    const Json &list = json["records"];
    if (!list.is_array() || list.size() > maxRecordsPerAppend)
        return {};
    std::vector<NewRecord> records;
    for (const Json &entry : list) {
        if (!entry.is_object() || entry.size() != 2 || !entry.contains("id")
            || !entry.contains("data") || !entry["id"].is_string() || !entry["data"].is_string())
            return {};
        records.push_back({entry["id"].get<std::string>(), entry["data"].get<std::string>()});
    }
    return records;
}

struct ReadQuery
{
    std::uint64_t from = 0;
    std::uint64_t limit = defaultReadLimit;
    std::uint64_t waitMs = 0;
};

/// Parses one name=value pair; false if the name is unknown or the value is not a number.
bool readMember(ReadQuery &query, std::string_view member)
{
    const std::size_t equals = std::min(member.find('='), member.size());
    const std::string_view name = member.substr(0, equals);
    const auto value =
        Base::parseNumber<std::uint64_t>(member.substr(std::min(equals + 1, member.size())));
    if (!value)
        return false;
    if (name == "from")
        query.from = *value;
    else if (name == "limit")
        query.limit = std::clamp<std::uint64_t>(*value, 1, maxReadLimit);
    else if (name == "wait_ms")
        query.waitMs = std::min(*value, maxWaitMs);
    else
        return false;
    return true;
}

std::optional<ReadQuery> parseReadQuery(std::string_view text)
{
    ReadQuery query;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('&'), text.size());
        if (!readMember(query, text.substr(0, end)))
            return std::nullopt;
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return query;
}

bool isVmList(const Json &json)
{
    if (!json.is_object() || !json.contains("vms") || !json["vms"].is_array())
        return false;
    return std::all_of(json["vms"].begin(), json["vms"].end(), [](const Json &vm) {
        if (!vm.is_object())
            return false;
        const auto isText = [&](const char *name) {
            return vm.contains(name) && vm[name].is_string();
        };
        return isText("id") && isText("address") && isText("data_centre") && isText("state")
            && (vm["state"] == "live" || vm["state"] == "leaving");
    });
}

} // namespace

Platform::Platform(const Options &options)
    : m_options(options)
    , m_log(options.retention)
    , m_appendRate(options.appendsPerSecond)
    , m_weightRate(options.weightsPerSecond)
    , m_vms(options.vmListLag)
{ }

Platform::~Platform()
{
    *m_alive = false;
    for (const LongPoll &poll : m_longPolls)
        m_options.timers->cancel(poll.timer);
}

void Platform::handle(const Http::Request &request, const ResponderPtr &responder)
{
    if (request.path == "/faults")
        return handleFaults(request, responder);
    if (request.path == "/ledger")
        return sendLedger(responder);
    Caller caller{.vm = headerOf(request, "x-vm"),
                  .dataCentre = headerOf(request, "x-data-centre"),
                  .ip = request.peer.ip};
    const bool isLog = request.path.starts_with(logPath);
    if (isLog)
        caller.stream = streamOf(request.path);
    if (m_faults.match(FaultKind::Silent, caller))
        return holdUnanswered(responder);
    if (isLog)
        return handleLog(request, caller, responder);
    if (request.path == "/vms")
        return handleVms(request, caller, responder);
    if (request.path.starts_with("/weights/") && request.method == "GET")
        return handleWeights(caller, responder);
    sendError(responder, 404, "There is no such path.");
}

Base::MonoTime Platform::now() const
{
    return m_options.timers->clock().now();
}

void Platform::runAfter(Base::Duration delay, std::function<void()> callback)
{
    m_options.timers->start(delay, [alive = m_alive, callback = std::move(callback)] {
        if (*alive)
            callback();
    });
}

void Platform::handleLog(const Http::Request &request, const Caller &caller,
                         const ResponderPtr &responder)
{
    const std::string base = "/log/" + caller.stream;
    const bool isAppend = request.path == base + "/append" && request.method == "POST";
    const bool isRead = request.path == base && request.method == "GET";
    if (caller.stream.empty() || (!isAppend && !isRead))
        return sendError(responder, 404, "The log has append by POST and read by GET.");
    if (m_faults.match(FaultKind::LogOutage, caller))
        return sendError(responder, 503, "The log is out.");
    const auto answer = [this, isAppend, body = request.body, query = request.query, caller,
                         responder] {
        if (isAppend)
            handleAppend(body, caller, responder);
        else
            handleRead(query, caller, responder);
    };
    if (const auto slow = m_faults.match(FaultKind::LogSlow, caller))
        return runAfter(slow->delay, answer);
    answer();
}

void Platform::handleAppend(const std::string &body, const Caller &caller,
                            const ResponderPtr &responder)
{
    if (m_faults.match(FaultKind::AppendOutage, caller))
        return sendError(responder, 503, "The log takes no records.");
    if (m_faults.match(FaultKind::LoseAppends, caller))
        return responder->abort();
    const bool limited = m_faults.match(FaultKind::AppendsLimited, caller).has_value();
    if (limited || !m_appendRate.tryAcquire(now())) {
        ++m_counters.appendsLimited;
        return sendError(responder, 429, "Too many appends a second.", {{"retry-after", "1"}});
    }
    append(body, caller, responder);
}

void Platform::append(const std::string &body, const Caller &caller, const ResponderPtr &responder)
{
    std::vector<NewRecord> records = readRecords(body);
    if (records.empty())
        return sendError(responder, 400, "The body is {\"records\": [{\"id\", \"data\"}, ...]}.");
    LogStream *stream = m_log.stream(caller.stream, now());
    if (stream == nullptr)
        return sendError(responder, 400, "There are too many streams.");
    ++m_counters.appends;
    m_counters.records += records.size();
    Json offsets = Json::array();
    for (const Base::LogOffset offset : stream->append(std::move(records), now()))
        offsets.push_back(offset.value());
    answerLongPolls(caller.stream);
    if (m_faults.match(FaultKind::LoseAppendAnswers, caller))
        return responder->abort();
    const Json answer{{"offsets", std::move(offsets)}};
    if (const auto late = m_faults.match(FaultKind::LateAppendAnswers, caller))
        return runAfter(late->delay, [responder, answer] { sendJson(responder, 200, answer); });
    sendJson(responder, 200, answer);
}

void Platform::handleRead(std::string_view query, const Caller &caller,
                          const ResponderPtr &responder)
{
    const auto parsed = parseReadQuery(query);
    if (!parsed)
        return sendError(responder, 400, "The query has from, limit and wait_ms.");
    LogStream *stream = m_log.stream(caller.stream, now());
    if (stream == nullptr)
        return sendError(responder, 400, "There are too many streams.");
    ++m_counters.reads;
    const Base::LogOffset from{parsed->from};
    LongPoll poll{.id = ++m_lastLongPollId,
                  .stream = caller.stream,
                  .from = from,
                  .limit = parsed->limit,
                  .responder = responder};
    if (stream->hasResultFrom(from) || parsed->waitMs == 0)
        return answerRead(poll);
    addLongPoll(std::move(poll), std::chrono::milliseconds(parsed->waitMs));
}

void Platform::addLongPoll(LongPoll poll, Base::Duration timeout)
{
    if (m_longPolls.size() >= maxLongPolls)
        return sendError(poll.responder, 503, "Too many readers wait.");
    const std::uint64_t id = poll.id;
    const ResponderPtr responder = poll.responder;
    poll.timer = m_options.timers->start(timeout, [this, id] {
        const auto found = std::find_if(m_longPolls.begin(), m_longPolls.end(),
                                        [id](const LongPoll &poll) { return poll.id == id; });
        if (found == m_longPolls.end())
            return;
        answerRead(*found);
        m_longPolls.erase(found);
    });
    m_longPolls.push_back(std::move(poll));
    // Dropped in the next loop iteration, since dropping destroys the responder and this callback.
    responder->setDisconnectHandler([this, alive = m_alive, id] {
        if (*alive)
            runAfter({}, [this, id] { dropLongPoll(id); });
    });
}

void Platform::answerLongPolls(const std::string &stream)
{
    for (auto poll = m_longPolls.begin(); poll != m_longPolls.end();) {
        if (poll->stream != stream) {
            ++poll;
            continue;
        }
        m_options.timers->cancel(poll->timer);
        answerRead(*poll);
        poll = m_longPolls.erase(poll);
    }
}

void Platform::dropLongPoll(std::uint64_t id)
{
    std::erase_if(m_longPolls, [&](const LongPoll &poll) {
        if (poll.id != id)
            return false;
        m_options.timers->cancel(poll.timer);
        return true;
    });
}

void Platform::answerRead(const LongPoll &poll)
{
    LogStream *stream = m_log.stream(poll.stream, now());
    const Page page = stream->read(poll.from, poll.limit);
    Json records = Json::array();
    for (const Record &record : page.records) {
        records.push_back(
            {{"offset", record.offset.value()}, {"id", record.id}, {"data", record.data}});
    }
    sendJson(poll.responder, 200,
             {{"first", page.first.value()},
              {"next", page.next.value()},
              {"records", std::move(records)}});
}

void Platform::handleVms(const Http::Request &request, const Caller &caller,
                         const ResponderPtr &responder)
{
    if (request.method == "PUT") {
        const Json json = Json::parse(request.body, nullptr, false);
        if (!isVmList(json))
            return sendError(responder, 400,
                             "The body is {\"vms\": [{\"id\", \"address\", \"data_centre\", "
                             "\"state\": \"live|leaving\"}]}.");
        m_vms.set(json.dump(), now());
        return sendJson(responder, 200, Json::object());
    }
    if (request.method != "GET")
        return sendError(responder, 405, "The VM list has GET and PUT.");
    if (m_faults.match(FaultKind::VmsOutage, caller))
        return sendError(responder, 503, "The VM list is out.");
    responder->send(200, {{"content-type", "application/json"}}, m_vms.visibleList(now()));
}

void Platform::handleWeights(const Caller &caller, const ResponderPtr &responder)
{
    if (m_faults.match(FaultKind::WeightsOutage, caller))
        return sendError(responder, 503, "The weight store is out.");
    if (!m_weightRate.tryAcquire(now())) {
        const auto seconds =
            static_cast<int>(std::ceil(Base::toSeconds(m_weightRate.timeToNextToken())));
        return sendError(responder, 429, "Too many weight requests a second.",
                         {{"retry-after", std::to_string(std::max(seconds, 1))}});
    }
    sendJson(responder, 200, Json::object(),
             {{"x-weight-bytes", std::to_string(m_options.weightBytes.value())}});
}

void Platform::handleFaults(const Http::Request &request, const ResponderPtr &responder)
{
    if (request.method != "POST")
        return sendError(responder, 405, "Faults are ordered by POST.");
    const auto injected = m_faults.inject(request.body);
    if (!injected)
        return sendError(responder, 400, injected.error().detail);
    sendJson(responder, 200, Json::object());
}

void Platform::sendLedger(const ResponderPtr &responder)
{
    Json streams = Json::object();
    for (const auto &[name, stream] : m_log.streams())
        streams[name] = {{"first", stream.first().value()}, {"next", stream.next().value()}};
    sendJson(responder, 200,
             {{"entries", Json::array()},
              {"streams", std::move(streams)},
              {"appends", m_counters.appends},
              {"appends_limited", m_counters.appendsLimited},
              {"records", m_counters.records},
              {"reads", m_counters.reads}});
}

void Platform::holdUnanswered(const ResponderPtr &responder)
{
    if (m_unanswered.size() >= maxUnanswered)
        m_unanswered.pop_front();
    m_unanswered.push_back(responder);
    responder->setDisconnectHandler([this, alive = m_alive] {
        if (*alive)
            runAfter({}, [this] { dropDisconnected(); });
    });
}

void Platform::dropDisconnected()
{
    std::erase_if(m_unanswered,
                  [](const ResponderPtr &responder) { return responder->isDisconnected(); });
}

} // namespace Lagoonbank::Standins::Platform

#include "operations/requestcommand.h"

#include "operations/texts.h"
#include "operations/timelinecommand.h"
#include "platformclient/vmlistclient.h"
#include "timeline/eventjson.h"
#include "timeline/mergedtimeline.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace Lagoonbank::Operations {

using Timeline::Outcome;
using Timeline::OutcomeKind;
using Timeline::ProcessEvent;

namespace {

constexpr int statusOk = 200;

std::string outcomeTarget(const RequestQuery &query)
{
    if (!query.request.empty())
        return "/admin/outcome?id=" + percentEncode(query.request.value());
    return absl::StrCat("/admin/outcome?workspace=", percentEncode(query.workspace.value()),
                        "&key=", percentEncode(query.key.value()));
}

/// Sort key for several requests with the same idempotency key: the most informative outcome has
/// the lowest rank.
int rankOf(const FoundOutcome &found)
{
    constexpr int lastRank = 5;
    if (found.wasReplayed())
        return lastRank - 1;
    switch (found.outcome.end.kind) {
    case OutcomeKind::Whole:
        return 0;
    case OutcomeKind::Running:
        return 1;
    case OutcomeKind::CutOff:
        return 2;
    case OutcomeKind::Unknown:
        return 3;
    case OutcomeKind::Refused:
        break;
    }
    return lastRank;
}

/// Returns the command that finds the executed request if this one got a recorded answer.
std::string hintOf(const FoundOutcome &found)
{
    if (!found.wasReplayed())
        return {};
    return absl::StrCat("  the request that was executed: lagoonbank-ctl request --workspace ",
                        shellQuote(found.outcome.workspace.value()), " --key ",
                        shellQuote(found.outcome.key->value()), "\n");
}

std::string attemptLine(std::size_t number, const Timeline::OutcomeAttempt &attempt)
{
    std::string line = absl::StrCat("  attempt ", number, " on ", attempt.endpoint.value(),
                                    " after ", attempt.startedMs, " ms");
    if (attempt.endedMs)
        absl::StrAppend(&line, ", took ", *attempt.endedMs - attempt.startedMs, " ms");
    absl::StrAppend(&line, ": ", attempt.result.empty() ? "running" : attempt.result, "\n");
    return line;
}

std::string describe(const FoundOutcome &found)
{
    const Outcome &outcome = found.outcome;
    std::string text = absl::StrCat("  request ", outcome.request.value());
    if (!outcome.workspace.empty())
        absl::StrAppend(&text, " of workspace ", outcome.workspace.value());
    if (outcome.end.status != 0)
        absl::StrAppend(&text, ", status ", outcome.end.status);
    absl::StrAppend(&text, ", according to ", found.source, "\n");
    for (std::size_t i = 0; i < outcome.attempts.size(); ++i)
        text += attemptLine(i + 1, outcome.attempts[i]);
    return text;
}

std::string indented(const std::string &lines)
{
    std::string out;
    std::size_t begin = 0;
    while (begin < lines.size()) {
        const std::size_t end = std::min(lines.find('\n', begin), lines.size());
        absl::StrAppend(&out, "  ", lines.substr(begin, end - begin), "\n");
        begin = end + 1;
    }
    return out;
}

std::string ipOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

} // namespace

RequestCommand::RequestCommand(const Context &context, RequestQuery query)
    : m_context(context)
    , m_query(std::move(query))
    , m_client(context)
    , m_log(context, m_query)
{ }

RequestCommand::~RequestCommand()
{
    if (m_context.platform.cancel)
        m_context.platform.cancel(m_vmCall);
}

void RequestCommand::start(Finished finished)
{
    m_finished = std::move(finished);
    if (m_context.admins.empty() && !m_context.log) {
        return m_finished(failure(ExitStatus::Usage,
                                  "No process or log to query; give --admin and --platform, or "
                                  "--settings."));
    }
    if (m_query.request.empty())
        return queryAll();
    auto origin = Timeline::parseRequestId(m_query.request.value());
    if (!origin) {
        return m_finished(failure(ExitStatus::Usage,
                                  "Invalid request id: " + origin.error().detail
                                      + " Give the X-Request-Id of the answer, or --workspace "
                                        "and --key."));
    }
    m_origin = std::move(origin.value());
    findRouter();
}

void RequestCommand::findRouter()
{
    if (!m_context.log || m_context.admins.empty())
        return queryAll();
    Http::Call call;
    call.target = "/vms";
    call.headTimeout = m_context.timeout;
    call.progressTimeout = m_context.timeout;
    m_vmCall = m_context.platform.start(
        std::move(call), [this](const Http::CallResult &result) { vmsRead(result); });
}

void RequestCommand::vmsRead(const Http::CallResult &result)
{
    std::vector<Runtime::SocketAddress> candidates;
    auto vms = PlatformClient::parseVmList(result.status == statusOk ? result.body : "");
    if (vms) {
        for (const PlatformClient::VmEntry &vm : vms.value()) {
            if (vm.id != m_origin->vm)
                continue;
            std::ranges::copy_if(
                m_context.admins, std::back_inserter(candidates),
                [&vm](const auto &address) { return address.ip == ipOf(vm.address); });
        }
    }
    queryRouter(candidates);
}

void RequestCommand::queryRouter(const std::vector<Runtime::SocketAddress> &addresses)
{
    if (addresses.empty())
        return queryAll();
    m_client.query(addresses, outcomeTarget(m_query),
                   [this](const std::vector<AdminAnswer> &answers) {
                       addOutcomes(answers);
                       if (m_found.empty())
                           queryAll();
                       else
                           queryEvents();
                   });
}

void RequestCommand::queryAll()
{
    m_client.query(m_context.admins, outcomeTarget(m_query),
                   [this](const std::vector<AdminAnswer> &answers) { allAnswered(answers); });
}

void RequestCommand::allAnswered(const std::vector<AdminAnswer> &answers)
{
    addOutcomes(answers);
    m_unreached = describeUnreached(answers);
    m_queried = answers.size();
    m_reached = static_cast<std::size_t>(
        std::ranges::count_if(answers, [](const auto &answer) { return answer.wasReached(); }));
    // Another router, which has been replaced since, may have executed a request with this key.
    // Keys are therefore always looked up in the log as well.
    if (!m_found.empty() && !m_query.request.empty())
        return queryEvents();
    readLog();
}

void RequestCommand::addOutcomes(const std::vector<AdminAnswer> &answers)
{
    for (const AdminAnswer &answer : answers) {
        if (!answer.isOk())
            continue;
        const auto outcome = Timeline::outcomeFromJson(answer.body);
        if (outcome && m_query.matches(outcome.value()))
            m_found.push_back({.outcome = outcome.value(),
                               .source = "the router at " + Runtime::toString(answer.from)});
    }
}

void RequestCommand::readLog()
{
    if (!m_context.log) {
        m_unreached += "The log was not read because --platform is not given.\n";
        return queryEvents();
    }
    m_log.read([this](const Errors::Result<void> &result) {
        m_wasLogRead = static_cast<bool>(result);
        if (!result)
            absl::StrAppend(&m_unreached, "The log could not be read: ", result.error().detail,
                            "\n");
        logRead();
    });
}

void RequestCommand::logRead()
{
    for (FoundOutcome &found : m_log.found()) {
        const bool isKnown = std::ranges::any_of(m_found, [&found](const FoundOutcome &other) {
            return other.outcome.request == found.outcome.request;
        });
        if (!isKnown)
            m_found.push_back(std::move(found));
    }
    std::ranges::stable_sort(m_found, {}, [](const FoundOutcome &found) { return rankOf(found); });
    queryEvents();
}

void RequestCommand::queryEvents()
{
    if (m_found.empty())
        return m_finished(notFoundReport());
    queryEvents(m_found.front().outcome.request);
}

void RequestCommand::queryEvents(const Base::RequestId &request)
{
    const std::string target = eventsTarget({.request = request.value()}, {}, 0);
    m_client.query(m_context.admins, target,
                   [this](const std::vector<AdminAnswer> &answers) { finish(answers); });
}

void RequestCommand::finish(const std::vector<AdminAnswer> &answers)
{
    const std::vector<ProcessEvent> events = mergedEvents(answers);
    const std::string sentence = sentenceOf(m_found.front(), m_context.timers->clock().wallNow());
    Report report;
    report.text = sentence + "\n";
    report.json["sentence"] = sentence;
    report.json["outcomes"] = Json::array();
    for (const FoundOutcome &found : m_found) {
        report.text += describe(found);
        Json item = Timeline::toJson(found.outcome);
        item["source"] = found.source;
        report.json["outcomes"].push_back(std::move(item));
    }
    if (!m_query.request.empty())
        report.text += hintOf(m_found.front());
    report.json["events"] = Json::array();
    for (const ProcessEvent &event : events)
        report.json["events"].push_back(Timeline::toJson(event));
    report.text += events.empty() ? "  no events of the request are kept any more\n"
                                  : indented(Timeline::renderText(events));
    report.errors = describeUnreached(answers);
    return m_finished(std::move(report));
}

Report RequestCommand::notFoundReport() const
{
    const std::string subject = m_query.request.empty()
        ? absl::StrCat("the key of workspace ", m_query.workspace.value())
        : "request " + m_query.request.value();
    std::string text = absl::StrCat("No outcome is known for ", subject, "; it may have expired. ",
                                    m_reached, " of ", m_queried, " processes answered");
    absl::StrAppend(&text,
                    m_wasLogRead ? ", and the log was read." : ", but the log was not read.");
    if (m_wasLogRead && m_log.firstOutcome() > Base::LogOffset()) {
        absl::StrAppend(&text, " Retention removed the outcomes before offset ",
                        m_log.firstOutcome().value(), " from the log.");
    }
    text += "\n";
    Report report{.status = ExitStatus::NotFound, .text = std::move(text)};
    report.json["sentence"] = nullptr;
    report.json["known"] = false;
    if (m_unreached.empty())
        return report;
    report.status = ExitStatus::Failed;
    report.errors = m_unreached
        + "The result is not certain without them; run the command again once "
          "they answer.\n";
    return report;
}

} // namespace Lagoonbank::Operations

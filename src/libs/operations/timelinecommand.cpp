#include "operations/timelinecommand.h"

#include "operations/texts.h"
#include "timeline/eventjson.h"
#include "timeline/mergedtimeline.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <fstream>
#include <utility>

namespace Lagoonbank::Operations {

using Timeline::ProcessEvent;

namespace {

constexpr Base::Duration followInterval = std::chrono::seconds(1);

void addParameter(std::string &target, std::string_view name, const std::string &value)
{
    if (!value.empty())
        absl::StrAppend(&target, "&", std::string(name), "=", percentEncode(value));
}

Json eventsJson(const std::vector<ProcessEvent> &events)
{
    Json list = Json::array();
    for (const ProcessEvent &event : events)
        list.push_back(Timeline::toJson(event));
    return list;
}

} // namespace

std::optional<TimelineFormat> timelineFormat(std::string_view name)
{
    if (name == "text")
        return TimelineFormat::Text;
    if (name == "json")
        return TimelineFormat::Json;
    if (name == "html")
        return TimelineFormat::Html;
    return std::nullopt;
}

std::string eventsTarget(const EventQuery &query, Base::WallTime now, std::uint64_t after)
{
    std::string target = absl::StrCat("/admin/events?after=", after);
    addParameter(target, "workspace", query.workspace);
    addParameter(target, "endpoint", query.endpoint);
    addParameter(target, "request", query.request);
    if (query.since) {
        const Base::WallTime from = now - *query.since;
        absl::StrAppend(&target, "&since=", Base::toMilliseconds(from.time_since_epoch()));
    }
    return target;
}

std::vector<ProcessEvent> mergedEvents(const std::vector<AdminAnswer> &answers)
{
    std::vector<std::vector<ProcessEvent>> lists;
    for (const AdminAnswer &answer : answers) {
        if (!answer.isOk())
            continue;
        auto events = Timeline::eventsFromJson(answer.body);
        if (events)
            lists.push_back(std::move(events.value()));
    }
    return Timeline::mergeEvents(std::move(lists));
}

TimelineCommand::TimelineCommand(const Context &context, Options options)
    : m_context(context)
    , m_options(std::move(options))
    , m_client(context)
{ }

TimelineCommand::~TimelineCommand()
{
    m_context.timers->cancel(m_timer);
}

void TimelineCommand::start(Finished finished)
{
    m_finished = std::move(finished);
    if (m_context.admins.empty()) {
        return m_finished(failure(ExitStatus::Usage,
                                  "No process to query; give --admin or admin_addresses in the "
                                  "settings."));
    }
    queryEvents();
}

void TimelineCommand::queryEvents()
{
    if (!m_firstQueryTime)
        m_firstQueryTime = m_context.timers->clock().wallNow();
    m_client.query(
        m_context.admins,
        [this](const Runtime::SocketAddress &address) {
            return eventsTarget(m_options.query, *m_firstQueryTime, m_lastSequences[address]);
        },
        [this](const std::vector<AdminAnswer> &answers) { answered(answers); });
}

void TimelineCommand::answered(const std::vector<AdminAnswer> &answers)
{
    if (!m_options.follows)
        return m_finished(report(answers));
    updateLastSequences(answers);
    const std::vector<ProcessEvent> events = mergedEvents(answers);
    if (!events.empty())
        m_context.print(render(events));
    std::string unreached = describeUnreached(answers);
    if (unreached != m_unreached && !unreached.empty())
        m_context.print(unreached);
    m_unreached = std::move(unreached);
    m_timer = m_context.timers->start(followInterval, [this] { queryEvents(); });
}

void TimelineCommand::updateLastSequences(const std::vector<AdminAnswer> &answers)
{
    for (const AdminAnswer &answer : answers) {
        for (const ProcessEvent &event : mergedEvents({answer})) {
            std::uint64_t &lastSequence = m_lastSequences[answer.from];
            lastSequence = std::max(lastSequence, event.event.sequence);
        }
    }
}

std::string TimelineCommand::render(const std::vector<ProcessEvent> &events) const
{
    switch (m_options.format) {
    case TimelineFormat::Json:
        return Timeline::renderJsonLines(events);
    case TimelineFormat::Html:
        return Timeline::renderHtml(events, "lagoonbank timeline");
    case TimelineFormat::Text:
        break;
    }
    return Timeline::renderText(events);
}

Report TimelineCommand::report(const std::vector<AdminAnswer> &answers) const
{
    const std::vector<ProcessEvent> events = mergedEvents(answers);
    Report report;
    report.errors = describeUnreached(answers);
    if (!report.errors.empty()) {
        report.status = ExitStatus::Failed;
        report.errors +=
            "Their events are missing from the timeline. Check that these processes are "
            "running.\n";
    }
    report.json["events"] = eventsJson(events);
    report.json["unreached"] = unreachedJson(answers);
    report.text = render(events);
    if (m_options.file.empty())
        return report;
    std::ofstream file(m_options.file, std::ios::binary);
    file << report.text;
    file.close();
    if (!file) {
        return failure(ExitStatus::Failed,
                       "Cannot write " + m_options.file + "; give another file with --out.");
    }
    report.text = absl::StrCat(events.size(), " events written to ", m_options.file, "\n");
    return report;
}

} // namespace Lagoonbank::Operations

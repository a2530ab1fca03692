#include "operations/changecommand.h"

#include "operations/texts.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace Lagoonbank::Operations {

namespace {

ExitStatus statusOf(ChangeState state)
{
    switch (state) {
    case ChangeState::Accepted:
    case ChangeState::Unchanged:
        return ExitStatus::Ok;
    case ChangeState::Rejected:
        return ExitStatus::Rejected;
    case ChangeState::Unknown:
        return ExitStatus::Unknown;
    case ChangeState::NotSent:
        break;
    }
    return ExitStatus::Failed;
}

std::string statusCommandFor(const ChangeOutcome &outcome)
{
    return "lagoonbank-ctl status --record " + outcome.recordId;
}

std::string adviceFor(const ChangeOutcome &outcome)
{
    switch (outcome.state) {
    case ChangeState::Rejected:
        return "  nothing was changed; compare with `lagoonbank-ctl diff`, correct the file and "
               "publish again";
    case ChangeState::Unknown:
        return "  the answer was lost; check the outcome with: " + statusCommandFor(outcome)
            + "\n  publishing again is safe";
    case ChangeState::NotSent:
        return "  the log did not accept the change (unavailable or rate limited) and nothing was "
               "changed; publish again later";
    case ChangeState::Accepted:
    case ChangeState::Unchanged:
        break;
    }
    return {};
}

std::string lineOf(const ChangeOutcome &outcome)
{
    std::string line =
        absl::StrCat(std::string(toString(outcome.state)), " ", toString(outcome.key));
    const bool isInForce = outcome.revision != Base::Revision()
        && (outcome.state == ChangeState::Accepted || outcome.state == ChangeState::Unchanged);
    if (isInForce) {
        absl::StrAppend(&line, " revision ", outcome.revision.value(), " offset ",
                        outcome.offset.value());
    }
    if (!outcome.detail.empty())
        absl::StrAppend(&line, ": ", outcome.detail);
    return line + "\n";
}

Json toJson(const ChangeOutcome &outcome)
{
    Json json = jsonOf(outcome.key);
    json["state"] = toString(outcome.state);
    if (outcome.revision != Base::Revision()) {
        json["revision"] = outcome.revision.value();
        json["offset"] = outcome.offset.value();
    }
    if (!outcome.recordId.empty())
        json["record"] = outcome.recordId;
    if (!outcome.detail.empty())
        json["detail"] = outcome.detail;
    if (outcome.state == ChangeState::Unknown)
        json["ask_again"] = statusCommandFor(outcome);
    return json;
}

} // namespace

Report reportChanges(const std::vector<ChangeOutcome> &outcomes)
{
    Report report;
    report.json["changes"] = Json::array();
    for (const ChangeOutcome &outcome : outcomes) {
        report.status = std::max(report.status, statusOf(outcome.state));
        report.text += lineOf(outcome);
        report.json["changes"].push_back(toJson(outcome));
        if (const std::string advice = adviceFor(outcome); !advice.empty())
            absl::StrAppend(&report.errors, toString(outcome.key), ":\n", advice, "\n");
    }
    return report;
}

ChangeCommand::ChangeCommand(const Context &context)
    : m_log(context)
    , m_publisher(context, m_log)
{ }

void ChangeCommand::start(Finished finished)
{
    m_finished = std::move(finished);
    m_log.read([this](const Errors::Result<void> &result) { configurationRead(result); });
}

void ChangeCommand::configurationRead(const Errors::Result<void> &result)
{
    if (!result)
        return m_finished(logFailure(result.error(), "Nothing was published."));
    if (const std::optional<Report> ended = plan())
        return m_finished(*ended);
    m_isPlanned = true;
    m_publisher.start([this] { m_finished(reportChanges(m_publisher.outcomes())); });
}

Report ChangeCommand::interruptedReport() const
{
    return m_isPlanned ? reportChanges(m_publisher.outcomes()) : Command::interruptedReport();
}

} // namespace Lagoonbank::Operations

#include "operations/statuscommand.h"

#include "configuration/record.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace Lagoonbank::Operations {

namespace {

/// The parts of a status answer that are used. All of them are optional in the answer.
struct ProcessStatus
{
    std::string process;
    bool isReady = true;
    std::uint64_t nextOffset = 0; ///< First configuration record that it has not applied.
    bool isLogUp = true;
    std::size_t members = 0;
    std::size_t reachable = 0;
    std::string roleDetails; ///< A router's endpoints or a controller's lease.
};

const Json &member(const Json &json, const char *name)
{
    static const Json none;
    const auto found = json.is_object() ? json.find(name) : json.end();
    return json.is_object() && found != json.end() ? *found : none;
}

bool boolMember(const Json &json, const char *name, bool defaultValue)
{
    const Json &value = member(json, name);
    return value.is_boolean() ? value.get<bool>() : defaultValue;
}

std::size_t countTrue(const Json &list, const char *name)
{
    std::size_t number = 0;
    for (const Json &item : list)
        number += boolMember(item, name, false) ? 1 : 0;
    return number;
}

std::string describeEndpoints(const Json &endpoints)
{
    return absl::StrCat("endpoints ", endpoints.size(), " (", countTrue(endpoints, "leaving"),
                        " leaving, ", countTrue(endpoints, "suspected"), " suspected)");
}

std::string describeLease(const Json &lease)
{
    const Json &state = member(lease, "state");
    std::string text = "lease " + (state.is_string() ? state.get<std::string>() : "unknown");
    if (const Json &fencing = member(lease, "fencing"); fencing.is_number_unsigned())
        absl::StrAppend(&text, ", fencing number ", fencing.get<std::uint64_t>());
    return text;
}

ProcessStatus readStatus(const AdminAnswer &answer)
{
    ProcessStatus status{.process = Runtime::toString(answer.from)};
    if (const Json &process = member(answer.body, "process"); process.is_string())
        status.process = process.get<std::string>();
    status.isReady = boolMember(answer.body, "ready", true);
    const Json &configuration = member(answer.body, "configuration");
    if (const Json &next = member(configuration, "next"); next.is_number_unsigned())
        status.nextOffset = next.get<std::uint64_t>();
    status.isLogUp = boolMember(configuration, "log_up", true);
    if (const Json &members = member(answer.body, "members"); members.is_array()) {
        status.members = members.size();
        status.reachable = countTrue(members, "reachable");
    }
    if (const Json &endpoints = member(answer.body, "endpoints"); endpoints.is_array())
        status.roleDetails = describeEndpoints(endpoints);
    else if (const Json &lease = member(answer.body, "lease"); lease.is_object())
        status.roleDetails = describeLease(lease);
    return status;
}

std::string warningsOf(const ProcessStatus &status, std::uint64_t latestOffset)
{
    std::string warnings;
    if (status.nextOffset < latestOffset)
        absl::StrAppend(&warnings, "  BEHIND by ", latestOffset - status.nextOffset, " records");
    if (!status.isReady)
        warnings += "  NOT READY";
    if (!status.isLogUp)
        warnings += "  log not followed";
    return warnings;
}

std::string lineOf(const ProcessStatus &status, std::uint64_t latestOffset)
{
    return absl::StrFormat("%-32s offset %-8d members %d/%d  %s%s\n", status.process,
                           status.nextOffset, status.reachable, status.members, status.roleDetails,
                           warningsOf(status, latestOffset));
}

} // namespace

StatusCommand::StatusCommand(const Context &context)
    : m_context(context)
    , m_stream(context, std::string(Configuration::streamName))
    , m_client(context)
{ }

void StatusCommand::start(Finished finished)
{
    m_finished = std::move(finished);
    if (m_context.admins.empty()) {
        return m_finished(failure(ExitStatus::Usage,
                                  "No process to query; give --admin or admin_addresses in the "
                                  "settings."));
    }
    if (!m_context.log)
        return logRead(Errors::makeError(Errors::ErrorKind::LogUnavailable, "No --platform."));
    m_stream.readToEnd([this](const Errors::Result<void> &result) { logRead(result); });
}

void StatusCommand::logRead(const Errors::Result<void> &result)
{
    if (result)
        m_logEnd = m_stream.next();
    else
        m_logError = result.error().detail;
    m_client.query(
        m_context.admins, "/admin/status",
        [this](const std::vector<AdminAnswer> &answers) { m_finished(report(answers)); });
}

Report StatusCommand::report(const std::vector<AdminAnswer> &answers) const
{
    std::vector<ProcessStatus> processes;
    Report report;
    report.json["processes"] = Json::array();
    std::uint64_t latestOffset = m_logEnd.value_or(Base::LogOffset()).value();
    for (const AdminAnswer &answer : answers) {
        if (!answer.isOk()) {
            absl::StrAppend(&report.errors, Runtime::toString(answer.from),
                            " did not report its status: ", answer.error, "\n");
            continue;
        }
        processes.push_back(readStatus(answer));
        latestOffset = std::max(latestOffset, processes.back().nextOffset);
        Json item = answer.body;
        item["address"] = Runtime::toString(answer.from);
        report.json["processes"].push_back(std::move(item));
    }
    if (!report.errors.empty())
        report.errors +=
            "Check that these processes are running, and their addresses in --admin.\n";
    report.text = m_logEnd ? absl::StrCat("log: configuration ends at offset ", latestOffset, "\n")
                           : absl::StrCat("log: UNAVAILABLE (", m_logError,
                                          ") highest offset of a process ", latestOffset, "\n");
    bool isHealthy = m_logEnd && report.errors.empty();
    for (std::size_t i = 0; i < processes.size(); ++i) {
        const ProcessStatus &status = processes[i];
        report.text += lineOf(status, latestOffset);
        const bool isBehind = status.nextOffset < latestOffset;
        isHealthy = isHealthy && status.isReady && !isBehind;
        report.json["processes"][i]["behind"] = isBehind;
    }
    report.json["log_up"] = m_logEnd.has_value();
    report.json["offset"] = latestOffset;
    report.json["unreached"] = unreachedJson(answers);
    report.status = isHealthy ? ExitStatus::Ok : ExitStatus::Failed;
    return report;
}

} // namespace Lagoonbank::Operations

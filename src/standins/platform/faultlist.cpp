#include "standins/platform/faultlist.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace Lagoonbank::Standins::Platform {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxFaults = 100;
constexpr std::uint64_t maxDelayMs = 3'600'000;

constexpr std::array<std::pair<std::string_view, FaultKind>, 10> faultNames{{
    {"log_outage", FaultKind::LogOutage},
    {"append_outage", FaultKind::AppendOutage},
    {"log_slow", FaultKind::LogSlow},
    {"late_append_answers", FaultKind::LateAppendAnswers},
    {"lose_append_answers", FaultKind::LoseAppendAnswers},
    {"lose_appends", FaultKind::LoseAppends},
    {"appends_limited", FaultKind::AppendsLimited},
    {"silent", FaultKind::Silent},
    {"vms_outage", FaultKind::VmsOutage},
    {"weights_outage", FaultKind::WeightsOutage},
}};

Errors::Error badFault(std::string detail)
{
    return Errors::makeError(Errors::ErrorKind::BadRequest, std::move(detail));
}

Errors::Result<void> readMember(Fault &fault, const std::string &name, const Json &value)
{
    if (name == "fault")
        return boost::outcome_v2::success();
    if (name == "stream" && value.is_string())
        fault.stream = value.get<std::string>();
    else if (name == "from" && value.is_string())
        fault.from = value.get<std::string>();
    else if (name == "count" && value.is_number_unsigned() && value != 0U)
        fault.count = value.get<std::uint64_t>();
    else if (name == "ms" && value.is_number_unsigned() && value.get<std::uint64_t>() <= maxDelayMs)
        fault.delay = std::chrono::milliseconds(value.get<std::uint64_t>());
    else
        return badFault("Unknown or ill-typed member \"" + name
                        + "\"; fault, count, ms, stream and from are known.");
    return boost::outcome_v2::success();
}

Errors::Result<Fault> readFault(const Json &json)
{
    const std::string name = json.value("fault", "");
    const auto *const known = std::find_if(faultNames.begin(), faultNames.end(),
                                           [&](const auto &row) { return row.first == name; });
    if (known == faultNames.end())
        return badFault("There is no fault \"" + name + "\".");
    Fault fault{.kind = known->second};
    for (const auto &[member, value] : json.items()) {
        if (auto read = readMember(fault, member, value); !read)
            return read.error();
    }
    return fault;
}

bool affects(const Fault &fault, const Caller &caller)
{
    if (!fault.stream.empty() && fault.stream != caller.stream)
        return false;
    return fault.from.empty() || fault.from == caller.vm || fault.from == caller.dataCentre
        || fault.from == caller.ip;
}

} // namespace

Errors::Result<void> FaultList::inject(std::string_view body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("fault") || !json["fault"].is_string())
        return badFault("The body is an object with the member \"fault\".");
    if (json["fault"] == "none") {
        m_faults.clear();
        return boost::outcome_v2::success();
    }
    auto fault = readFault(json);
    if (!fault)
        return fault.error();
    if (m_faults.size() >= maxFaults)
        return badFault("Too many faults are in force; clear them by \"none\".");
    m_faults.push_back(std::move(fault.value()));
    return boost::outcome_v2::success();
}

std::optional<Fault> FaultList::match(FaultKind kind, const Caller &caller)
{
    for (auto fault = m_faults.begin(); fault != m_faults.end(); ++fault) {
        if (fault->kind != kind || !affects(*fault, caller))
            continue;
        const Fault found = *fault;
        if (fault->count && --*fault->count == 0)
            m_faults.erase(fault);
        return found;
    }
    return std::nullopt;
}

} // namespace Lagoonbank::Standins::Platform

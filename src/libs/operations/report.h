#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace Lagoonbank::Operations {

using Json = nlohmann::ordered_json;

/// Exit statuses of the program; docs/reference/ctl.md explains them to operators.
enum class ExitStatus : int {
    Ok = 0,
    Failed = 1, ///< Something is unreachable or not in its expected state.
    Usage = 2, ///< The command line or a file is invalid; nothing was sent.
    Rejected = 3, ///< A change was rejected, or another change was accepted first.
    Unknown = 4, ///< It is not known whether a change was accepted.
    NotFound = 5 ///< The name or id is not known.
};

/// The result of a command.
struct Report
{
    ExitStatus status = ExitStatus::Ok;
    std::string text; ///< Complete lines for people, for standard output.
    std::string errors; ///< Complete lines with what went wrong and what to do, for
                        ///< standard error.
    Json json = Json::object(); ///< The result for scripts.
};

/// Makes a report that consists of one error. `what` should also say what to do about it.
Report failure(ExitStatus status, const std::string &what);

/// Returns the report's JSON for scripts, with `exit_status` and, if there are any errors, `error`.
std::string toJsonText(const Report &report);

} // namespace Lagoonbank::Operations

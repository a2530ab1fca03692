#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace Lagoonbank::Operations {

using Json = nlohmann::ordered_json;

/// Exit statuses of the program; docs/reference/ctl.md explains them to operators.
enum class ExitStatus : int {
    Ok = 0,
    Failed = 1, ///< Something could not be reached or is not as it should be.
    Usage = 2, ///< The command line or a file is wrong; nothing was sent.
    Rejected = 3, ///< A change was refused or another one won.
    Unknown = 4, ///< A change may or may not have landed.
    NotFound = 5 ///< Nothing is known by that name or id.
};

/// What a command found.
struct Report
{
    ExitStatus status = ExitStatus::Ok;
    std::string text; ///< For people; whole lines, to the standard output.
    std::string errors; ///< What went wrong and what to do; whole lines, to the error output.
    Json json = Json::object(); ///< The same for scripts.
};

/// A report that consists of one error; `what` tells what to do about it.
Report failure(ExitStatus status, const std::string &what);

/// The JSON text that scripts get: the report's JSON with `exit_status` and, if any, `error`.
std::string toJsonText(const Report &report);

} // namespace Lagoonbank::Operations

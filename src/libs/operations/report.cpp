#include "operations/report.h"

namespace Lagoonbank::Operations {

Report failure(ExitStatus status, const std::string &what)
{
    return {.status = status, .errors = what + "\n"};
}

std::string toJsonText(const Report &report)
{
    Json json = report.json;
    json["exit_status"] = static_cast<int>(report.status);
    if (!report.errors.empty())
        json["error"] = report.errors;
    constexpr int indent = 2;
    return json.dump(indent, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace Lagoonbank::Operations

#include "errors/errorbody.h"

namespace Lagoonbank::Errors {

std::string errorBody(ErrorKind kind, Ran ran, std::string_view requestId)
{
    const ErrorRow &row = errorRow(kind);
    std::string body = R"({"error":{"kind":")";
    body += row.name;
    body += R"(","ran":")";
    body += toString(ran);
    body += R"(","message":")";
    body += row.text;
    if (!requestId.empty()) {
        body += R"(","request_id":")";
        body += requestId;
    }
    body += R"("}})";
    return body;
}

} // namespace Lagoonbank::Errors

#include "admission/refusal.h"

namespace Lagoonbank::Admission {

std::string describe(const Refusal &refusal)
{
    std::string text(Errors::errorRow(refusal.kind).text);
    if (refusal.limit.empty())
        return text;
    text += " Limit: " + refusal.limit;
    if (!refusal.source.empty())
        text += " (" + refusal.source + ")";
    return text + ".";
}

Errors::Error toError(const Refusal &refusal)
{
    return {refusal.kind, describe(refusal), Errors::Ran::No};
}

} // namespace Lagoonbank::Admission

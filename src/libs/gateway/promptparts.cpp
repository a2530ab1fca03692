#include "gateway/promptparts.h"

#include "routing/rendezvous.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace Lagoonbank::Gateway {

PartHash partHash(const std::string &model, const PromptPart &part)
{
    return PartHash(Routing::mixHashes(Routing::stableHash(model), part.id));
}

std::vector<PartHash> sharedParts(const Prompt &prompt)
{
    std::vector<PartHash> parts;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
        parts.push_back(partHash(prompt.model, prompt.parts[i]));
    return parts;
}

std::string toString(PartHash part)
{
    return absl::StrCat(absl::Hex(part.value(), absl::kZeroPad16));
}

std::string toString(const std::vector<PartHash> &parts)
{
    return absl::StrJoin(
        parts, ",", [](std::string *out, PartHash part) { absl::StrAppend(out, toString(part)); });
}

} // namespace Lagoonbank::Gateway

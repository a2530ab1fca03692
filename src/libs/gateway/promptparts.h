#pragma once

#include "base/strongtype.h"
#include "gateway/callerrequest.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Lagoonbank::Gateway {

/// Hash of the model and the id of a prompt part. It is the same at every router.
using PartHash = Base::StrongNumber<struct PartHashTag, std::uint64_t>;

PartHash partHash(const std::string &model, const PromptPart &part);
/// The parts that requests may share: all but the last one, in prompt order.
std::vector<PartHash> sharedParts(const Prompt &prompt);
/// Formats a hash as 16 hexadecimal digits.
std::string toString(PartHash part);
/// Formats the hashes separated by commas.
std::string toString(const std::vector<PartHash> &parts);

} // namespace Lagoonbank::Gateway

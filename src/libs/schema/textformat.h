#pragma once

#include "schema/yamlreader.h"

#include <optional>
#include <string_view>
#include <vector>

namespace Lagoonbank::Schema {

bool hasFormat(std::string_view text, TextFormat format);

/// "a name; give ..." for an error text.
std::string_view describe(TextFormat format);

/// The name that `wrong` was most likely meant to be, if one is near enough.
std::optional<std::string_view> nearestName(std::string_view wrong,
                                            const std::vector<std::string_view> &names);

} // namespace Lagoonbank::Schema

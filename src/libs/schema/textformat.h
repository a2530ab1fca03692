#pragma once

#include "schema/yamlreader.h"

#include <optional>
#include <string_view>
#include <vector>

namespace Lagoonbank::Schema {

bool hasFormat(std::string_view text, TextFormat format);

/// Returns the description of a format for error texts, with a correction: "a name; give ...".
std::string_view describe(TextFormat format);

/// Returns the name with the smallest edit distance to `wrong`; empty if none is similar enough.
std::optional<std::string_view> nearestName(std::string_view wrong,
                                            const std::vector<std::string_view> &names);

} // namespace Lagoonbank::Schema

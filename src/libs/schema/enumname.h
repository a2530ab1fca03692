#pragma once

#include <optional>
#include <string_view>

namespace Lagoonbank::Schema {

/// One value of a generated enum and its text in YAML and JSON.
template<typename E>
struct EnumName
{
    E value;
    std::string_view name;
};

/// The value that has this text.
template<typename E>
std::optional<E> enumFromName(std::string_view name)
{
    for (const EnumName<E> &row : enumNames(E{})) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace Lagoonbank::Schema

#pragma once

#include <optional>
#include <string_view>

namespace Lagoonbank::Schema {

/// Value of a generated enum with its text in YAML and JSON.
template<typename E>
struct EnumName
{
    E value;
    std::string_view name;
};

/// Returns the value with this text.
template<typename E>
std::optional<E> enumFromName(std::string_view name)
{
    for (const EnumName<E> &entry : enumNames(E{})) {
        if (entry.name == name)
            return entry.value;
    }
    return std::nullopt;
}

} // namespace Lagoonbank::Schema

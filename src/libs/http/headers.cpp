#include "http/headers.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Http {

namespace {

char toLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool isAlphanumeric(char c)
{
    const char lower = toLower(c);
    return (lower >= 'a' && lower <= 'z') || (c >= '0' && c <= '9');
}

} // namespace

Headers::Headers(std::initializer_list<Header> fields)
{
    m_fields.reserve(fields.size());
    for (const Header &field : fields)
        add(field.name, field.value);
}

void Headers::add(std::string_view name, std::string_view value)
{
    std::string lower(name);
    std::transform(lower.begin(), lower.end(), lower.begin(), toLower);
    m_fields.push_back({std::move(lower), std::string(value)});
}

std::optional<std::string_view> Headers::find(std::string_view name) const
{
    for (const Header &field : m_fields) {
        const bool isSame =
            std::equal(field.name.begin(), field.name.end(), name.begin(), name.end(),
                       [](char stored, char asked) { return stored == toLower(asked); });
        if (isSame)
            return field.value;
    }
    return std::nullopt;
}

bool isSafeHeaderValue(std::string_view value)
{
    return std::none_of(value.begin(), value.end(), [](char c) {
        return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f;
    });
}

bool isSafeHeaderName(std::string_view name)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [marks](char c) {
        return isAlphanumeric(c) || marks.find(c) != std::string_view::npos;
    });
}

} // namespace Lagoonbank::Http

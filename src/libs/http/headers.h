#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Http {

struct Header
{
    std::string name; ///< Lower case.
    std::string value;
};

/// Header fields in the order in which they were added. Names are case-insensitive.
class Headers
{
public:
    Headers() = default;
    Headers(std::initializer_list<Header> fields);

    void add(std::string_view name, std::string_view value);
    /// Value of the first field with that name.
    std::optional<std::string_view> find(std::string_view name) const;
    const std::vector<Header> &fields() const { return m_fields; }

private:
    std::vector<Header> m_fields;
};

/// Whether \a value has no control characters but tab, which prevents header injection.
bool isSafeHeaderValue(std::string_view value);
/// Whether \a name is a token as defined by RFC 9110.
bool isSafeHeaderName(std::string_view name);

} // namespace Lagoonbank::Http

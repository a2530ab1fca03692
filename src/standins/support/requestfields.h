#pragma once

#include "base/units.h"
#include "errors/result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Lagoonbank::Standins {

/// Reads the fields of a JSON object one by one and keeps the first error. finish() also fails if
/// the object has fields that were not read.
class RequestFields
{
public:
    /// \a object may be any JSON value; anything but an object is an error.
    explicit RequestFields(nlohmann::json object);
    static RequestFields parse(std::string_view body);

    std::string text(const std::string &key,
                     const std::optional<std::string> &fallback = std::nullopt);
    std::int64_t number(const std::string &key, std::optional<std::int64_t> fallback,
                        std::int64_t min, std::int64_t max);
    double real(const std::string &key, double fallback, double min, double max);
    Base::Duration milliseconds(const std::string &key, Base::Duration fallback);
    bool flag(const std::string &key, bool fallback);
    nlohmann::json object(const std::string &key);
    bool has(const std::string &key) const;

    /// BadRequest with the first error, if there was one.
    Errors::Result<void> finish() const;

private:
    const nlohmann::json *findField(const std::string &key, bool required);
    void fail(std::string message);

    nlohmann::json m_object;
    std::set<std::string> m_readKeys;
    std::string m_error;
};

/// Decoded value of \a key in a query string such as "from=3&limit=5".
std::optional<std::string> queryValue(std::string_view query, std::string_view key);
/// Parses all of \a text as a non-negative number.
std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace Lagoonbank::Standins

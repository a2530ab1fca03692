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

/// Reads the fields of a JSON object one by one and keeps the first thing that was wrong.
/// Fields that nobody asked for are an error of finish().
class RequestFields
{
public:
    /// \a object is any JSON value; all but an object is an error.
    explicit RequestFields(nlohmann::json object);
    static RequestFields parse(std::string_view body);

    std::string text(const std::string &key,
                     const std::optional<std::string> &missing = std::nullopt);
    std::int64_t number(const std::string &key, std::optional<std::int64_t> missing,
                        std::int64_t lowest, std::int64_t highest);
    double real(const std::string &key, double missing, double lowest, double highest);
    Base::Duration milliseconds(const std::string &key, Base::Duration missing);
    bool flag(const std::string &key, bool missing);
    nlohmann::json object(const std::string &key);
    bool has(const std::string &key) const;

    /// BadRequest with the first thing that was wrong.
    Errors::Result<void> finish() const;

private:
    const nlohmann::json *take(const std::string &key, bool required);
    void fail(std::string what);

    nlohmann::json m_object;
    std::set<std::string> m_taken;
    std::string m_error;
};

/// The value of \a key in a query such as "from=3&limit=5"; percent escapes are decoded.
std::optional<std::string> queryValue(std::string_view query, std::string_view key);
/// The whole of \a text as a number that is not negative.
std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace Lagoonbank::Standins

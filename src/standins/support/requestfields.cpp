#include "standins/support/requestfields.h"

#include <charconv>
#include <utility>

namespace Lagoonbank::Standins {

namespace {

constexpr std::int64_t maxMilliseconds = 24LL * 3600 * 1000;

std::string decoded(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        const char *digits = text.data() + i + 1;
        if (text[i] == '%' && i + 2 < text.size()
            && std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2) {
            result.push_back(static_cast<char>(value));
            i += 2;
            continue;
        }
        result.push_back(text[i] == '+' ? ' ' : text[i]);
    }
    return result;
}

} // namespace

RequestFields::RequestFields(nlohmann::json object)
    : m_object(std::move(object))
{
    if (!m_object.is_object())
        fail("the body must be a JSON object");
}

RequestFields RequestFields::parse(std::string_view body)
{
    return RequestFields(nlohmann::json::parse(body, nullptr, false));
}

const nlohmann::json *RequestFields::findField(const std::string &key, bool required)
{
    m_readKeys.insert(key);
    if (!m_object.is_object())
        return nullptr;
    const auto found = m_object.find(key);
    if (found != m_object.end())
        return &*found;
    if (required)
        fail("\"" + key + "\" is missing");
    return nullptr;
}

std::string RequestFields::text(const std::string &key, const std::optional<std::string> &fallback)
{
    const nlohmann::json *value = findField(key, !fallback);
    if (value && value->is_string())
        return value->get<std::string>();
    if (value)
        fail("\"" + key + "\" must be a string");
    return fallback.value_or(std::string());
}

std::int64_t RequestFields::number(const std::string &key, std::optional<std::int64_t> fallback,
                                   std::int64_t min, std::int64_t max)
{
    const nlohmann::json *value = findField(key, !fallback);
    if (!value)
        return fallback.value_or(min);
    const bool fits = value->is_number_integer() && *value >= min && *value <= max;
    if (fits)
        return value->get<std::int64_t>();
    fail("\"" + key + "\" must be a whole number from " + std::to_string(min) + " to "
         + std::to_string(max));
    return min;
}

double RequestFields::real(const std::string &key, double fallback, double min, double max)
{
    const nlohmann::json *value = findField(key, false);
    if (!value)
        return fallback;
    if (value->is_number() && value->get<double>() >= min && value->get<double>() <= max)
        return value->get<double>();
    fail("\"" + key + "\" must be a number from " + std::to_string(min) + " to "
         + std::to_string(max));
    return fallback;
}

Base::Duration RequestFields::milliseconds(const std::string &key, Base::Duration fallback)
{
    const std::int64_t given = number(key, Base::toMilliseconds(fallback), 0, maxMilliseconds);
    return std::chrono::milliseconds(given);
}

bool RequestFields::flag(const std::string &key, bool fallback)
{
    const nlohmann::json *value = findField(key, false);
    if (!value)
        return fallback;
    if (value->is_boolean())
        return value->get<bool>();
    fail("\"" + key + "\" must be true or false");
    return fallback;
}

nlohmann::json RequestFields::object(const std::string &key)
{
    const nlohmann::json *value = findField(key, true);
    if (value && value->is_object())
        return *value;
    if (value)
        fail("\"" + key + "\" must be an object");
    return nlohmann::json::object();
}

bool RequestFields::has(const std::string &key) const
{
    return m_object.is_object() && m_object.contains(key);
}

Errors::Result<void> RequestFields::finish() const
{
    if (!m_error.empty())
        return Errors::makeError(Errors::ErrorKind::BadRequest, m_error);
    for (const auto &[key, value] : m_object.items()) {
        if (!m_readKeys.contains(key))
            return Errors::makeError(Errors::ErrorKind::BadRequest, "unknown key \"" + key + "\"");
    }
    return boost::outcome_v2::success();
}

void RequestFields::fail(std::string message)
{
    if (m_error.empty())
        m_error = std::move(message);
}

std::optional<std::string> queryValue(std::string_view query, std::string_view key)
{
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == key)
            return decoded(pair.substr(std::min(equals + 1, pair.size())));
    }
    return std::nullopt;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace Lagoonbank::Standins

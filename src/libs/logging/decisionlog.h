#pragma once

#include "base/units.h"
#include "logging/boundedoutput.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace Lagoonbank::Logging {

/// A named value of a log line.
struct Field
{
    using Value = std::variant<std::string_view, std::int64_t, double, bool>;

    Field(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(text)
    { }
    Field(std::string_view fieldName, const std::string &text)
        : Field(fieldName, std::string_view(text))
    { }
    Field(std::string_view fieldName, const char *text)
        : Field(fieldName, std::string_view(text))
    { }
    Field(std::string_view fieldName, bool isTrue)
        : name(fieldName)
        , value(isTrue)
    { }
    Field(std::string_view fieldName, std::integral auto number)
        : name(fieldName)
        , value(static_cast<std::int64_t>(number))
    { }
    Field(std::string_view fieldName, double number)
        : name(fieldName)
        , value(number)
    { }
    /// Written in milliseconds; the name should end in `_ms`.
    Field(std::string_view fieldName, Base::Duration duration)
        : name(fieldName)
        , value(Base::toSeconds(duration) * 1000)
    { }

    std::string_view name;
    Value value;
};

using Fields = std::initializer_list<Field>;

/// Writes one JSON line per decision: time, part, a short message and named values. Lines about
/// requests are rate limited; the number of suppressed lines is logged once a second.
class DecisionLog
{
public:
    struct Options
    {
        BoundedOutput *output = nullptr;
        /// The time written to the lines, and the monotonic time for rate limiting.
        std::function<Base::WallTime()> wallNow;
        std::function<Base::MonoTime()> now;
        double linesPerSecond = 400; ///< Limit for lines about requests.
        double burst = 800; ///< Lines about requests that may be written at once.
    };

    explicit DecisionLog(Options options);

    /// Whether a line about a request would be written now; if not, it is counted as suppressed.
    /// Lets callers skip computing the values of a suppressed line.
    bool shouldLogRequest();
    /// Logs a line about a request unless it exceeds the rate limit. The next line about a request
    /// contains the number of lines suppressed before it.
    void request(std::string_view part, std::string_view message, Fields fields);
    /// Logs a line about the process or its view of endpoints and peers. Dropped only if the output
    /// is full.
    void event(std::string_view part, std::string_view message, Fields fields);
    /// Flushes the output; also logs the number of suppressed and dropped lines.
    void flush();

private:
    std::string formatLine(std::string_view part, std::string_view message, Fields fields,
                           std::uint64_t suppressedBefore = 0) const;
    void refillTokens();
    void reportSuppressed();

    Options m_options;
    double m_tokens;
    Base::MonoTime m_lastRefillTime;
    std::uint64_t m_suppressed = 0; ///< Suppressed lines not reported yet.
    std::uint64_t m_suppressedBefore = 0; ///< Lines suppressed since the last line about a request.
    std::uint64_t m_reportedDropped = 0;
    Base::MonoTime m_lastReportTime;
};

} // namespace Lagoonbank::Logging

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

/// One value of a line, with its name.
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
    /// In milliseconds; the name should end so.
    Field(std::string_view fieldName, Base::Duration duration)
        : name(fieldName)
        , value(Base::toSeconds(duration) * 1000)
    { }

    std::string_view name;
    Value value;
};

using Fields = std::initializer_list<Field>;

/// Writes one line of JSON for each decision: time, part, a short sentence and named values. The
/// lines about requests are bounded in number; how many were left out is told once a second.
class DecisionLog
{
public:
    struct Options
    {
        BoundedOutput *output = nullptr;
        /// Wall time, for people, and the steady clock that bounds the rate.
        std::function<Base::WallTime()> wallNow;
        std::function<Base::MonoTime()> now;
        double linesPerSecond = 400; ///< About requests.
        double burst = 800; ///< Lines about requests that may come at once.
    };

    explicit DecisionLog(Options options);

    /// Whether a line about a request would be written now; if not, it counts as left out. For
    /// those that come for each request, before their values are worked out.
    bool shouldLogRequest();
    /// A line about one request. Left out where there are too many; the next one then says how many
    /// were left out before it.
    void request(std::string_view part, std::string_view sentence, Fields fields);
    /// A line about the process or about what it believes. Left out only if nobody reads.
    void event(std::string_view part, std::string_view sentence, Fields fields);
    /// Writes what waits, and how many lines were left out.
    void flush();

private:
    std::string line(std::string_view part, std::string_view sentence, Fields fields,
                     std::uint64_t leftOutBefore = 0) const;
    void fill();
    void tellLeftOut();

    Options m_options;
    double m_tokens;
    Base::MonoTime m_filledAt;
    std::uint64_t m_leftOut = 0; ///< Not told of yet.
    std::uint64_t m_leftOutBefore = 0; ///< Since the last line about a request.
    std::uint64_t m_toldDropped = 0;
    Base::MonoTime m_toldAt;
};

} // namespace Lagoonbank::Logging

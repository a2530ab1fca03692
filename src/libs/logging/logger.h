#pragma once

#include "logging/logging.h"

#include <sstream>
#include <string>
#include <string_view>

namespace Lagoonbank::Logging {

/// Writes the log lines of one part of a program. Sentences are short; each `{}` in one stands for
/// the next value. Keys, prompts and tokens' text never go into a log.
class Logger
{
public:
    /// \a part stands before every sentence: letters, digits, '-', '_' and '.'.
    explicit Logger(std::string part);

    template<typename... Values>
    void debug(std::string_view sentence, const Values &...values) const
    {
        write(Level::Debug, sentence, values...);
    }
    template<typename... Values>
    void info(std::string_view sentence, const Values &...values) const
    {
        write(Level::Info, sentence, values...);
    }
    template<typename... Values>
    void warning(std::string_view sentence, const Values &...values) const
    {
        write(Level::Warning, sentence, values...);
    }
    template<typename... Values>
    void error(std::string_view sentence, const Values &...values) const
    {
        write(Level::Error, sentence, values...);
    }

private:
    template<typename... Values>
    void write(Level level, std::string_view sentence, const Values &...values) const
    {
        if (!isEnabled(level))
            return;
        std::ostringstream text;
        (appendUpToValue(text, sentence, values), ...);
        text << sentence;
        dispatch(level, text.str());
    }
    template<typename Value>
    static void appendUpToValue(std::ostringstream &text, std::string_view &sentence,
                                const Value &value)
    {
        const std::size_t place = sentence.find("{}");
        if (place == std::string_view::npos)
            return;
        text << sentence.substr(0, place) << value;
        sentence.remove_prefix(place + 2);
    }
    void dispatch(Level level, const std::string &text) const;

    std::string m_part;
};

} // namespace Lagoonbank::Logging

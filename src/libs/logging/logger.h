#pragma once

#include "logging/logging.h"

#include <sstream>
#include <string>
#include <string_view>

namespace Lagoonbank::Logging {

/// Writes the log lines of one part of a program. Messages are short; each `{}` is replaced by the
/// next value. Keys, prompts and the text of tokens must never be logged.
class Logger
{
public:
    /// \a part precedes every message and consists of letters, digits, '-', '_' and '.'.
    explicit Logger(std::string part);

    template<typename... Values>
    void debug(std::string_view message, const Values &...values) const
    {
        write(Level::Debug, message, values...);
    }
    template<typename... Values>
    void info(std::string_view message, const Values &...values) const
    {
        write(Level::Info, message, values...);
    }
    template<typename... Values>
    void warning(std::string_view message, const Values &...values) const
    {
        write(Level::Warning, message, values...);
    }
    template<typename... Values>
    void error(std::string_view message, const Values &...values) const
    {
        write(Level::Error, message, values...);
    }

private:
    template<typename... Values>
    void write(Level level, std::string_view message, const Values &...values) const
    {
        if (!isEnabled(level))
            return;
        std::ostringstream text;
        (appendUpToValue(text, message, values), ...);
        text << message;
        dispatch(level, text.str());
    }
    template<typename Value>
    static void appendUpToValue(std::ostringstream &text, std::string_view &message,
                                const Value &value)
    {
        const std::size_t position = message.find("{}");
        if (position == std::string_view::npos)
            return;
        text << message.substr(0, position) << value;
        message.remove_prefix(position + 2);
    }
    void dispatch(Level level, const std::string &text) const;

    std::string m_part;
};

} // namespace Lagoonbank::Logging

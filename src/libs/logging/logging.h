#pragma once

#include "errors/result.h"

#include <cstdint>
#include <ostream>
#include <string_view>

/// Log lines on standard error: time, level, part, message.
namespace Lagoonbank::Logging {

enum class Level : std::uint8_t { Debug, Info, Warning, Error };

struct Options
{
    Level level = Level::Info; ///< Lines below this level are not written.
    bool json = false; ///< Write one JSON object per line instead of plain text.
    std::ostream *stream = nullptr; ///< Standard error if null.
};

/// Configures all loggers of the process; replaces the previous options.
void configure(const Options &options);
bool isEnabled(Level level);
/// Parses "debug", "info", "warning" or "error".
Errors::Result<Level> parseLevel(std::string_view text);
std::string_view toString(Level level);

} // namespace Lagoonbank::Logging

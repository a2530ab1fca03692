#pragma once

#include "errors/result.h"

#include <cstdint>
#include <ostream>
#include <string_view>

/// Log lines on standard error: time, level, part, sentence.
namespace Lagoonbank::Logging {

enum class Level : std::uint8_t { Debug, Info, Warning, Error };

struct Options
{
    Level level = Level::Info; ///< Lines below it are not written.
    bool json = false; ///< One JSON object a line, instead of plain text.
    std::ostream *stream = nullptr; ///< Standard error if null.
};

/// Sets how all loggers of the process write; the last call holds.
void configure(const Options &options);
bool isEnabled(Level level);
/// Reads "debug", "info", "warning" or "error".
Errors::Result<Level> parseLevel(std::string_view text);
std::string_view toString(Level level);

} // namespace Lagoonbank::Logging

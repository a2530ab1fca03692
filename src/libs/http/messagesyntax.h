#pragma once

#include "base/text.h"
#include "http/headers.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

/// The syntax that requests and answers of HTTP/1.1 share (RFC 9112). Strict: what could be read in
/// two ways is refused.
namespace Lagoonbank::Http::Internal {

using Base::lowered;
using Base::trimmed;

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";
/// More fields than any sender needs; bounds the memory of one head.
constexpr std::size_t maxFields = 200;

/// Digits only: no sign, no space, no list. False where \a text is anything else or too large.
bool readNumber(std::string_view text, int base, std::uint64_t &number);
/// Adds one field line, without its line end, to \a headers. False where it is malformed: folded,
/// a space before the colon, a control character, or one field too many.
bool readField(std::string_view line, Headers &headers);
/// Reads the lines of a whole head, each with its line end: the first one by \a readFirst, the
/// others as fields into \a headers. False at the first malformed one.
bool readHeadLines(std::string_view head,
                   const std::function<bool(std::string_view line)> &readFirst, Headers &headers);
/// Whether an answer of this status never has a body.
bool hasNoBody(int status);
/// Whether the comma-separated list \a value holds \a token, which is in lower case.
bool holdsToken(std::string_view value, std::string_view token);

} // namespace Lagoonbank::Http::Internal
